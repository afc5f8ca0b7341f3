/** Generates the OpenAPI document from the routes and their schemas. */
import {z} from 'zod';
import {type Route} from './route.js';
import {errorSchema} from './schemas.js';

type JsonObject = Record<string, unknown>;

/** Creates the OpenAPI document of all routes. */
export function createOpenApi(routes: readonly Route[], version: string): JsonObject {
	const paths: Record<string, JsonObject> = {};
	for (const route of routes) {
		const path = route.path.replaceAll(/:(\w+)/gv, '{$1}');
		paths[path] = {...paths[path], [route.method.toLowerCase()]: describeRoute(route)};
	}

	return {
		openapi: '3.1.0',
		info: {title: 'hickorywalk administration', version},
		components: {securitySchemes: {operator: {type: 'http', scheme: 'bearer', description: 'An operator key.'}}},
		security: [{operator: []}],
		paths,
	};
}

function describeRoute(route: Route): JsonObject {
	const responses: JsonObject = {default: {description: 'Refused or failed.', content: jsonContent(errorSchema, 'output')}};
	for (const [status, schema] of Object.entries(route.answers)) {
		responses[status] = {description: 'Done.', content: jsonContent(schema, 'output')};
	}

	return {
		summary: route.summary,
		'x-role': route.role,
		parameters: describeParameters(route),
		...(route.body !== undefined && {requestBody: {required: true, content: jsonContent(route.body, 'input')}}),
		responses,
	};
}

function describeParameters(route: Route): JsonObject[] {
	const parameters = [...listParameters(route.params, 'path'), ...listParameters(route.query, 'query')];
	if (route.needsVersion) {
		parameters.push({
			name: 'If-Match', in: 'header', required: true, description: 'Version that the change was made from, in quotes.', schema: {type: 'string', pattern: String.raw`^"\d+"$`},
		});
	}

	return parameters;
}

function listParameters(schema: z.ZodType, location: 'path' | 'query'): JsonObject[] {
	const {properties = {}, required = []} = toSchema(schema, 'input') as {properties?: JsonObject; required?: string[]};
	return Object.entries(properties).map(([name, property]) => ({
		name, in: location, required: location === 'path' || required.includes(name), schema: property,
	}));
}

function jsonContent(schema: z.ZodType, io: 'input' | 'output'): JsonObject {
	return {'application/json': {schema: toSchema(schema, io)}};
}

function toSchema(schema: z.ZodType, io: 'input' | 'output'): JsonObject {
	const {$schema: _, ...rest} = z.toJSONSchema(schema, {io, unrepresentable: 'any'});
	return rest;
}
