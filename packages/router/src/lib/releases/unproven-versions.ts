/**
 * Software versions that the operator ordered for a service and that haven't proved themselves.
 * Their endpoints get no requests while others are listed: a version may be faulty, and only a
 * small share of a service's requests may reach a faulty one.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';

/** An order to move a service's requests to the endpoints of a software version. */
export type ReleaseOrder = {
	service: string;
	/** The software version that shall take over. */
	version: string;
	/** Milliseconds from the order in which the move shall be complete. */
	durationMs: number;
};

/** Options of {@link createUnprovenVersions}. */
export type UnprovenVersionsOptions = {
	view: FleetView;
	log: Log;
};

/** The versions, as this daemon knows them. */
export type UnprovenVersions = {
	/** Records an order; `number` is the store version that wrote it. */
	ordered: (order: ReleaseOrder, number: number) => void;
	/** Endpoints of a service, including leaving ones, but for those of unproven versions. */
	endpointsOf: (service: string) => readonly LiveEndpoint[];
};

type Ordered = {version: string; number: number};

/** Creates an empty record. */
export function createUnprovenVersions({view, log}: UnprovenVersionsOptions): UnprovenVersions {
	/** By service, oldest order first. */
	const orders = new Map<string, Ordered[]>();

	/**
	 * Versions to exclude. If nothing else is listed, an order has been fulfilled, or it names the version that
	 * served before an order that was withdrawn: the latest version then serves.
	 */
	const excludedVersions = (service: string, known: readonly Ordered[]): ReadonlySet<string> => {
		const versions = new Set(known.map(({version}) => version));
		const hasOthers = view.endpointsOf(service).some(endpoint => !endpoint.isLeaving && !versions.has(endpoint.software));
		if (!hasOthers) {
			versions.delete(known.at(-1)!.version);
		}

		return versions;
	};

	return {
		ordered({service, version, durationMs}, number) {
			const known = orders.get(service) ?? [];
			const latest = known.at(-1);
			if (latest !== undefined && number <= latest.number) {
				return;
			}

			orders.set(service, [...known.filter(order => order.version !== version), {version, number}]);
			log.info('Release was ordered; its endpoints get no requests.', {
				service, version, ms: durationMs, order: number,
			});
		},
		endpointsOf(service) {
			const listed = view.endpointsOf(service);
			const known = orders.get(service);
			if (known === undefined) {
				return listed;
			}

			const excluded = excludedVersions(service, known);
			return listed.filter(({software}) => !excluded.has(software));
		},
	};
}
