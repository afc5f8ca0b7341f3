/**
 * Chooses the targets of a daemon's heartbeats. Within a data centre each daemon
 * has at most four neighbours on a ring with chords; two representatives of each
 * data centre form the same kind of ring among all representatives. The number of
 * links per daemon grows with neither daemons nor data centres.
 */

/** A member, as far as the choice of neighbours depends on it. */
export type OverlayMember = {
	name: string;
	dataCentre: string;
	/** Heard recently, and neither leaving nor left. */
	healthy: boolean;
};

/** Targets of heartbeats, in this data centre and in others. */
export type Neighbours = {
	near: Set<string>;
	far: Set<string>;
};

const representativesPerDataCentre = 2;

/** Sorts members, so that all daemons with the same view use the same order. */
export function sortMembers<Member extends OverlayMember>(members: Iterable<Member>): Member[] {
	return [...members].toSorted((a, b) => compare(a.dataCentre, b.dataCentre) || compare(a.name, b.name));
}

function compare(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

/**
 * Chooses the neighbours of `self`, which is one of the members.
 *
 * @param rotation A slowly increasing number that selects which daemons of a
 * fully silent data centre are contacted, since those contacted before may be
 * permanently dead.
 */
export function chooseNeighbours(self: OverlayMember, members: Iterable<OverlayMember>, rotation = 0): Neighbours {
	const ordered = sortMembers(members);
	const near = ringNeighbours(self.name, ordered.filter(member => member.dataCentre === self.dataCentre));
	const representatives = findRepresentatives(ordered, rotation);
	const far = representatives.some(member => member.name === self.name)
		? ringNeighbours(self.name, representatives)
		: new Set<string>();
	return {near, far};
}

function findRepresentatives(ordered: readonly OverlayMember[], rotation: number): OverlayMember[] {
	const byDataCentre = new Map<string, OverlayMember[]>();
	for (const member of ordered) {
		const list = byDataCentre.get(member.dataCentre) ?? [];
		list.push(member);
		byDataCentre.set(member.dataCentre, list);
	}

	return [...byDataCentre.values()].flatMap(list => {
		const healthy = list.filter(member => member.healthy);
		if (healthy.length > 0) {
			return healthy.slice(0, representativesPerDataCentre);
		}

		// A fully silent data centre is still contacted, or a partition would never heal.
		return list.filter((_, index) => (index + rotation) % list.length < representativesPerDataCentre);
	});
}

function ringNeighbours(name: string, ring: readonly OverlayMember[]): Set<string> {
	const at = ring.findIndex(member => member.name === name);
	const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
	const chosen = new Set<string>();
	for (const step of [1, -1, chord, -chord]) {
		for (const neighbour of neighboursAtStep(ring, at, step)) {
			chosen.add(neighbour);
		}
	}

	chosen.delete(name);
	return chosen;
}

/**
 * The neighbour at a step; if it is not healthy, also the next healthy one beyond
 * it, which closes the ring. The unhealthy neighbour is still contacted, so that
 * its recovery is noticed.
 */
function neighboursAtStep(ring: readonly OverlayMember[], at: number, step: number): string[] {
	const size = ring.length;
	const first = ring[(((at + step) % size) + size) % size];
	if (first.healthy) {
		return [first.name];
	}

	const direction = Math.sign(step);
	for (let distance = Math.abs(step) + 1; distance < size + Math.abs(step); distance++) {
		const member = ring[(((at + (direction * distance)) % size) + size) % size];
		if (member.healthy) {
			return [first.name, member.name];
		}
	}

	return [first.name];
}
