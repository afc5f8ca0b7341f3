/** Finds the route of a request and chooses its service. */
import {type Route} from './fleet-document.js';

/** Index of a document's routes. */
export type RouteTable = {
	/** Returns the host's route with the longest matching prefix of the path. */
	lookUp: (host: string, path: string) => Route | undefined;
};

/** Builds the index of a document's routes. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
	const byHost = new Map<string, Map<string, Route>>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		const byPrefix = byHost.get(host) ?? new Map<string, Route>();
		byPrefix.set(route.prefix, route);
		byHost.set(host, byPrefix);
	}

	return {
		lookUp(host, path) {
			const byPrefix = byHost.get(hostNameOf(host));
			if (byPrefix === undefined) {
				return undefined;
			}

			const pathEnd = path.search(/[#?]/v);
			const pathname = pathEnd === -1 ? path : path.slice(0, pathEnd);
			for (let end = pathname.lastIndexOf('/'); end >= 0; end = pathname.lastIndexOf('/', end - 1)) {
				const route = byPrefix.get(pathname.slice(0, end + 1));
				if (route !== undefined) {
					return route;
				}

				if (end === 0) {
					break;
				}
			}

			return undefined;
		},
	};
}

function hostNameOf(host: string): string {
	const portAt = host.indexOf(':');
	return (portAt === -1 ? host : host.slice(0, portAt)).toLowerCase();
}

/**
 * Chooses one of a route's target services at random, by weight.
 *
 * @param draw A random number in [0, 1).
 */
export function chooseService(route: Route, draw: number): string | undefined {
	let total = 0;
	for (const target of route.targets) {
		total += target.weight;
	}

	let left = draw * total;
	for (const target of route.targets) {
		left -= target.weight;
		if (left < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)?.service;
}
