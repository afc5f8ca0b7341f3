/**
 * Sections are the units in which a document is stored and distributed. Each
 * workspace, service and endpoint is one, and `fleet` holds the rest, so that
 * changing one key transfers a few hundred bytes instead of the full document.
 */
import {createHash} from 'node:crypto';
import {type z} from 'zod';
import {documentSchema, fleetSchema, type FleetDocument} from './document.js';
import {DocumentInvalidError, SectionCorruptError} from './configuration-errors.js';
import {formatPath, refuseNewerLayout} from './parse-document.js';

/** One section of one version. */
export type Section = {
	/** Such as `fleet` or `workspaces/school-1`. */
	name: string;
	/** The section as stored; the digest is computed over this text. */
	json: string;
	/** SHA-256 of `json`. */
	digest: Uint8Array;
	/** Adds the parsed value to a document. */
	addTo: (document: FleetDocument) => void;
};

type SectionParser = (name: string, value: unknown) => Section['addTo'];

const workspaceSchema = documentSchema.shape.workspaces.element;
const serviceSchema = documentSchema.shape.services.element;
const endpointSchema = documentSchema.shape.endpoints.element;

const sectionParsers = {
	fleet(name, value) {
		refuseNewerLayout(value);
		const fleet = parseValue(fleetSchema, name, value);
		return document => {
			document.layout = fleet.layout;
			document.dataCentres = fleet.dataCentres;
		};
	},
	workspaces(name, value) {
		const workspace = parseValue(workspaceSchema, name, value);
		return document => {
			document.workspaces.push(workspace);
		};
	},
	services(name, value) {
		const service = parseValue(serviceSchema, name, value);
		return document => {
			document.services.push(service);
		};
	},
	endpoints(name, value) {
		const endpoint = parseValue(endpointSchema, name, value);
		return document => {
			document.endpoints.push(endpoint);
		};
	},
} as const satisfies Record<string, SectionParser>;

type SectionKind = keyof typeof sectionParsers;

function isSectionKind(kind: string): kind is SectionKind {
	return Object.hasOwn(sectionParsers, kind);
}

function parseValue<Schema extends z.ZodType>(schema: Schema, name: string, value: unknown): z.infer<Schema> {
	const result = schema.safeParse(value);
	if (!result.success) {
		throw new DocumentInvalidError(result.error.issues.map(issue => ({
			path: `${name}: ${formatPath(issue.path)}`,
			message: issue.message,
		})));
	}

	return result.data;
}

/**
 * Parses a stored or received section.
 *
 * @throws {DocumentInvalidError} when this build does not accept its fields.
 * @throws {DocumentTooNewError} when its layout is newer than this build supports.
 * @throws {SectionCorruptError} when its kind is unknown or its text is not JSON.
 */
export function parseSection(name: string, json: string): Section {
	const kind = name.split('/', 1)[0];
	if (!isSectionKind(kind)) {
		throw new SectionCorruptError(`This build does not support sections of kind "${kind}". Upgrade this daemon.`);
	}

	let value: unknown;
	try {
		value = JSON.parse(json);
	} catch (error) {
		throw new SectionCorruptError(`Section "${name}" is not valid JSON.`, {cause: error});
	}

	return {
		name,
		json,
		digest: createHash('sha256').update(json).digest(),
		addTo: sectionParsers[kind](name, value),
	};
}

/** Splits a validated document into the JSON texts of its sections, by name. */
export function splitDocument(document: FleetDocument): Map<string, string> {
	const {layout, dataCentres} = document;
	const texts = new Map([['fleet', JSON.stringify({layout, dataCentres})]]);
	for (const kind of ['workspaces', 'services', 'endpoints'] as const) {
		for (const item of document[kind]) {
			texts.set(`${kind}/${item.name}`, JSON.stringify(item));
		}
	}

	return texts;
}
