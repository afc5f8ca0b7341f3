/**
 * What a placer hands to one that starts without a memory: shares of the
 * hottest prefixes and their endpoints, and the speeds of endpoints. Computed
 * homes need none of it; the shares tell how many homes a hot prefix has, so
 * that a restarted router spreads it from its first request on.
 */
import {z} from 'zod';
import {LayerError} from '../errors/layer-error.js';
import {type EngineRecord} from './engine-record.js';
import {
	fadedValue, isAlive, type FadingCount, type PrefixMemory,
} from './prefix-memory.js';
import {type ServiceTable} from './service-table.js';

/** A snapshot can't be read; the placer is as it was. */
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
	/** Hash in hexadecimal, requests, requests before the first, and pairs of an engine's index and the age of its use. */
	prefixes: z.array(z.tuple([z.string().regex(/^[\da-f]{1,16}$/v), count, count, z.array(z.tuple([z.number().int().nonnegative(), count]))])),
});

type Snapshot = z.infer<typeof snapshotSchema>;

/** What a snapshot is taken of and restored to. */
export type SnapshotParts = {
	table: ServiceTable;
	memory: PrefixMemory;
};

const serviceLines = (table: ServiceTable, now: number): Snapshot['services'] => [...table.all()].map(service => ({
	name: service.name, requests: fadedValue(service.requests, now), hopedPieces: service.hopedPieces, metPieces: service.metPieces,
}));

/**
 * Takes a snapshot of at most `mostPrefixes` prefixes, those used last.
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
			if (isAlive(home, engine)) {
				indexes.set(engine, indexes.get(engine) ?? indexes.size);
				uses.push([indexes.get(engine)!, now - home.usedAt]);
			}
		}

		prefixes.push([piece.toString(16), fadedValue(requests, now), fadedValue(before, now), uses]);
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
		throw new PlacementSnapshotError('A peer\'s placement snapshot does not fit its schema. Placement goes on without it; check that peers run a like build.', {cause: error});
	}
};

/** Takes over what is said of an engine, unless another process of it is known here. */
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

const restoreCount = (own: FadingCount, value: number, now: number): void => {
	if (own.value === 0) {
		own.value = value;
		own.at = now;
	}
};

/**
 * Adds what a peer knows to what is known here; own knowledge stands. Homes of
 * an engine that is known here by another process or version are left out.
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
			service.hopedPieces = line.hopedPieces;
			service.metPieces = line.metPieces;
		}
	}

	const engines = snapshot.engines.map(line => restoreEngine(table, line));
	// The last used goes in last, so that it is forgotten last.
	for (const [hash, requests, before, uses] of snapshot.prefixes.toReversed()) {
		const known = memory.open(BigInt(`0x${hash}`));
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
