/**
 * Schemas of the document that describes a fleet and is the only place to change
 * it. Types are inferred from the schemas, which also determine the field paths
 * in errors.
 */
import {z} from 'zod';

/** The newest layout of the document that this build supports. */
export const documentLayout = 1;

const maxNameLength = 64;

/** A name that is valid in table keys, metric tags and URL paths. */
const name = z.string().max(maxNameLength).regex(/^[a-z\d](?:[a-z\d.\-]*[a-z\d])?$/v, 'use lower-case letters, digits, dots and hyphens');

/** SHA-256 of a key, in hexadecimal. The key itself is never stored. */
const digest = z.string().regex(/^[\da-f]{64}$/v, 'use the SHA-256 of the key in hexadecimal');

const dataCentreSchema = z.strictObject({
	name: name.describe('Name of the data centre, as the platform lists it.'),
	region: name.describe('Region that the data centre belongs to.'),
});

export const keySchema = z.strictObject({
	id: name.describe('Public name of the key, safe for logs.'),
	digest: digest.describe('SHA-256 of the key in hexadecimal.'),
});

const objectiveSchema = z.strictObject({
	service: name.describe('Service that the objective is about.'),
	availability: z.number().gt(0).lt(1).describe('Share of requests that must be answered whole, such as 0.999.'),
	firstTokenMs: z.number().positive().optional().describe('Milliseconds within which the first token must come.'),
	firstTokenShare: z.number().gt(0).lt(1).optional().describe('Share of requests that must meet firstTokenMs.'),
	wrongfulRefusals: z.number().gt(0).lt(1).optional().describe('Largest share of requests refused though inside their rate.'),
});

const workspaceSchema = z.strictObject({
	name: name.describe('Name of the workspace.'),
	keys: z.array(keySchema).default([]).describe('Keys that callers of the workspace may present.'),
	tokensPerSecond: z.number().positive().describe('Rate in tokens a second over all VMs together.'),
	burstTokens: z.number().positive().describe('Burst in tokens over all VMs together.'),
	weight: z.number().positive().default(1).describe('Share of a busy service relative to other workspaces.'),
	services: z.array(name).describe('Services that the workspace may call.'),
	objectives: z.array(objectiveSchema).default([]).describe('Service levels that are promised to the workspace.'),
});

const routeSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']).describe('HTTP method.'),
	path: z.string().startsWith('/').describe('Path below the service; `*` stands for one segment.'),
	idempotent: z.boolean().describe('Whether running the call twice does what running it once does.'),
});

const modelServiceSchema = z.strictObject({
	kind: z.literal('model'),
	name: name.describe('Name of the service.'),
	model: name.describe('Model that callers ask for.'),
	version: name.describe('Weights version to run.'),
	adapters: z.array(name).default([]).describe('Adapters that callers may ask for as `model:adapter`.'),
	minReady: z.number().int().nonnegative().default(1).describe('Replicas that must stay ready while others load.'),
	maxLoading: z.number().int().positive().default(3).describe('Replicas that may load weights at once.'),
	pieceTokens: z.number().int().positive().default(1024).describe('Tokens in one piece of the engines\' prefix cache.'),
	bytesPerToken: z.number().positive().default(4).describe('Bytes of prompt text in one token, by which prompts are cut and charged before the engine has counted.'),
});

const plainServiceSchema = z.strictObject({
	kind: z.literal('plain'),
	name: name.describe('Name of the service.'),
	routes: z.array(routeSchema).default([]).describe('Routes whose idempotence is declared. Undeclared: GET, HEAD and OPTIONS are idempotent, the rest is not.'),
	statusPath: z.string().startsWith('/').optional().describe('Path that tells what became of a request, with `{id}` for the request id.'),
});

const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

const endpointSchema = z.strictObject({
	name: name.describe('Name of the endpoint.'),
	service: name.describe('Service that the endpoint runs.'),
	vm: name.describe('VM that the endpoint runs on, as the platform lists it.'),
	dataCentre: name.describe('Data centre of the endpoint.'),
	address: z.url({protocol: /^https?$/v}).describe('Base URL of the endpoint.'),
	checksFencing: z.boolean().default(false).describe('Whether the endpoint refuses an order with an old fencing number.'),
});

/** Schema of the document. References between its parts are checked by {@link parseDocument}. */
export const documentSchema = z.strictObject({
	layout: z.number().int().positive().describe('Layout of this document; a build refuses one newer than it knows.'),
	dataCentres: z.array(dataCentreSchema),
	workspaces: z.array(workspaceSchema),
	services: z.array(serviceSchema),
	endpoints: z.array(endpointSchema),
});

/** The fields of a document that are not lists of named items with sections of their own. */
export const fleetSchema = documentSchema.pick({layout: true, dataCentres: true});

/** A complete, validated document. */
export type FleetDocument = z.infer<typeof documentSchema>;
export type DataCentre = z.infer<typeof dataCentreSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type WorkspaceKey = z.infer<typeof keySchema>;
export type Service = z.infer<typeof serviceSchema>;
export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainService = z.infer<typeof plainServiceSchema>;
export type ServiceRoute = z.infer<typeof routeSchema>;
export type Endpoint = z.infer<typeof endpointSchema>;
export type Objective = z.infer<typeof objectiveSchema>;

/** A document with the version under which the table accepted it. */
export type AcceptedDocument = {
	version: number;
	document: FleetDocument;
};
