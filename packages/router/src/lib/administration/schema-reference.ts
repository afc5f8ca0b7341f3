/** Generates reference tables in Markdown from schemas, so that they can't become outdated. */
import {z} from 'zod';

type Schema = {
	type?: string;
	description?: string;
	default?: unknown;
	const?: unknown;
	enum?: unknown[];
	properties?: Record<string, Schema>;
	required?: string[];
	items?: Schema;
	oneOf?: Schema[];
	anyOf?: Schema[];
	minimum?: number;
	exclusiveMinimum?: number;
	maximum?: number;
	exclusiveMaximum?: number;
	minLength?: number;
	maxLength?: number;
};

type Field = {path: string; type: string; fallback: string; description: string};

/**
 * Formats a table with a row for each field of a schema.
 *
 * @example
 * const table = formatSchemaReference(documentSchema);
 */
export function formatSchemaReference(schema: z.ZodType): string {
	const fields = listFields(z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as Schema, '', true);
	const rows = fields.map(({path, type, fallback, description}) => `| \`${path}\` | ${type} | ${fallback} | ${escapeCell(description)} |`);
	return ['| field | type | default | meaning |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

function listFields(schema: Schema, path: string, isRequired: boolean): Field[] {
	const ownFields = path === '' ? [] : [describeField(schema, path, isRequired)];
	const inner = schema.items ?? schema;
	const innerPath = schema.items === undefined ? path : `${path}[]`;
	return [...ownFields, ...listVariants(inner, innerPath), ...listProperties(inner, innerPath)];
}

function listProperties(schema: Schema, path: string): Field[] {
	const fields: Field[] = [];
	for (const [name, property] of Object.entries(schema.properties ?? {})) {
		const isRequired = schema.required?.includes(name) ?? false;
		fields.push(...listFields(property, path === '' ? name : `${path}.${name}`, isRequired));
	}

	return fields;
}

/** Lists the fields of variants, which are distinguished by a constant field such as `kind`. */
function listVariants(schema: Schema, path: string): Field[] {
	const fields: Field[] = [];
	for (const variant of schema.oneOf ?? schema.anyOf ?? []) {
		const constant = Object.values(variant.properties ?? {}).find(property => property.const !== undefined)?.const;
		fields.push(...listProperties(variant, constant === undefined ? path : `${path}(${formatValue(constant)})`));
	}

	return fields;
}

function describeField(schema: Schema, path: string, isRequired: boolean): Field {
	const fallback = schema.default === undefined ? undefined : `\`${JSON.stringify(schema.default)}\``;
	return {
		path, type: describeType(schema), fallback: fallback ?? (isRequired ? 'required' : 'absent'), description: schema.description ?? '',
	};
}

function describeType(schema: Schema): string {
	if (schema.const !== undefined) {
		return `\`${formatValue(schema.const)}\``;
	}

	if (schema.enum !== undefined) {
		return schema.enum.map(value => `\`${formatValue(value)}\``).join(', ');
	}

	if (schema.items !== undefined) {
		return `list of ${schema.items.type ?? 'object'}`;
	}

	return [schema.type ?? 'object', ...describeBounds(schema)].join(', ');
}

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

function describeBounds(schema: Schema): string[] {
	const bounds = [
		['above', schema.exclusiveMinimum],
		['at least', schema.minimum],
		['below', schema.exclusiveMaximum],
		['at most', schema.maximum === Number.MAX_SAFE_INTEGER ? undefined : schema.maximum],
		['characters at least', schema.minLength],
		['characters at most', schema.maxLength],
	] as const;
	return bounds.flatMap(([text, value]) => value === undefined ? [] : [`${text} ${value}`]);
}

const escapeCell = (text: string): string => text.replaceAll('|', String.raw`\|`).replaceAll('\n', ' ');
