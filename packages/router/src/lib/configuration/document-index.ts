/** Looks up services and endpoints of a document in time that does not grow with the fleet. */
import {
	type AcceptedDocument, type Endpoint, type ModelService, type PlainService, type Service,
} from './document.js';

/** Indexes of a document, built once for each version. */
export type DocumentIndex = {
	accepted: AcceptedDocument;
	endpoint: (name: string) => Endpoint | undefined;
	/** Endpoints of a service, in the order of the document. */
	endpointsOf: (service: string) => readonly Endpoint[];
	service: (name: string) => Service | undefined;
	/** The service that serves a model. */
	modelService: (model: string) => ModelService | undefined;
	plainService: (name: string) => PlainService | undefined;
};

/** Builds the indexes of one version. */
export function createDocumentIndex(accepted: AcceptedDocument): DocumentIndex {
	const {document} = accepted;
	const endpoints = new Map(document.endpoints.map(endpoint => [endpoint.name, endpoint]));
	const services = new Map(document.services.map(service => [service.name, service]));
	const models = new Map<string, ModelService>();
	const byService = new Map<string, Endpoint[]>();
	for (const service of document.services) {
		byService.set(service.name, []);
		if (service.kind === 'model') {
			models.set(service.model, service);
		}
	}

	for (const endpoint of document.endpoints) {
		byService.get(endpoint.service)?.push(endpoint);
	}

	return {
		accepted,
		endpoint: name => endpoints.get(name),
		endpointsOf: service => byService.get(service) ?? [],
		service: name => services.get(name),
		modelService: model => models.get(model),
		plainService(name) {
			const service = services.get(name);
			return service?.kind === 'plain' ? service : undefined;
		},
	};
}

/**
 * Returns a function that gives the index of the version in force and rebuilds it only when the version changes.
 *
 * @example
 * const index = createCurrentIndex(follower.current);
 * index()?.endpoint('ws-1');
 */
export function createCurrentIndex(current: () => AcceptedDocument | undefined): () => DocumentIndex | undefined {
	let built: DocumentIndex | undefined;
	return () => {
		const accepted = current();
		if (accepted === undefined) {
			return undefined;
		}

		if (built?.accepted !== accepted) {
			built = createDocumentIndex(accepted);
		}

		return built;
	};
}
