/** `hickorywalk keys`: creates and withdraws keys of workspaces. */
import {type CommandModule} from 'yargs';
import {z} from 'zod';
import {type AdministrationArguments, callAdministration, withAdministration} from '../administration-client.js';
import {printInForce} from './config.js';

type KeyArguments = AdministrationArguments & {workspace: string; id: string};

const issuedSchema = z.looseObject({key: z.string(), inForce: z.unknown()});

async function currentVersion(args: AdministrationArguments): Promise<number> {
	const {version} = await callAdministration(args, {path: '/v1/configuration'});
	return version;
}

const createCommand: CommandModule<unknown, KeyArguments> = {
	command: 'create <workspace> <id>',
	describe: 'Give a workspace a new key. It is printed once and kept nowhere.',
	builder: yargs => withAdministration(yargs
		.positional('workspace', {type: 'string', demandOption: true, describe: 'Name of the workspace.'})
		.positional('id', {type: 'string', demandOption: true, describe: 'Public name of the key.'}))
		.example('$0 keys create school-1 teachers-2 --admin http://10.0.0.11:7500', 'Prints the key alone on standard output.'),
	async handler({workspace, id, ...args}) {
		const {text} = await callAdministration(args, {
			method: 'POST', path: `/v1/workspaces/${encodeURIComponent(workspace)}/keys`, body: {id}, fromVersion: await currentVersion(args),
		});
		console.log(issuedSchema.parse(JSON.parse(text)).key);
	},
};

const withdrawCommand: CommandModule<unknown, KeyArguments> = {
	command: 'withdraw <workspace> <id>',
	describe: 'Withdraw a key, and wait until it works nowhere.',
	builder: yargs => withAdministration(yargs
		.positional('workspace', {type: 'string', demandOption: true, describe: 'Name of the workspace.'})
		.positional('id', {type: 'string', demandOption: true, describe: 'Public name of the key.'}))
		.example('$0 keys withdraw school-1 teachers-1 --admin http://10.0.0.11:7500', 'Names the VMs that are still waited for.'),
	async handler({workspace, id, ...args}) {
		const {text} = await callAdministration(args, {
			method: 'DELETE', path: `/v1/workspaces/${encodeURIComponent(workspace)}/keys/${encodeURIComponent(id)}`, fromVersion: await currentVersion(args),
		});
		await printInForce(args, text, true);
	},
};

/** The `keys` command. */
export const keysCommand: CommandModule = {
	command: 'keys',
	describe: 'Give and withdraw keys of workspaces.',
	builder: yargs => yargs.command(createCommand).command(withdrawCommand).demandCommand(1, 'Specify a subcommand: create or withdraw.'),
	handler: () => undefined,
};
