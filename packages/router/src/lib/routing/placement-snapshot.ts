/**
 * State that a placer passes to one that starts empty: request shares of the
 * hottest prefixes with their endpoints, and the speeds of endpoints. Computed
 * homes need none of it, but the shares decide how many homes a hot prefix has,
 * so that a restarted router spreads it from its first request on.
 */
import {z} from 'zod';
import {LayerError} from '../errors/layer-error.js';
import {type EngineRecord} from './engine-record.js';
import {
	decayedValue, isCurrent, type DecayingCount, type PrefixMemory,
} from './prefix-memory.js';
import {type ServiceTable} from './service-table.js';

/** A snapshot can't be parsed; the placer's state has not changed. */
export class PlacementSnapshotError extends LayerError {
	readonly code = 'placement_snapshot_invalid';
}

const count = z.number().nonnegative();

const snapshotSchema = z.strictObject({
	layout: z.literal(1),
	services: z.array(z.strictObject({
		name: z.string(), requests: count, hopedPieces: z.number().positive(), metPieces: count,
	})),
	engines: z.array(z.strictObject({
		name: z.string(), incarnation: z.string(), version: z.string(), msPerToken: z.number().positive(), survivalMs: z.number().positive(),
	})),
	/** Hash in hexadecimal, request count, requests of the service before the first one, and pairs of an index into `engines` and the milliseconds since the last use there. */
	prefixes: z.array(z.tuple([z.string().regex(/^[\da-f]{1,16}$/v), count, count, z.array(z.tuple([z.number().int().nonnegative(), count]))])),
});

type Snapshot = z.infer<typeof snapshotSchema>;

/** State that a snapshot is taken of and restored to. */
export type SnapshotParts = {
	table: ServiceTable;
	memory: PrefixMemory;
};

const serviceLines = (table: ServiceTable, now: number): Snapshot['services'] => [...table.all()].map(service => ({
	name: service.name, requests: decayedValue(service.requests, now), hopedPieces: service.expectedPieces, metPieces: service.hitPieces,
}));

/**
 * Takes a snapshot of the most recently used prefixes, at most `mostPrefixes`.
 * @internal
 */
export const takeSnapshot = ({table, memory}: SnapshotParts, mostPrefixes: number): Uint8Array => {
	const now = performance.now();
	const indexes = new Map<EngineRecord, number>();
	const prefixes: Snapshot['prefixes'] = [];
	for (const [piece, {requests, before, homes}] of memory.entries()) {
		if (prefixes.length >= mostPrefixes) {
			break;
		}

		const uses: Array<[number, number]> = [];
		for (const [engine, home] of homes) {
			if (isCurrent(home, engine)) {
				indexes.set(engine, indexes.get(engine) ?? indexes.size);
				uses.push([indexes.get(engine)!, now - home.usedAt]);
			}
		}

		prefixes.push([piece.toString(16), decayedValue(requests, now), decayedValue(before, now), uses]);
	}

	const snapshot: Snapshot = {
		layout: 1,
		services: serviceLines(table, now),
		engines: [...indexes.keys()].map(({name, incarnation, version, msPerToken, survivalMs}) => ({
			name, incarnation, version, msPerToken, survivalMs,
		})),
		prefixes,
	};
	return new TextEncoder().encode(JSON.stringify(snapshot));
};

const parseSnapshot = (content: Uint8Array): Snapshot => {
	try {
		return snapshotSchema.parse(JSON.parse(new TextDecoder().decode(content)));
	} catch (error) {
		throw new PlacementSnapshotError('A peer\'s placement snapshot does not match the schema. Placement continues without it; check that peers run a compatible build.', {cause: error});
	}
};

/** Takes over the data of an engine, unless a different process or version of it is known here. */
const restoreEngine = (table: ServiceTable, line: Snapshot['engines'][number]): EngineRecord | undefined => {
	const engine = table.engineOf(line.name);
	if (engine === undefined || (engine.incarnation !== '' && engine.incarnation !== line.incarnation) || (engine.version !== '' && engine.version !== line.version)) {
		return undefined;
	}

	if (engine.incarnation === '') {
		engine.incarnation = line.incarnation;
		engine.version = line.version;
		engine.msPerToken = line.msPerToken;
		engine.survivalMs = line.survivalMs;
	}

	return engine;
};

const restoreCount = (target: DecayingCount, value: number, now: number): void => {
	if (target.value === 0) {
		target.value = value;
		target.at = now;
	}
};

/**
 * Adds a peer's state to this placer's; existing values are kept. Homes of an
 * engine that is known here with a different process or version are left out.
 * @throws {PlacementSnapshotError} when the content is not a snapshot.
 * @internal
 */
export const restoreSnapshot = ({table, memory}: SnapshotParts, content: Uint8Array): void => {
	const snapshot = parseSnapshot(content);
	const now = performance.now();
	for (const line of snapshot.services) {
		const service = table.serviceOf(line.name);
		if (service?.requests.value === 0) {
			restoreCount(service.requests, line.requests, now);
			service.expectedPieces = line.hopedPieces;
			service.hitPieces = line.metPieces;
		}
	}

	const engines = snapshot.engines.map(line => restoreEngine(table, line));
	// The most recently used prefix is added last, so that it is evicted last.
	for (const [hash, requests, before, uses] of snapshot.prefixes.toReversed()) {
		const known = memory.getOrCreate(BigInt(`0x${hash}`));
		restoreCount(known.requests, requests, now);
		restoreCount(known.before, before, now);
		for (const [index, ageMs] of uses) {
			const engine = engines[index];
			if (engine !== undefined && !known.homes.has(engine)) {
				known.homes.set(engine, {generation: engine.generation, usedAt: now - ageMs});
			}
		}
	}
};
