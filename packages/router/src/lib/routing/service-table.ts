/** The endpoints of each service, indexed for fast placement decisions. */
import {type EngineModel} from './engine-model.js';
import {createEngineRecord, type EngineRecord} from './engine-record.js';
import {createHomeOrder, type HomeOrder} from './home-order.js';
import {type DecayingCount} from './prefix-memory.js';
import {type FilledPlacerOptions, type PlacementEndpoint} from './placement-options.js';

/** A service with its endpoints. */
export type ServiceEntry = {
	name: string;
	/** Sorted by name. */
	engines: readonly EngineRecord[];
	homes: HomeOrder;
	/** Tokens in one piece as currently configured; a configuration change need not change the endpoints. */
	readonly pieceTokens: number;
	/** Pieces not known to be cached that computed homes were expected to have, with older ones decayed. */
	expectedPieces: number;
	/** Those of `expectedPieces` that were cached. */
	hitPieces: number;
	/** Requests placed, with older ones decayed. */
	requests: DecayingCount;
};

/** All services. */
export type ServiceTable = {
	serviceOf: (name: string) => ServiceEntry | undefined;
	engineOf: (name: string) => EngineRecord | undefined;
	/** Replaces all endpoints; what was learned of endpoints that stay is kept. */
	set: (endpoints: readonly PlacementEndpoint[]) => void;
	/** All services. */
	all: () => Iterable<ServiceEntry>;
};

const rememberedOrders = 1024;

/** Initial hit rate of computed homes: half, with the weight of 40 pieces. */
const initialHitRate = {expectedPieces: 40, hitPieces: 20};

/**
 * Creates an empty table.
 * @internal
 */
export const createServiceTable = (model: EngineModel, options: FilledPlacerOptions): ServiceTable => {
	const services = new Map<string, ServiceEntry>();
	let engines = new Map<string, {engine: EngineRecord; service: string}>();

	const engineFor = (endpoint: PlacementEndpoint): EngineRecord => {
		const known = engines.get(endpoint.name);
		const engine = known?.service === endpoint.service ? known.engine : createEngineRecord(endpoint.name, options.initialMsPerToken);
		engine.usable = endpoint.usable;
		engine.roundTripMs = options.roundTripMs(endpoint.dataCentre);
		if (endpoint.version !== undefined && endpoint.version !== engine.version) {
			if (engine.version !== '') {
				model.forget(engine, performance.now());
			}

			engine.version = endpoint.version;
		}

		return engine;
	};

	/** Replaces a service only when its endpoints changed: a new order has to rank all endpoints again for the hot prefixes. */
	const replace = (name: string, members: EngineRecord[]): void => {
		const former = services.get(name);
		if (former?.engines.length === members.length && former.engines.every((engine, index) => engine === members[index])) {
			return;
		}

		services.set(name, {
			name,
			engines: members,
			homes: createHomeOrder(members, options.mostHomes + options.spareHomes + 16, rememberedOrders),
			get pieceTokens() {
				return options.pieceTokensOf(name);
			},
			expectedPieces: former?.expectedPieces ?? initialHitRate.expectedPieces,
			hitPieces: former?.hitPieces ?? initialHitRate.hitPieces,
			requests: former?.requests ?? {value: 0, at: 0},
		});
	};

	return {
		serviceOf: name => services.get(name),
		engineOf: name => engines.get(name)?.engine,
		set(endpoints) {
			const next = new Map<string, {engine: EngineRecord; service: string}>();
			const members = new Map<string, EngineRecord[]>();
			const sorted = endpoints.toSorted((a, b) => a.name < b.name ? -1 : 1);
			for (const endpoint of sorted) {
				const engine = engineFor(endpoint);
				next.set(endpoint.name, {engine, service: endpoint.service});
				const list = members.get(endpoint.service) ?? [];
				list.push(engine);
				members.set(endpoint.service, list);
			}

			engines = next;
			for (const name of services.keys()) {
				if (!members.has(name)) {
					services.delete(name);
				}
			}

			for (const [name, list] of members) {
				replace(name, list);
			}
		},
		all: () => services.values(),
	};
};
