/**
 * Exchanges sections between peers. An answer carries the changes since the
 * requester's version, in parts that are applied together, or the full document
 * when the requester is too far behind.
 */
import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type ConfigurationSections, ConfigurationSectionsSchema, SectionBodySchema} from '../../gen/hickorywalk/v1/configuration_pb.js';
import {
	applyDelta, emptySectionSet, mergeDeltas, type SectionDelta, type SectionSet, fullDelta,
} from './section-set.js';
import {type HeldConfiguration} from './configuration-loader.js';

/** One change of version of this daemon, kept to answer peers. */
export type VersionStep = {
	fromVersion: number;
	version: number;
	delta: SectionDelta;
};

/** Characters of section text per part; larger messages would delay those queued behind them. A single larger section is still one part. */
const maxPartChars = 256 * 1024;

/** Number of steps kept for peers that are behind. */
const maxSteps = 64;

/** The most recent steps of this daemon. */
export type StepHistory = {
	add: (step: VersionStep) => void;
	/**
	 * Returns the changes after `version`; `undefined` when the steps don't reach
	 * back that far. They may include sections that `version` has already, since
	 * a step over several versions is not split; applying a section twice is
	 * harmless.
	 */
	since: (version: number) => SectionDelta | undefined;
};

/** Creates an empty history of steps. */
export function createStepHistory(): StepHistory {
	const steps: VersionStep[] = [];
	return {
		add(step) {
			if (steps.at(-1)?.version !== step.fromVersion) {
				steps.length = 0;
			}

			// A step from version 0 would hold the full document.
			if (step.fromVersion === 0) {
				return;
			}

			steps.push(step);
			if (steps.length > maxSteps) {
				steps.shift();
			}
		},
		since(version) {
			if (steps.length === 0 || steps[0].fromVersion > version) {
				return undefined;
			}

			return mergeDeltas(steps.filter(step => step.version > version).map(step => step.delta));
		},
	};
}

/** Creates the parts of the answer to a peer at `heldVersion`; none when it is up to date. */
export function answerRequest(heldVersion: number, held: HeldConfiguration, steps: StepHistory): ConfigurationSections[] {
	if (heldVersion >= held.version) {
		return [];
	}

	const delta = heldVersion === 0 ? undefined : steps.since(heldVersion);
	const fromVersion = delta === undefined ? 0 : heldVersion;
	const parts = splitDelta(delta ?? fullDelta(held.set));
	return parts.map((part, index) => create(ConfigurationSectionsSchema, {
		version: BigInt(held.version),
		fromVersion: BigInt(fromVersion),
		root: Buffer.from(held.set.root, 'hex'),
		changed: [...part.changed].map(([name, json]) => create(SectionBodySchema, {name, json})),
		removed: [...part.removed],
		part: index,
		parts: parts.length,
	}));
}

function splitDelta(delta: SectionDelta): SectionDelta[] {
	const parts: SectionDelta[] = [];
	let changed = new Map<string, string>();
	let size = 0;
	for (const [name, json] of delta.changed) {
		if (size > 0 && size + json.length > maxPartChars) {
			parts.push({changed, removed: []});
			changed = new Map();
			size = 0;
		}

		changed.set(name, json);
		size += json.length;
	}

	return [...parts, {changed, removed: delta.removed}];
}

/** Assembles the parts of an answer. */
export type SectionAssembly = {
	/**
	 * Adds one part; returns the new set once all parts of its answer have arrived.
	 *
	 * @throws {SectionCorruptError} when the sections do not match the digest in the answer.
	 * @throws {DocumentInvalidError} when this build does not accept them.
	 */
	add: (part: ConfigurationSections, held: HeldConfiguration) => AssembledConfiguration | undefined;
};

/** A set assembled from a peer's answer. */
export type AssembledConfiguration = HeldConfiguration & VersionStep;

/** Creates an assembly, which holds the parts of one answer at a time. */
export function createSectionAssembly(): SectionAssembly {
	let key = '';
	let parts = new Map<number, ConfigurationSections>();
	return {
		add(part, held) {
			const version = Number(part.version);
			const fromVersion = Number(part.fromVersion);
			if (version <= held.version || fromVersion > held.version) {
				return undefined;
			}

			const partKey = `${version}/${fromVersion}/${part.parts}`;
			if (partKey !== key) {
				key = partKey;
				parts = new Map();
			}

			parts.set(part.part, part);
			if (parts.size < part.parts) {
				return undefined;
			}

			key = '';
			const delta = mergeDeltas([...parts.values()].toSorted((a, b) => a.part - b.part).map(one => decodePart(one)));
			const from = fromVersion === 0 ? emptySectionSet : held.set;
			const set: SectionSet = applyDelta(from, delta, Buffer.from(part.root).toString('hex'));
			return {
				version, set, fromVersion, delta,
			};
		},
	};
}

function decodePart(part: ConfigurationSections): SectionDelta {
	return {
		changed: new Map(part.changed.map(body => [body.name, body.json])),
		removed: part.removed,
	};
}

const maxEncodedAgeMs = 0xFF_FF_FF_FF;

/** Encodes an age in milliseconds for the wire, rounded up; the maximum of an unsigned 32-bit integer stands for "never known". */
export function encodeAge(ageMs: number): number {
	return Math.min(maxEncodedAgeMs, Math.ceil(ageMs));
}

/** Decodes an age from the wire; `Infinity` when it was never known. */
export function decodeAge(ageMs: number): number {
	return ageMs === maxEncodedAgeMs ? Infinity : ageMs;
}
