/** Client of a daemon's administration API, used by the command line. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {type Argv} from 'yargs';
import {fetch} from 'undici';
import {z} from 'zod';
import {AdministrationCallError, CommandError} from './daemon-errors.js';

/** Options shared by all commands that call a daemon. */
export type AdministrationArguments = {
	/** Base URL of the administration API of any daemon. */
	admin: string;
	/** Path of a file that holds the operator's key. */
	keyFile: string | undefined;
};

/** Environment variable that holds the operator's key when no key file is given. */
export const operatorKeyVariable = 'HICKORYWALK_OPERATOR_KEY';

/** Adds the options of {@link AdministrationArguments} to a command. */
export function withAdministration<Arguments>(yargs: Argv<Arguments>) {
	return yargs
		.option('admin', {type: 'string', demandOption: true, describe: 'Base URL of the administration API of any daemon.'})
		.option('keyFile', {type: 'string', describe: `File with the operator's key; without it the variable ${operatorKeyVariable} is read.`});
}

/** A request to the administration API. */
export type AdministrationCall = {
	method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	body?: unknown;
	/** Configuration version that a change is based on; sent as `If-Match`. */
	fromVersion?: number;
};

/** A successful response. */
export type AdministrationAnswer = {
	/** Configuration version from the response's `ETag`; 0 when it has none. */
	version: number;
	text: string;
};

const errorSchema = z.looseObject({error: z.looseObject({code: z.string(), message: z.string()})});
const etag = /"(?<version>\d+)"/v;

/**
 * Sends a request to the administration API.
 *
 * @throws {AdministrationCallError} with the status and the daemon's error message when it refuses the request.
 * @throws {CommandError} when there is no readable key, or the daemon can't be reached.
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
		throw new CommandError(`Can't reach a daemon at ${admin}. Specify another one with --admin.`, {cause: error});
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
		throw new CommandError(`No operator's key is given. Specify a file with --key-file, or set ${operatorKeyVariable}.`);
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
		return new AdministrationCallError(`The daemon responded with status ${status}: ${text}`);
	}
}
