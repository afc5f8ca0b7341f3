/** `hickorywalk trace`: replays recorded traffic against the placement policies. */
import {type PolicyName} from '@hickorywalk/traces';
import {type CommandModule} from 'yargs';

/** The policies by name; the replay itself is loaded when it is asked for. */
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

/** The command. */
export const traceCommand: CommandModule = {
	command: 'trace',
	describe: 'Replay recorded traffic.',
	builder: yargs => yargs.command(replayCommand).demandCommand(1, 'Name what to do: replay.'),
	handler: () => undefined,
};
