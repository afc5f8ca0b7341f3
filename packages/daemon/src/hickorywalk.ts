#!/usr/bin/env node
/** Entry point of the command line. Exit codes: 0 success, 1 failure, 2 usage error. */
import process from 'node:process';
import {LayerError} from 'hickorywalk';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {configCommand} from './lib/commands/config.js';
import {demoCommand} from './lib/commands/demo.js';
import {keysCommand} from './lib/commands/keys.js';
import {serveCommand} from './lib/commands/serve.js';
import {standinCommand} from './lib/commands/standin.js';
import {ordersCommand, reportCommand, statusCommand} from './lib/commands/status.js';
import {traceCommand} from './lib/commands/trace.js';

const exitCodeFailed = 1;
const exitCodeUsage = 2;

await yargs(hideBin(process.argv))
	.scriptName('hickorywalk')
	.command(serveCommand)
	.command(configCommand)
	.command(keysCommand)
	.command(statusCommand)
	.command(ordersCommand)
	.command(reportCommand)
	.command(traceCommand)
	.command(demoCommand)
	.command(standinCommand)
	.demandCommand(1, 'Specify a command; --help lists them.')
	.strict()
	.fail((message, error) => {
		console.error(error === undefined ? `${message}\nRun hickorywalk --help.` : formatError(error));
		process.exit(error === undefined ? exitCodeUsage : exitCodeFailed);
	})
	.help()
	.parseAsync();

function formatError(error: Error): string {
	return error instanceof LayerError ? `${error.code}: ${error.message}` : String(error.stack);
}
