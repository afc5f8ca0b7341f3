/** Whether a call to a plain service may run more than once. */
import {type PlainService, type ServiceRoute} from '../configuration/document.js';
import {type CallKind} from './failure-classes.js';

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

function matches(route: ServiceRoute, method: string, segments: readonly string[]): boolean {
	if (route.method !== method) {
		return false;
	}

	const wanted = route.path.split('/');
	if (wanted.length !== segments.length) {
		return false;
	}

	for (const [index, segment] of wanted.entries()) {
		if (segment !== '*' && segment !== segments[index]) {
			return false;
		}
	}

	return true;
}

/**
 * Classifies a call by the first declared route of the service that matches.
 * Without a match, GET, HEAD and OPTIONS are idempotent and other methods are not.
 *
 * @param path Path below the service; a query is ignored.
 */
export function classifyRoute(service: PlainService, method: string, path: string): CallKind {
	const segments = path.split('?', 1)[0].split('/');
	for (const route of service.routes) {
		if (matches(route, method, segments)) {
			return route.idempotent ? 'idempotent' : 'once';
		}
	}

	return idempotentMethods.has(method) ? 'idempotent' : 'once';
}
