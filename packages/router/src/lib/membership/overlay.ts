/**
 * Whom a daemon sends its heartbeats. Within a data centre each has at most
 * four neighbours on a ring with chords; two representatives of each data
 * centre do the same among all representatives. Links grow with neither.
 */

/** What the choice depends on. */
export type OverlayMember = {
	name: string;
	dataCentre: string;
	/** Heard recently, neither leaving nor left. */
	sound: boolean;
};

/** Whom to send heartbeats. */
export type Neighbours = {
	near: Set<string>;
	far: Set<string>;
};

const representativesPerDataCentre = 2;

/** Orders members so that all daemons with the same view agree. */
export function inOrder<Member extends OverlayMember>(members: Iterable<Member>): Member[] {
	return [...members].toSorted((a, b) => compare(a.dataCentre, b.dataCentre) || compare(a.name, b.name));
}

function compare(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

/**
 * Chooses the neighbours of `self`, which stands among the members.
 *
 * @param turn Grows slowly; of a data centre that is silent as a whole it
 * chooses others each time, because those called before may be dead for good.
 */
export function chooseNeighbours(self: OverlayMember, members: Iterable<OverlayMember>, turn = 0): Neighbours {
	const ordered = inOrder(members);
	const near = ringNeighbours(self.name, ordered.filter(member => member.dataCentre === self.dataCentre));
	const representatives = findRepresentatives(ordered, turn);
	const far = representatives.some(member => member.name === self.name)
		? ringNeighbours(self.name, representatives)
		: new Set<string>();
	return {near, far};
}

function findRepresentatives(ordered: readonly OverlayMember[], turn: number): OverlayMember[] {
	const byDataCentre = new Map<string, OverlayMember[]>();
	for (const member of ordered) {
		const list = byDataCentre.get(member.dataCentre) ?? [];
		list.push(member);
		byDataCentre.set(member.dataCentre, list);
	}

	return [...byDataCentre.values()].flatMap(list => {
		const sound = list.filter(member => member.sound);
		if (sound.length > 0) {
			return sound.slice(0, representativesPerDataCentre);
		}

		// A data centre that is silent as a whole is still called, or a cut would never heal.
		return list.filter((_, index) => (index + turn) % list.length < representativesPerDataCentre);
	});
}

function ringNeighbours(name: string, ring: readonly OverlayMember[]): Set<string> {
	const at = ring.findIndex(member => member.name === name);
	const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
	const chosen = new Set<string>();
	for (const step of [1, -1, chord, -chord]) {
		for (const neighbour of walk(ring, at, step)) {
			chosen.add(neighbour);
		}
	}

	chosen.delete(name);
	return chosen;
}

/**
 * The neighbour at a step, and when it is silent the next sound one beyond it
 * as well: the ring closes around the silent one, which is called all the same
 * so that it is found again.
 */
function walk(ring: readonly OverlayMember[], at: number, step: number): string[] {
	const size = ring.length;
	const first = ring[(((at + step) % size) + size) % size];
	if (first.sound) {
		return [first.name];
	}

	const direction = Math.sign(step);
	for (let distance = Math.abs(step) + 1; distance < size + Math.abs(step); distance++) {
		const member = ring[(((at + (direction * distance)) % size) + size) % size];
		if (member.sound) {
			return [first.name, member.name];
		}
	}

	return [first.name];
}
