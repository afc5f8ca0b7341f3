/** Errors of the daemon and its command line. */
import {LayerError} from 'hickorywalk';

/** The settings can't be used; the text names each wrong field. */
export class SettingsError extends LayerError {
	readonly code = 'settings_invalid';
}

/** A command was called with what it can't use. */
export class CommandError extends LayerError {
	readonly code = 'command_invalid';
}

/** A daemon refused what an operator asked for; the text has its reason. */
export class AdministrationCallError extends LayerError {
	readonly code = 'administration_refused';
}

/** A part of what peers know could not be taken over yet. */
export class RecoveryPartError extends LayerError {
	readonly code = 'recovery_part';
}
