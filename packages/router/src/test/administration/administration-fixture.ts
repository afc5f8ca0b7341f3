/** Starts an administration server with an in-memory store, and a small client for it. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {createConfigurationStore, documentSchema} from '../../configuration.js';
import {type AdministrationServerOptions, createAdministrationServer, type FleetStatus} from '../../administration.js';
import {changeSchema, faultSchema, historySchema} from '../../lib/administration/schemas.js';
import {createFakePlatform} from '../configuration/fake-platform.js';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');

export const keys = {ana: 'op-ana-secret', ben: 'op-ben-secret', reader: 'op-reader-secret'};

const changes = z.array(changeSchema).default([]);

/** The fields of all answers, with empty defaults for those that an answer lacks. */
const bodySchema = z.object({
	error: z.object({
		code: z.string(),
		message: z.string(),
		faults: z.array(faultSchema).default([]),
		currentVersion: z.number().optional(),
		theirs: changes,
		yours: changes,
		version: z.number().optional(),
		token: z.string().default(''),
	}).default({
		code: '', message: '', faults: [], theirs: [], yours: [], token: '',
	}),
	version: z.number().default(0),
	text: z.string().default(''),
	document: documentSchema.optional(),
	key: z.string().default(''),
	waitingFor: z.array(z.string()).default([]),
	faults: z.array(faultSchema).default([]),
	changes,
	versions: historySchema.shape.versions.default([]),
	objectives: z.array(z.unknown()).default([]),
});

/** The answer of a route. */
export type Answer = {
	status: number;
	headers: Headers;
	text: string;
	/** The parsed JSON; `{}` when the answer is not JSON. */
	json: unknown;
	body: z.output<typeof bodySchema>;
};

export const emptyStatus: FleetStatus = {
	daemon: 'hw-1', dataCentre: 'hobart-a', ready: true, version: 1, versionAgeSeconds: 0, vms: [], endpoints: [], leases: [], limits: [],
};

export async function startServer(overrides: Partial<AdministrationServerOptions> = {}) {
	const platform = createFakePlatform();
	const store = createConfigurationStore({platform, createToken: () => 'token-1'});
	const server = createAdministrationServer({
		operators: [
			{name: 'ana', digest: digestOf(keys.ana), role: 'change'},
			{name: 'ben', digest: digestOf(keys.ben), role: 'change'},
			{name: 'reader', digest: digestOf(keys.reader), role: 'read'},
		],
		configuration: store,
		inForce: version => ({
			version, complete: false, inForce: 8, listed: 9, waitingFor: ['vm-3'], stopped: [], text: 'committed, in force on 8 of 9, waiting for vm-3',
		}),
		status: () => emptyStatus,
		unknownOrders: {listUnknownOrders: async () => [], settleUnknownOrder: async () => undefined},
		burnReport: {
			create: async () => ({
				at: 0, version: 1, objectives: [], leftOut: 0, notRead: 0,
			}),
		},
		...overrides,
	});
	const url = await server.listen({host: '127.0.0.1', port: 0});

	const call = async (who: keyof typeof keys | undefined, method: string, path: string, options: {body?: unknown; ifMatch?: string} = {}): Promise<Answer> => {
		const res = await fetch(`${url}${path}`, {
			method,
			headers: {
				...(who !== undefined && {authorization: `Bearer ${keys[who]}`}),
				...(options.ifMatch !== undefined && {'if-match': options.ifMatch}),
				...(options.body !== undefined && {'content-type': 'application/json'}),
			},
			...(options.body !== undefined && {body: JSON.stringify(options.body)}),
		});
		const text = await res.text();
		const isJson = res.headers.get('content-type')?.startsWith('application/json') ?? false;
		const json: unknown = isJson ? JSON.parse(text) : {};
		return {
			status: res.status, headers: res.headers, text, json, body: bodySchema.parse(json),
		};
	};

	return {
		url, platform, store, call, close: async () => server.close(),
	};
}
