/** Errors of the daemon and its command line. */
import {LayerError} from 'hickorywalk';

/** The settings can't be read or are invalid; the message names each wrong field. */
export class SettingsError extends LayerError {
	readonly code = 'settings_invalid';
}

/** A command can't use its arguments, its files or the daemon that they name. */
export class CommandError extends LayerError {
	readonly code = 'command_invalid';
}

/** A daemon refused an administration request; the message holds its reason. */
export class AdministrationCallError extends LayerError {
	readonly code = 'administration_refused';
}

/** A part of the recovery state can't be imported yet. */
export class RecoveryPartError extends LayerError {
	readonly code = 'recovery_part';
}
