/** `hickorywalk serve`: runs one daemon until SIGTERM or SIGINT. */
import process from 'node:process';
import {type CommandModule} from 'yargs';

type ServeArguments = {settings: string; check: boolean};

/** The `serve` command. */
export const serveCommand: CommandModule<unknown, ServeArguments> = {
	command: 'serve',
	describe: 'Run one daemon.',
	builder: yargs => yargs
		.option('settings', {type: 'string', demandOption: true, describe: 'Path of the settings file (JSON).'})
		.option('check', {type: 'boolean', default: false, describe: 'Check the settings and exit.'})
		.example('$0 serve --settings vm-1.json', 'Serve until SIGTERM, then drain.')
		.example('$0 serve --settings vm-1.json --check', 'Only check the settings.'),
	async handler({settings: file, check}) {
		// Imported here so that other commands don't load the whole daemon.
		const {readSettings} = await import('../settings.js');
		const settings = await readSettings(file);
		if (check) {
			console.log(`${file} holds together.`);
			return;
		}

		const {createLog, setLogWriter} = await import('hickorywalk/observability.js');
		const {stopAtSignals} = await import('../stop-signals.js');
		setLogWriter(line => {
			process.stderr.write(`${line}\n`);
		}, settings.logLevel);
		const {startDaemon} = await import('../daemon.js');
		const daemon = await startDaemon(settings);
		console.log(JSON.stringify({listening: daemon.callersUrl, administration: daemon.administrationUrl, peers: daemon.peerAddress}));
		stopAtSignals({
			stop: daemon.stop, limitMs: settings.stopMs, exit: process.exit, log: createLog('daemon'),
		});
	},
};
