/** Tells failures of a start apart by exit code. */
import {LayerError} from 'hickorywalk/fleet.js';

/** Invalid command line, or settings that can't be read or are invalid. */
export const exitCodeInvalidSettings = 2;

/** An address of the settings can't be bound. */
export const exitCodeAddressUnavailable = 3;

/** Any other failure. */
export const exitCodeStartFailed = 4;

const codesByError: Partial<Record<string, number>> = {
	settings_invalid: exitCodeInvalidSettings,
	settings_unreadable: exitCodeInvalidSettings,
	bind: exitCodeAddressUnavailable,
};

/** Exit code of a process whose start failed with this error, and the text for standard error. */
export function describeStartFailure(error: unknown): {exitCode: number; text: string} {
	if (error instanceof LayerError) {
		return {exitCode: codesByError[error.code] ?? exitCodeStartFailed, text: error.message};
	}

	return {exitCode: exitCodeStartFailed, text: String(error instanceof Error ? error.stack : error)};
}
