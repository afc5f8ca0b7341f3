/** Routes of the administration API: their parameters, answers and required role. */
import {z} from 'zod';
import {formatPath} from '../configuration/parse-document.js';
import {RequestInvalidError, VersionRequiredError} from './administration-errors.js';
import {type Operator, type OperatorRole} from './operators.js';

/** A request before validation. */
export type RawRequest = {
	operator: Operator;
	params: unknown;
	query: unknown;
	body: unknown;
	ifMatch: string | undefined;
};

/** The answer of a route. */
export type RouteAnswer = {
	status: number;
	body: unknown;
	/** Configuration version for the ETag; absent when the answer is not about the configuration. */
	version?: number;
	/** `application/json` by default. */
	contentType?: string;
};

/** A route, as registered with the server and described by OpenAPI. */
export type Route = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path with parameters as `:name`. */
	path: string;
	summary: string;
	role: OperatorRole;
	/** Whether If-Match must hold the version that the change is based on. */
	needsVersion: boolean;
	params: z.ZodType;
	query: z.ZodType;
	body: z.ZodType | undefined;
	/** Schema of the answer by status; errors have the same schema on all routes. */
	answers: Record<number, z.ZodType>;
	run: (raw: RawRequest) => Promise<RouteAnswer>;
};

type RouteDefinition<Params extends z.ZodType, Query extends z.ZodType, Body extends z.ZodType> = {
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

const emptySchema = z.strictObject({});

/** Defines a route. `handle` receives only values that the schemas have validated. */
export function defineRoute<Params extends z.ZodType = z.ZodType, Query extends z.ZodType = z.ZodType, Body extends z.ZodType = z.ZodType>(definition: RouteDefinition<Params, Query, Body>): Route {
	const {handle, needsVersion = false} = definition;
	const schemas = {params: definition.params ?? emptySchema, query: definition.query ?? emptySchema, body: definition.body ?? z.unknown()};
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
 * Parses the version of an If-Match header. Only a single strong tag is
 * accepted: `*` matches any version, so that the later of two operators would
 * overwrite the earlier one's change unnoticed.
 */
function parseIfMatch(ifMatch: string | undefined): number {
	const digits = /^"(\d{1,15})"$/v.exec(ifMatch ?? '')?.[1];
	if (digits === undefined) {
		throw new VersionRequiredError();
	}

	return Number(digits);
}
