/** Routes about the running fleet: status, orders with unknown outcome, burn report. */
import {z} from 'zod';
import {formatBurnText} from '../observability/burn-text.js';
import {type BurnReport} from '../observability/burn-report.js';
import {NotFoundError} from './administration-errors.js';
import {type BurnReportPort, type StatusPort, type UnknownOrdersPort} from './ports.js';
import {defineRoute, type Route, type RouteAnswer} from './route.js';
import {
	burnReportSchema, settlementSchema, statusSchema, unknownOrdersSchema,
} from './schemas.js';

/** Dependencies of the routes. */
export type FleetRoutesOptions = {
	status: StatusPort;
	unknownOrders: UnknownOrdersPort;
	burnReport: BurnReportPort;
};

const burnReportFormats = {
	json: async report => ({status: 200, body: report}),
	text: async report => ({status: 200, body: formatBurnText(report), contentType: 'text/plain; charset=utf-8'}),
	async html(report, port) {
		if (port.renderHtml === undefined) {
			throw new NotFoundError('This daemon renders no page. Ask for format=text, or use the command line.');
		}

		return {status: 200, body: await port.renderHtml(report), contentType: 'text/html; charset=utf-8'};
	},
} as const satisfies Record<string, (report: BurnReport, port: BurnReportPort) => Promise<RouteAnswer>>;

/** Defines the routes of the running fleet. */
export function defineFleetRoutes({status, unknownOrders, burnReport}: FleetRoutesOptions): Route[] {
	return [
		defineRoute({
			method: 'GET',
			path: '/v1/status',
			summary: 'VMs, endpoints, versions, leases and limits, as this daemon sees them.',
			role: 'read',
			answers: {200: statusSchema},
			handle: async () => ({status: 200, body: await status()}),
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/orders/unknown',
			summary: 'Orders that may have run and have no known outcome.',
			role: 'read',
			answers: {200: unknownOrdersSchema},
			handle: async () => ({status: 200, body: {orders: await unknownOrders.listUnknownOrders()}}),
		}),
		defineRoute({
			method: 'POST',
			path: '/v1/orders/settlements',
			summary: 'Records what an operator found out about an order; 409 when it has an outcome, or may still be on its way.',
			role: 'change',
			body: settlementSchema,
			answers: {200: settlementSchema},
			async handle({operator, body}) {
				await unknownOrders.settleUnknownOrder(body.id, body.outcome, operator.name);
				return {status: 200, body};
			},
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/reports/burn',
			summary: 'Error budgets: what is left, how fast it burns, what burned it.',
			role: 'read',
			query: z.strictObject({format: z.enum(['json', 'text', 'html']).default('json')}),
			answers: {200: burnReportSchema},
			handle: async ({query: {format}}) => burnReportFormats[format](await burnReport.create(), burnReport),
		}),
	];
}
