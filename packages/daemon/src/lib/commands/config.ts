/** `hickorywalk config`: checks, shows and changes the fleet's configuration document. */
import {readFile} from 'node:fs/promises';
import {parseDocument} from 'hickorywalk/configuration.js';
import {type CommandModule} from 'yargs';
import {z} from 'zod';
import {type AdministrationArguments, callAdministration, withAdministration} from '../administration-client.js';
import {CommandError} from '../daemon-errors.js';

type FileArguments = {file: string};

/** Reads and parses a file; the document in it is not validated. */
async function readDocumentFile(file: string): Promise<unknown> {
	let text;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new CommandError(`Can't read ${file}.`, {cause: error});
	}

	try {
		return JSON.parse(text);
	} catch (error) {
		throw new CommandError(`${file} is not valid JSON: ${error instanceof Error ? error.message : ''}`, {cause: error});
	}
}

const checkCommand: CommandModule<unknown, FileArguments> = {
	command: 'check <file>',
	describe: 'Check a document without asking any daemon.',
	builder: yargs => yargs
		.positional('file', {type: 'string', demandOption: true, describe: 'The document (JSON).'})
		.example('$0 config check fleet.json', 'Names every wrong field.'),
	async handler({file}) {
		parseDocument(await readDocumentFile(file));
		console.log(`${file} holds together.`);
	},
};

const acceptedSchema = z.looseObject({version: z.number(), document: z.unknown()});

const showCommand: CommandModule<unknown, AdministrationArguments> = {
	command: 'show',
	describe: 'Print the accepted document; its version goes to standard error.',
	builder: yargs => withAdministration(yargs).example('$0 config show --admin http://10.0.0.11:7500 > fleet.json', 'Fetch it to edit.'),
	async handler(args) {
		const {text} = await callAdministration(args, {path: '/v1/configuration'});
		const {version, document} = acceptedSchema.parse(JSON.parse(text));
		console.error(`Version ${version}.`);
		console.log(JSON.stringify(document, undefined, '\t'));
	},
};

const diffCommand: CommandModule<unknown, AdministrationArguments & FileArguments> = {
	command: 'diff <file>',
	describe: 'Show what a document would change. Changes nothing.',
	builder: yargs => withAdministration(yargs.positional('file', {type: 'string', demandOption: true, describe: 'The document (JSON).'}))
		.example('$0 config diff fleet.json --admin http://10.0.0.11:7500', 'Lists each change by its path.'),
	async handler({file, ...args}) {
		const {text} = await callAdministration(args, {method: 'POST', path: '/v1/configuration/check', body: await readDocumentFile(file)});
		console.log(JSON.stringify(JSON.parse(text), undefined, 2));
	},
};

type ApplyArguments = AdministrationArguments & FileArguments & {from: number; wait: boolean};

const inForceSchema = z.looseObject({version: z.number(), complete: z.boolean(), text: z.string()});
const pollMs = 200;

const applyCommand: CommandModule<unknown, ApplyArguments> = {
	command: 'apply <file>',
	describe: 'Accept a document as the next version.',
	builder: yargs => withAdministration(yargs.positional('file', {type: 'string', demandOption: true, describe: 'The document (JSON).'}))
		.option('from', {type: 'number', demandOption: true, describe: 'Version that the document was made from; 0 for the first.'})
		.option('wait', {type: 'boolean', default: true, describe: 'Wait until it is in force everywhere.'})
		.example('$0 config apply fleet.json --from 12 --admin http://10.0.0.11:7500', 'Refused with the difference when another change came first.'),
	async handler({file, from, wait, ...args}) {
		const {text} = await callAdministration(args, {
			method: 'PUT', path: '/v1/configuration', body: await readDocumentFile(file), fromVersion: from,
		});
		await printInForce(args, text, wait);
	},
};

/** Prints where a version is in force; with `wait`, polls and prints each change until it is in force everywhere. */
export async function printInForce(args: AdministrationArguments, first: string, wait: boolean): Promise<void> {
	let summary = inForceSchema.parse(JSON.parse(first));
	let printed = '';
	for (;;) {
		if (summary.text !== printed) {
			printed = summary.text;
			console.log(`Version ${summary.version}: ${printed}`);
		}

		if (summary.complete || !wait) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
		const {text} = await callAdministration(args, {path: `/v1/configuration/versions/${summary.version}/in-force`});
		summary = inForceSchema.parse(JSON.parse(text));
	}
}

/** The `config` command. */
export const configCommand: CommandModule = {
	command: 'config',
	describe: 'Check, show and change the document of the fleet.',
	builder: yargs => yargs.command(checkCommand).command(showCommand).command(diffCommand).command(applyCommand).demandCommand(1, 'Specify a subcommand: check, show, diff or apply.'),
	handler: () => undefined,
};
