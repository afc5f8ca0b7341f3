/** Validates a document: its fields first, then the references between them. */
import {type z} from 'zod';
import {type DocumentFault, DocumentInvalidError, DocumentTooNewError} from './configuration-errors.js';
import {documentLayout, documentSchema, type FleetDocument} from './document.js';

/**
 * Parses and validates a document.
 *
 * @throws {DocumentTooNewError} when its layout is newer than this build supports.
 * @throws {DocumentInvalidError} with every fault and its field.
 */
export function parseDocument(input: unknown): FleetDocument {
	refuseNewerLayout(input);
	const result = documentSchema.safeParse(input);
	if (!result.success) {
		throw new DocumentInvalidError(result.error.issues.map(issue => faultOf(issue)));
	}

	checkReferences(result.data);
	return result.data;
}

/**
 * Checks that names are unique and that references between fields resolve.
 *
 * @throws {DocumentInvalidError} with every fault and its field.
 */
export function checkReferences(document: FleetDocument): void {
	const faults = findReferenceFaults(document);
	if (faults.length > 0) {
		throw new DocumentInvalidError(faults);
	}
}

/**
 * Refuses a newer layout before any field is parsed, since this build would
 * silently drop what it does not know.
 *
 * @throws {DocumentTooNewError} when the layout is newer than this build supports.
 */
export function refuseNewerLayout(input: unknown): void {
	if (typeof input !== 'object' || input === null || !('layout' in input)) {
		return;
	}

	if (typeof input.layout === 'number' && input.layout > documentLayout) {
		throw new DocumentTooNewError(`The document has layout ${input.layout}; this build knows up to ${documentLayout}. Upgrade every daemon first.`);
	}
}

function faultOf(issue: z.core.$ZodIssue): DocumentFault {
	return {path: formatPath(issue.path), message: issue.message};
}

/** Formats a path as operators write it: `workspaces[2].name`. */
export function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		if (typeof part === 'number') {
			text += `[${part}]`;
			continue;
		}

		text += text === '' ? String(part) : `.${String(part)}`;
	}

	return text === '' ? '(document)' : text;
}

type Named = {name: string};

function findDuplicates(list: readonly Named[], path: string): DocumentFault[] {
	const seen = new Set<string>();
	const faults: DocumentFault[] = [];
	for (const [index, item] of list.entries()) {
		if (seen.has(item.name)) {
			faults.push({path: `${path}[${index}].name`, message: `"${item.name}" stands twice`});
		}

		seen.add(item.name);
	}

	return faults;
}

function findReferenceFaults(document: FleetDocument): DocumentFault[] {
	return [
		...findDuplicates(document.dataCentres, 'dataCentres'),
		...findDuplicates(document.workspaces, 'workspaces'),
		...findDuplicates(document.services, 'services'),
		...findDuplicates(document.endpoints, 'endpoints'),
		...findWorkspaceFaults(document),
		...findEndpointFaults(document),
		...findServiceFaults(document),
	];
}

function findWorkspaceFaults(document: FleetDocument): DocumentFault[] {
	const services = new Set(document.services.map(service => service.name));
	const faults: DocumentFault[] = [];
	const digests = new Set<string>();
	for (const [index, workspace] of document.workspaces.entries()) {
		for (const [at, service] of workspace.services.entries()) {
			if (!services.has(service)) {
				faults.push({path: `workspaces[${index}].services[${at}]`, message: `there is no service "${service}"`});
			}
		}

		for (const [at, objective] of workspace.objectives.entries()) {
			if (!workspace.services.includes(objective.service)) {
				faults.push({path: `workspaces[${index}].objectives[${at}].service`, message: `the workspace may not call "${objective.service}"`});
			}
		}

		for (const [at, key] of workspace.keys.entries()) {
			if (digests.has(key.digest)) {
				faults.push({path: `workspaces[${index}].keys[${at}].digest`, message: 'another key has this digest'});
			}

			digests.add(key.digest);
		}
	}

	return faults;
}

function findEndpointFaults(document: FleetDocument): DocumentFault[] {
	const services = new Set(document.services.map(service => service.name));
	const dataCentres = new Set(document.dataCentres.map(dataCentre => dataCentre.name));
	const faults: DocumentFault[] = [];
	for (const [index, endpoint] of document.endpoints.entries()) {
		if (!services.has(endpoint.service)) {
			faults.push({path: `endpoints[${index}].service`, message: `there is no service "${endpoint.service}"`});
		}

		if (!dataCentres.has(endpoint.dataCentre)) {
			faults.push({path: `endpoints[${index}].dataCentre`, message: `there is no data centre "${endpoint.dataCentre}"`});
		}
	}

	return faults;
}

function findServiceFaults(document: FleetDocument): DocumentFault[] {
	const models = new Map<string, string>();
	const faults: DocumentFault[] = [];
	for (const [index, service] of document.services.entries()) {
		if (service.kind !== 'model') {
			continue;
		}

		const other = models.get(service.model);
		if (other !== undefined) {
			faults.push({path: `services[${index}].model`, message: `service "${other}" serves this model already`});
		}

		models.set(service.model, service.name);
	}

	return faults;
}
