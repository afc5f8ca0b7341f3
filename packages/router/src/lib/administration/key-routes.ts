/**
 * Routes that issue and withdraw keys of callers. Both change the document, with
 * the same version check, validation and history as any other change.
 */
import {z} from 'zod';
import {type FleetDocument, keySchema, type Workspace} from '../configuration/document.js';
import {issueKey} from '../configuration/key-ring.js';
import {AlreadyThereError, NotFoundError} from './administration-errors.js';
import {type ConfigurationRoutesOptions} from './configuration-routes.js';
import {defineRoute, type Route} from './route.js';
import {inForceSchema, issuedKeySchema} from './schemas.js';

/** Defines the routes of keys. */
export function defineKeyRoutes({configuration, inForce}: ConfigurationRoutesOptions): Route[] {
	/**
	 * Returns a copy that may be modified. The store caches the document: a key
	 * added to it would show as issued even after the change was refused.
	 */
	const readDocument = async (): Promise<FleetDocument> => {
		const accepted = await configuration.read();
		if (accepted === undefined) {
			throw new NotFoundError('No configuration was accepted yet. Send the first with PUT /v1/configuration.');
		}

		return structuredClone(accepted.document);
	};

	return [
		defineRoute({
			method: 'POST',
			path: '/v1/workspaces/:workspace/keys',
			summary: 'Issues a key. The answer shows it once; the document keeps its digest.',
			role: 'change',
			needsVersion: true,
			params: z.strictObject({workspace: z.string()}),
			body: z.strictObject({id: keySchema.shape.id}),
			answers: {201: issuedKeySchema},
			async handle({operator, params, body, expectedVersion}) {
				const document = await readDocument();
				const workspace = findWorkspace(document, params.workspace);
				if (workspace.keys.some(key => key.id === body.id)) {
					throw new AlreadyThereError(`Workspace "${workspace.name}" has a key "${body.id}" already. Choose another id.`);
				}

				const {key, digest} = issueKey();
				workspace.keys.push({id: body.id, digest});
				const {version} = await configuration.propose(document, {expectedVersion, who: operator.name});
				return {
					status: 201,
					version,
					body: {
						workspace: workspace.name, id: body.id, key, inForce: inForce(version),
					},
				};
			},
		}),
		defineRoute({
			method: 'DELETE',
			path: '/v1/workspaces/:workspace/keys/:key',
			summary: 'Withdraws a key. Ask where the version is in force to know when it works nowhere.',
			role: 'change',
			needsVersion: true,
			params: z.strictObject({workspace: z.string(), key: z.string()}),
			answers: {200: inForceSchema},
			async handle({operator, params, expectedVersion}) {
				const document = await readDocument();
				const workspace = findWorkspace(document, params.workspace);
				const index = workspace.keys.findIndex(key => key.id === params.key);
				if (index === -1) {
					throw new NotFoundError(`Workspace "${workspace.name}" has no key "${params.key}".`);
				}

				workspace.keys.splice(index, 1);
				const {version} = await configuration.propose(document, {expectedVersion, who: operator.name});
				return {status: 200, body: inForce(version), version};
			},
		}),
	];
}

function findWorkspace(document: FleetDocument, name: string): Workspace {
	const workspace = document.workspaces.find(item => item.name === name);
	if (workspace === undefined) {
		throw new NotFoundError(`There is no workspace "${name}".`);
	}

	return workspace;
}
