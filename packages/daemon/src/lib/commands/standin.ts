/** `hickorywalk standin`: runs a stand-in for an external system. */
import {type CommandModule} from 'yargs';

type StandinArguments = {kind: 'platform' | 'engine' | 'service'; host: string; port: number; options: string};

/** The `standin` command. */
export const standinCommand: CommandModule<unknown, StandinArguments> = {
	command: 'standin <kind>',
	describe: 'Run a stand-in of the platform, an engine or a plain service.',
	builder: yargs => yargs
		.positional('kind', {choices: ['platform', 'engine', 'service'] as const, demandOption: true})
		.option('host', {type: 'string', default: '127.0.0.1', describe: 'Address to bind.'})
		.option('port', {type: 'number', default: 0, describe: 'Port to bind; 0 takes any free one.'})
		.option('options', {type: 'string', default: '{}', describe: 'Further options of the stand-in (JSON).'})
		.example('$0 standin engine --port 9001 --options \'{"model":"wordsmith"}\'', 'Run one engine.'),
	async handler({kind, host, port, options}) {
		const {startEngineStandin, startPlatformStandin, startServiceStandin} = await import('@hickorywalk/standins');
		const starters: Record<StandinArguments['kind'], (options: Record<string, unknown>) => Promise<{url: string}>> = {
			platform: startPlatformStandin,
			engine: startEngineStandin,
			service: startServiceStandin,
		};
		const standin = await starters[kind]({...JSON.parse(options) as Record<string, unknown>, host, port});
		console.log(JSON.stringify({listening: standin.url}));
	},
};
