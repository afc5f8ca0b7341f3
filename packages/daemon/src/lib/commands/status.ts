/** `hickorywalk status`, `orders` and `report`: inspect a running fleet and settle orders. */
import {type CommandModule} from 'yargs';
import {type AdministrationArguments, callAdministration, withAdministration} from '../administration-client.js';

async function printJson(args: AdministrationArguments, path: string): Promise<void> {
	const {text} = await callAdministration(args, {path});
	console.log(JSON.stringify(JSON.parse(text), undefined, 2));
}

/** The `status` command. */
export const statusCommand: CommandModule<unknown, AdministrationArguments> = {
	command: 'status',
	describe: 'Show VMs, endpoints and the version in force, as one daemon sees them.',
	builder: yargs => withAdministration(yargs).example('$0 status --admin http://10.0.0.11:7500', 'Prints JSON.'),
	handler: async args => printJson(args, '/v1/status'),
};

const listCommand: CommandModule<unknown, AdministrationArguments> = {
	command: 'unknown',
	describe: 'List orders whose outcome is unknown, oldest first.',
	builder: yargs => withAdministration(yargs).example('$0 orders unknown --admin http://10.0.0.11:7500', 'Prints JSON.'),
	handler: async args => printJson(args, '/v1/orders/unknown'),
};

type SettleArguments = AdministrationArguments & {id: string; outcome: 'ran' | 'not_run'};

const settleCommand: CommandModule<unknown, SettleArguments> = {
	command: 'settle <id> <outcome>',
	describe: 'Record what you found out about an order at its service.',
	builder: yargs => withAdministration(yargs
		.positional('id', {type: 'string', demandOption: true, describe: 'The order, as listed.'})
		.positional('outcome', {choices: ['ran', 'not_run'] as const, demandOption: true, describe: 'Whether it ran.'}))
		.example('$0 orders settle school-1/orderdesk/r-17 ran --admin http://10.0.0.11:7500', 'Repeats then get this outcome.'),
	async handler({id, outcome, ...args}) {
		await callAdministration(args, {method: 'POST', path: '/v1/orders/settlements', body: {id, outcome}});
		console.log(`Order ${id} is settled: ${outcome}.`);
	},
};

/** The `orders` command. */
export const ordersCommand: CommandModule = {
	command: 'orders',
	describe: 'List and settle orders whose outcome is unknown.',
	builder: yargs => yargs.command(listCommand).command(settleCommand).demandCommand(1, 'Specify a subcommand: unknown or settle.'),
	handler: () => undefined,
};

type BurnArguments = AdministrationArguments & {format: 'text' | 'json' | 'html'};

const burnCommand: CommandModule<unknown, BurnArguments> = {
	command: 'burn',
	describe: 'Report error budgets: what is left, how fast it burns, what burned it.',
	builder: yargs => withAdministration(yargs)
		.option('format', {choices: ['text', 'json', 'html'] as const, default: 'text' as const, describe: 'Form of the report.'})
		.example('$0 report burn --format html --admin http://10.0.0.11:7500 > burn.html', 'A page with plots.'),
	async handler({format, ...args}) {
		const {text} = await callAdministration(args, {path: `/v1/reports/burn?format=${format}`});
		console.log(text);
	},
};

/** The `report` command. */
export const reportCommand: CommandModule = {
	command: 'report',
	describe: 'Reports on service levels.',
	builder: yargs => yargs.command(burnCommand).demandCommand(1, 'Specify a report: burn.'),
	handler: () => undefined,
};
