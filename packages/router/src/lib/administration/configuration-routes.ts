/** Routes that read, check and change the configuration and list its history. */
import {z} from 'zod';
import {DocumentInvalidError} from '../configuration/configuration-errors.js';
import {differenceOf} from '../configuration/document-difference.js';
import {documentSchema} from '../configuration/document.js';
import {parseDocument} from '../configuration/parse-document.js';
import {type VersionRecord} from '../configuration/configuration-records.js';
import {NotFoundError} from './administration-errors.js';
import {type ConfigurationPort, type InForcePort} from './ports.js';
import {defineRoute, type Route} from './route.js';
import {
	acceptedSchema, checkSchema, historySchema, inForceSchema, outcomeSchema, versionChangesSchema,
} from './schemas.js';

const versionParameter = z.strictObject({version: z.coerce.number().int().positive()});

/** Any JSON object: the document is validated by `parseDocument`, which reports faults by field. */
const anyDocument = z.record(z.string(), z.unknown());

/** Dependencies of the routes. */
export type ConfigurationRoutesOptions = {
	configuration: ConfigurationPort;
	inForce: InForcePort;
};

/** Defines the routes of the configuration. */
export function defineConfigurationRoutes(options: ConfigurationRoutesOptions): Route[] {
	return [...defineReadingRoutes(options), ...defineHistoryRoutes(options), defineProposal(options)];
}

function defineReadingRoutes({configuration}: ConfigurationRoutesOptions): Route[] {
	return [
		defineRoute({
			method: 'GET',
			path: '/v1/configuration',
			summary: 'The accepted document; its ETag is what a change sends back as If-Match.',
			role: 'read',
			answers: {200: acceptedSchema},
			async handle() {
				const accepted = await configuration.read();
				if (accepted === undefined) {
					throw new NotFoundError('No configuration was accepted yet. Send the first with If-Match: "0".');
				}

				return {status: 200, body: accepted, version: accepted.version};
			},
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/configuration/schema',
			summary: 'JSON schema of the document.',
			role: 'read',
			answers: {200: z.record(z.string(), z.unknown())},
			handle: async () => ({status: 200, body: z.toJSONSchema(documentSchema, {io: 'input'})}),
		}),
		defineRoute({
			method: 'POST',
			path: '/v1/configuration/check',
			summary: 'Checks a document and shows what accepting it would change. Changes nothing.',
			role: 'read',
			body: anyDocument,
			answers: {200: checkSchema},
			async handle({body}) {
				const accepted = await configuration.read();
				return {status: 200, body: {currentVersion: accepted?.version ?? 0, ...checkDocument(body, accepted?.document)}};
			},
		}),
	];
}

function checkDocument(body: unknown, current: unknown): Pick<z.infer<typeof checkSchema>, 'changes' | 'faults'> {
	try {
		return {faults: [], changes: differenceOf(current, parseDocument(body))};
	} catch (error) {
		if (error instanceof DocumentInvalidError) {
			return {faults: error.faults, changes: []};
		}

		throw error;
	}
}

function defineProposal({configuration, inForce}: ConfigurationRoutesOptions): Route {
	return defineRoute({
		method: 'PUT',
		path: '/v1/configuration',
		summary: 'Accepts a document as the next version, unless another change came first (412, with the difference).',
		role: 'change',
		needsVersion: true,
		body: anyDocument,
		answers: {200: inForceSchema},
		async handle({operator, body, expectedVersion}) {
			const {version} = await configuration.propose(body, {expectedVersion, who: operator.name});
			return {status: 200, body: inForce(version), version};
		},
	});
}

const maxHistoryLimit = 100;

function defineHistoryRoutes({configuration, inForce}: ConfigurationRoutesOptions): Route[] {
	const requireRecord = async (version: number): Promise<VersionRecord> => {
		const record = await configuration.readRecord(version);
		if (record === undefined) {
			throw new NotFoundError(`Version ${version} is not kept, or never was. See /v1/configuration/history.`);
		}

		return record;
	};

	const documentOf = async (version: number): Promise<unknown> => {
		const record = version === 0 ? undefined : await configuration.readRecord(version);
		if (record === undefined) {
			return undefined;
		}

		const loaded = await configuration.load(record);
		return loaded.set.document;
	};

	return [
		defineRoute({
			method: 'GET',
			path: '/v1/configuration/history',
			summary: 'Who changed the configuration, and when.',
			role: 'read',
			query: z.strictObject({
				before: z.coerce.number().int().positive().optional().describe('Only versions below this one.'),
				limit: z.coerce.number().int().min(1).max(maxHistoryLimit).default(20),
			}),
			answers: {200: historySchema},
			async handle({query: {before, limit}}) {
				const head = await configuration.readHead();
				const newest = Math.min(head?.record.version ?? 0, (before ?? Number.POSITIVE_INFINITY) - 1);
				const records = await configuration.listRecords(Math.max(0, newest - limit), limit);
				const versions = records.filter(record => record.version <= newest).map(({version, who, at, sections}) => ({
					version, who, at, sections,
				}));
				return {status: 200, body: {versions: versions.toReversed()}};
			},
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/configuration/versions/:version',
			summary: 'What one version changed.',
			role: 'read',
			params: versionParameter,
			answers: {200: versionChangesSchema},
			async handle({params: {version}}) {
				const {who, at} = await requireRecord(version);
				const changes = differenceOf(await documentOf(version - 1), await documentOf(version));
				return {
					status: 200, body: {
						version, who, at, changes,
					},
				};
			},
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/configuration/versions/:version/in-force',
			summary: 'Where a version is in force, and which VMs are waited for.',
			role: 'read',
			params: versionParameter,
			answers: {200: inForceSchema},
			handle: async ({params: {version}}) => ({status: 200, body: inForce(version)}),
		}),
		defineRoute({
			method: 'GET',
			path: '/v1/configuration/versions/:version/attempts/:token',
			summary: 'What became of a change whose answer was lost (504).',
			role: 'read',
			params: z.strictObject({version: versionParameter.shape.version, token: z.string().min(1).max(64)}),
			answers: {200: outcomeSchema},
			handle: async ({params: {version, token}}) => ({status: 200, body: {outcome: await configuration.outcomeOf(version, token)}}),
		}),
	];
}
