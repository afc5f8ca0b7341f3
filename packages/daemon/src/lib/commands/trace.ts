/** `hickorywalk trace`: records traffic, and replays it against the placement policies. */
import process from 'node:process';
import {type PolicyName} from '@hickorywalk/traces';
import {type CommandModule} from 'yargs';
import {type AdministrationArguments, callAdministration, withAdministration} from '../administration-client.js';

/** Names of the policies, listed here so that the replay code is loaded only when it is used. */
const policyChoices = ['hickorywalk', 'round-robin', 'least-load', 'whole-prompt-hash', 'prefix-hash'] as const satisfies readonly PolicyName[];

type ReplayArguments = {file: string; policy: PolicyName[] | undefined};

const replayCommand: CommandModule<unknown, ReplayArguments> = {
	command: 'replay <file>',
	describe: 'Replay a trace on fake time and print the measures; the same at every run.',
	builder: yargs => yargs
		.positional('file', {type: 'string', demandOption: true, describe: 'The trace (NDJSON, gzipped or not).'})
		.option('policy', {array: true, choices: policyChoices, describe: 'Policies to replay with; all by default.'})
		.example('$0 trace replay evening.ndjson.gz --policy hickorywalk', 'One JSON line for each policy.'),
	async handler({file, policy}) {
		const {prepareTrace, readTrace, replayTrace} = await import('@hickorywalk/traces');
		const prepared = await prepareTrace(await readTrace(file));
		for (const name of policy ?? policyChoices) {
			console.log(JSON.stringify({policy: name, ...replayTrace(prepared, name)}));
		}
	},
};

type RecordArguments = AdministrationArguments & {seconds: number};

const recordCommand: CommandModule<unknown, RecordArguments> = {
	command: 'record',
	describe: 'Record the requests of one daemon as a trace, without text or keys.',
	builder: yargs => withAdministration(yargs)
		.option('seconds', {type: 'number', default: 60, describe: 'How long to record.'})
		.example('$0 trace record --seconds 300 --admin http://10.0.0.11:7500 > evening.ndjson', 'Set the endpoints\' speeds in its first line before a replay.'),
	async handler({seconds, ...args}) {
		const {text} = await callAdministration(args, {path: `/v1/trace?seconds=${seconds}`});
		process.stdout.write(text);
	},
};

/** The `trace` command. */
export const traceCommand: CommandModule = {
	command: 'trace',
	describe: 'Record traffic and replay it.',
	builder: yargs => yargs.command(recordCommand).command(replayCommand).demandCommand(1, 'Specify a subcommand: record or replay.'),
	handler: () => undefined,
};
