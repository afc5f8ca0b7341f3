/**
 * Evidence that a process has ended, which frees its shares before its lease
 * ends.
 *
 * Two facts count, and both are assumptions about the platform that settings
 * can turn off. A VM that was in the platform's list and is missing from a
 * later version runs nothing any more, and its name is not given to another
 * VM. A daemon binds a fixed peer port without sharing it, so a new process of
 * the same name proves that the old one has ended, also if it was paused.
 * A VM that was never seen in the list proves nothing by its absence: it may
 * be too new.
 */
import {type VmList} from '../platform/platform.js';

/** What {@link createLivenessEvidence} needs to know. */
export type LivenessEvidenceOptions = {
	trustDepartures: boolean;
	trustRestarts: boolean;
};

/** Collects what is known of daemons' processes. */
export type LivenessEvidence = {
	/** News from the platform's list; an older version than the last one changes nothing. */
	observeList: (list: VmList) => void;
	/** Somebody saw the VM in this version of the list. */
	observeListed: (name: string, version: number) => void;
	/** A process of this daemon was heard of. */
	observeProcess: (name: string, incarnation: bigint) => void;
	/** Whether this process can do nothing any more. */
	hasEnded: (name: string, incarnation: bigint) => boolean;
	/** Whether the VM is known to be gone. */
	isGone: (name: string) => boolean;
	/** The newest list in which the VM was seen; 0 when none. */
	listedIn: (name: string) => number;
};

/** Creates an empty collection of evidence. */
export function createLivenessEvidence(options: LivenessEvidenceOptions): LivenessEvidence {
	const lastListed = new Map<string, number>();
	const processes = new Map<string, bigint>();
	let listVersion = 0;

	const listedIn = (name: string) => lastListed.get(name) ?? 0;

	function isGone(name: string): boolean {
		const version = listedIn(name);
		return options.trustDepartures && version > 0 && version < listVersion;
	}

	return {
		observeList(list) {
			if (list.version <= listVersion) {
				return;
			}

			listVersion = list.version;
			for (const vm of list.vms) {
				lastListed.set(vm.name, list.version);
			}
		},
		observeListed(name, version) {
			lastListed.set(name, Math.max(version, listedIn(name)));
		},
		observeProcess(name, incarnation) {
			const known = processes.get(name);
			if (known === undefined || incarnation > known) {
				processes.set(name, incarnation);
			}
		},
		hasEnded(name, incarnation) {
			const known = processes.get(name);
			const replaced = options.trustRestarts && known !== undefined && known > incarnation;
			return replaced || isGone(name);
		},
		isGone,
		listedIn,
	};
}
