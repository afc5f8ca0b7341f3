/** One route of the administration API: what it takes, what it gives, who may call it. */
import {z} from 'zod';
import {formatPath} from '../configuration/parse-document.js';
import {RequestInvalidError, VersionRequiredError} from './administration-errors.js';
import {type Operator, type OperatorRole} from './operators.js';

/** A request before it was checked. */
export type RawRequest = {
	operator: Operator;
	params: unknown;
	query: unknown;
	body: unknown;
	ifMatch: string | undefined;
};

/** What a route answers. */
export type RouteAnswer = {
	status: number;
	body: unknown;
	/** Version for the ETag, where the answer shows the configuration. */
	version?: number;
	/** `application/json` by default. */
	contentType?: string;
};

/** A route as the server mounts it and OpenAPI describes it. */
export type Route = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** With parameters as `:name`. */
	path: string;
	summary: string;
	role: OperatorRole;
	/** Whether If-Match must name the version that the change was made from. */
	needsVersion: boolean;
	params: z.ZodType;
	query: z.ZodType;
	body: z.ZodType | undefined;
	/** Schema of the answer by status; errors are the same for all. */
	answers: Record<number, z.ZodType>;
	run: (raw: RawRequest) => Promise<RouteAnswer>;
};

type Definition<Params extends z.ZodType, Query extends z.ZodType, Body extends z.ZodType> = {
	method: Route['method'];
	path: string;
	summary: string;
	role: OperatorRole;
	needsVersion?: boolean;
	params?: Params;
	query?: Query;
	body?: Body;
	answers: Route['answers'];
	handle: (request: {operator: Operator; params: z.output<Params>; query: z.output<Query>; body: z.output<Body>; expectedVersion: number}) => Promise<RouteAnswer>;
};

const empty = z.strictObject({});

/** Defines a route; `handle` sees only what fitted the schemas. */
export function defineRoute<Params extends z.ZodType = z.ZodType, Query extends z.ZodType = z.ZodType, Body extends z.ZodType = z.ZodType>(definition: Definition<Params, Query, Body>): Route {
	const {handle, needsVersion = false} = definition;
	const schemas = {params: definition.params ?? empty, query: definition.query ?? empty, body: definition.body ?? z.unknown()};
	return {
		...definition,
		needsVersion,
		params: schemas.params,
		query: schemas.query,
		body: definition.body,
		async run(raw) {
			return handle({
				operator: raw.operator,
				params: parsePart(schemas.params, raw.params, 'path') as z.output<Params>,
				query: parsePart(schemas.query, raw.query, 'query') as z.output<Query>,
				body: parsePart(schemas.body, raw.body, 'body') as z.output<Body>,
				expectedVersion: needsVersion ? parseIfMatch(raw.ifMatch) : 0,
			});
		},
	};
}

function parsePart(schema: z.ZodType, value: unknown, part: string): unknown {
	const result = schema.safeParse(value);
	if (!result.success) {
		throw new RequestInvalidError(result.error.issues.map(issue => ({path: `${part}: ${formatPath(issue.path)}`, message: issue.message})));
	}

	return result.data;
}

/**
 * Only one strong tag is taken. `*` would mean "whatever is there", and with it
 * the later of two operators would undo the earlier one's change unseen.
 */
function parseIfMatch(ifMatch: string | undefined): number {
	const digits = /^"(\d{1,15})"$/v.exec(ifMatch ?? '')?.[1];
	if (digits === undefined) {
		throw new VersionRequiredError();
	}

	return Number(digits);
}
