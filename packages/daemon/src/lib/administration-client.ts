/** Speaks to a daemon's administration API for the command line. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {type Argv} from 'yargs';
import {fetch} from 'undici';
import {z} from 'zod';
import {AdministrationCallError, CommandError} from './daemon-errors.js';

/** Options that every command has that asks a daemon. */
export type AdministrationArguments = {
	/** Base URL of the administration API of any daemon. */
	admin: string;
	/** Path of a file with the operator's key. */
	keyFile: string | undefined;
};

/** The variable that holds an operator's key where no file is named. */
export const operatorKeyVariable = 'HICKORYWALK_OPERATOR_KEY';

/** Adds the options to a command. */
export function withAdministration<Arguments>(yargs: Argv<Arguments>) {
	return yargs
		.option('admin', {type: 'string', demandOption: true, describe: 'Base URL of the administration API of any daemon.'})
		.option('keyFile', {type: 'string', describe: `File with the operator's key; without it the variable ${operatorKeyVariable} is read.`});
}

/** One call. */
export type AdministrationCall = {
	method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	body?: unknown;
	/** Version that a change was made from. */
	fromVersion?: number;
};

/** A daemon's answer. */
export type AdministrationAnswer = {
	/** Version of the configuration that the answer is about; 0 when it says none. */
	version: number;
	text: string;
};

const errorSchema = z.looseObject({error: z.looseObject({code: z.string(), message: z.string()})});
const etag = /"(?<version>\d+)"/v;

/**
 * Calls the API.
 *
 * @throws {AdministrationCallError} with the daemon's own words when it refuses.
 * @throws {CommandError} when there is no key, or the daemon can't be reached.
 */
export async function callAdministration({admin, keyFile}: AdministrationArguments, call: AdministrationCall): Promise<AdministrationAnswer> {
	const key = await readOperatorKey(keyFile);
	const headers: Record<string, string> = {authorization: `Bearer ${key}`};
	if (call.body !== undefined) {
		headers['content-type'] = 'application/json';
	}

	if (call.fromVersion !== undefined) {
		headers['if-match'] = `"${call.fromVersion}"`;
	}

	let res;
	try {
		res = await fetch(new URL(call.path, admin), {
			method: call.method ?? 'GET', headers, body: call.body === undefined ? null : JSON.stringify(call.body),
		});
	} catch (error) {
		throw new CommandError(`No daemon answers at ${admin}. Name another one with --admin.`, {cause: error});
	}

	const text = await res.text();
	if (!res.ok) {
		throw describeRefusal(res.status, text);
	}

	return {version: Number(etag.exec(res.headers.get('etag') ?? '')?.groups?.version ?? 0), text};
}

async function readOperatorKey(file: string | undefined): Promise<string> {
	if (file !== undefined) {
		try {
			const text = await readFile(file, 'utf8');
			return text.trim();
		} catch (error) {
			throw new CommandError(`Can't read the key file ${file}.`, {cause: error});
		}
	}

	const key = process.env[operatorKeyVariable];
	if (key === undefined || key === '') {
		throw new CommandError(`There is no operator's key. Name a file with --key-file, or set ${operatorKeyVariable}.`);
	}

	return key;
}

function describeRefusal(status: number, text: string): AdministrationCallError {
	try {
		const {error} = errorSchema.parse(JSON.parse(text));
		const {code, message, ...details} = error;
		const more = Object.keys(details).length === 0 ? '' : `\n${JSON.stringify(details, undefined, 2)}`;
		return new AdministrationCallError(`${status} ${code}: ${message}${more}`);
	} catch {
		return new AdministrationCallError(`The daemon answered ${status}: ${text}`);
	}
}
