/** Schemas of requests and answers of the administration API; its OpenAPI document is generated from them. */
import {z} from 'zod';
import {documentSchema} from '../configuration/document.js';

const version = z.number().int().nonnegative().describe('Version of the configuration.');

export const faultSchema = z.strictObject({
	path: z.string().describe('Field, such as `workspaces[2].name`.'),
	message: z.string(),
});

export const changeSchema = z.strictObject({
	path: z.string().describe('Place, such as `workspaces[school-1].tokensPerSecond`.'),
	before: z.unknown().optional().describe('Absent when the place is new.'),
	after: z.unknown().optional().describe('Absent when the place is gone.'),
});

export const errorSchema = z.object({
	error: z.object({
		code: z.string(),
		message: z.string(),
		faults: z.array(faultSchema).optional().describe('Fields to mend.'),
		currentVersion: version.optional(),
		theirs: z.array(changeSchema).optional().describe('What others changed meanwhile.'),
		yours: z.array(changeSchema).optional().describe('What your document would change now.'),
		version: version.optional(),
		token: z.string().optional().describe('Names the attempt whose outcome is unknown.'),
	}),
});

export const acceptedSchema = z.strictObject({version, document: documentSchema});

export const checkSchema = z.strictObject({
	faults: z.array(faultSchema).describe('Empty when the document holds together.'),
	currentVersion: version,
	changes: z.array(changeSchema).describe('What accepting it would change now; empty when it has faults.'),
});

export const inForceSchema = z.strictObject({
	version,
	complete: z.boolean().describe('Whether no daemon serves by an older version any more.'),
	inForce: z.number().int(),
	listed: z.number().int(),
	waitingFor: z.array(z.string()).describe('VMs that serve by an older version, or may.'),
	stopped: z.array(z.string()).describe('VMs that are silent for longer than they may serve.'),
	text: z.string(),
});

export const historySchema = z.strictObject({
	versions: z.array(z.strictObject({
		version,
		who: z.string(),
		at: z.number().describe('Milliseconds since 1970, by the clock of the daemon that took the change.'),
		sections: z.array(z.string()).describe('Names of some changed sections.'),
	})).describe('Newest first.'),
});

export const versionChangesSchema = z.strictObject({
	version, who: z.string(), at: z.number(), changes: z.array(changeSchema),
});

export const outcomeSchema = z.strictObject({outcome: z.enum(['accepted', 'refused', 'unknown'])});

export const issuedKeySchema = z.strictObject({
	workspace: z.string(),
	id: z.string(),
	key: z.string().describe('Shown this once and kept nowhere.'),
	inForce: inForceSchema,
});

const seconds = z.number().nonnegative();

export const statusSchema = z.strictObject({
	/** Name of the answering daemon. */
	daemon: z.string(),
	dataCentre: z.string(),
	ready: z.boolean(),
	/** Version in force at this daemon. */
	version,
	versionAgeSeconds: seconds.describe('Time since this version was known to be the newest.'),
	vms: z.array(z.strictObject({
		name: z.string(), dataCentre: z.string(), state: z.string(), version, silentSeconds: seconds.nullable().describe('Null when never heard of.'),
	})),
	endpoints: z.array(z.strictObject({
		name: z.string(),
		service: z.string(),
		dataCentre: z.string(),
		state: z.string(),
		version: z.string().describe('Weights version; empty when not known.'),
		running: z.number().int(),
		waiting: z.number().int(),
	})),
	leases: z.array(z.strictObject({
		name: z.string(), holder: z.string(), generation: z.number().int(), expiresInSeconds: z.number(),
	})),
	limits: z.array(z.strictObject({
		workspace: z.string(), rateShare: z.number().describe('Tokens a second held here.'), burstShare: z.number(), level: z.number(),
	})),
});

export const unknownOrdersSchema = z.strictObject({
	orders: z.array(z.strictObject({
		id: z.string(),
		workspace: z.string(),
		service: z.string(),
		requestId: z.string(),
		method: z.string(),
		path: z.string(),
		createdMs: z.number().describe('Milliseconds since 1970.'),
		endpoint: z.string(),
		reason: z.string(),
	})).describe('Oldest first.'),
});

export const settlementSchema = z.strictObject({
	id: z.string().min(1).describe('The order, as listed.'),
	outcome: z.enum(['ran', 'not_run']).describe('What you found out at the service.'),
});

const windowSchema = z.strictObject({total: z.number(), broken: z.number(), burn: z.number().nullable()});
const objectiveName = z.enum(['availability', 'first_token', 'wrongful_refusals']);

export const burnReportSchema = z.strictObject({
	at: z.number(),
	version,
	objectives: z.array(z.strictObject({
		workspace: z.string(),
		service: z.string(),
		objective: objectiveName,
		allowed: z.number(),
		windows: z.strictObject({'1h': windowSchema, '6h': windowSchema, '3d': windowSchema}),
		budgetLeft: z.number().nullable(),
		causes: z.array(z.strictObject({cause: z.string(), requests: z.number()})),
		hours: z.array(z.number().nullable()),
	})),
	worstServed: z.strictObject({workspace: z.string(), service: z.string(), objective: objectiveName}).optional(),
	leftOut: z.number(),
	notRead: z.number(),
});
