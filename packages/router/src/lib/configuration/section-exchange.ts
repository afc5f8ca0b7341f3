/**
 * Changes between peers: an answer carries what changed since the asker's
 * version, in parts that are applied together, or the whole document when the
 * asker is too far behind.
 */
import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type ConfigurationSections, ConfigurationSectionsSchema, SectionBodySchema} from '../../gen/hickorywalk/v1/configuration_pb.js';
import {
	applyDelta, emptySectionSet, mergeDeltas, type SectionDelta, type SectionSet, wholeDelta,
} from './section-set.js';
import {type HeldConfiguration} from './configuration-loader.js';

/** One step that this daemon made, kept to tell others. */
export type VersionStep = {
	fromVersion: number;
	version: number;
	delta: SectionDelta;
};

/** Largest text of one part, in characters; a larger batch would hold up what waits behind it. */
const partSize = 256 * 1024;

/** How many steps a daemon keeps for peers that are behind. */
const stepsKept = 64;

/** Keeps the last steps of this daemon. */
export type StepHistory = {
	add: (step: VersionStep) => void;
	/**
	 * What changed after `version`; `undefined` when the steps don't reach back.
	 * It may name sections that `version` has already: a step over several
	 * versions is kept whole, and applying a text twice does no harm.
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

			// A step from nothing would be the whole document.
			if (step.fromVersion === 0) {
				return;
			}

			steps.push(step);
			if (steps.length > stepsKept) {
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

/** Answers a peer that holds `heldVersion`; empty when it holds as much. */
export function answerRequest(heldVersion: number, held: HeldConfiguration, steps: StepHistory): ConfigurationSections[] {
	if (heldVersion >= held.version) {
		return [];
	}

	const delta = heldVersion === 0 ? undefined : steps.since(heldVersion);
	const fromVersion = delta === undefined ? 0 : heldVersion;
	const parts = cut(delta ?? wholeDelta(held.set));
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

function cut(delta: SectionDelta): SectionDelta[] {
	const parts: SectionDelta[] = [];
	let changed = new Map<string, string>();
	let size = 0;
	for (const [name, json] of delta.changed) {
		if (size > 0 && size + json.length > partSize) {
			parts.push({changed, removed: []});
			changed = new Map();
			size = 0;
		}

		changed.set(name, json);
		size += json.length;
	}

	return [...parts, {changed, removed: delta.removed}];
}

/** Puts the parts of an answer together. */
export type SectionAssembly = {
	/**
	 * Takes one part; returns the new set once all parts of its answer are here.
	 *
	 * @throws {SectionCorruptError} when the sections have another digest than promised.
	 * @throws {DocumentInvalidError} when this build does not take them.
	 */
	add: (part: ConfigurationSections, held: HeldConfiguration) => AssembledConfiguration | undefined;
};

/** A set made of a peer's answer. */
export type AssembledConfiguration = HeldConfiguration & VersionStep;

/** Creates an assembly; it holds the parts of one answer at a time. */
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

const longestAge = 0xFF_FF_FF_FF;

/** Encodes an age for the wire; the largest number stands for "never known". */
export function encodeAge(ageMs: number): number {
	return Math.min(longestAge, Math.ceil(ageMs));
}

/** Decodes an age from the wire. */
export function decodeAge(ageMs: number): number {
	return ageMs === longestAge ? Infinity : ageMs;
}
