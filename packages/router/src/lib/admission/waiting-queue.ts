/**
 * Requests that wait until an endpoint can take them, in bounded number and size. In a lane they are ordered by rank, then
 * returned requests, then turns of workspaces, then deadline. Designed for 1,024 waiting requests of a daemon.
 */

/** A request that may wait. */
export type WaitingRequest = {
	/** Requests of one lane can go to the same endpoints. */
	lane: string;
	/** 0 is the most urgent. */
	rank: number;
	/** Empty for public routes. */
	workspace: string;
	/** It can no longer be served in its target time. */
	isPastTarget: boolean;
	/** The caller was refused before, so it has less time left than others. */
	isReturn: boolean;
	/** `performance.now()` at which the caller gives up. */
	deadlineAt: number;
	/** Size of the body that is held. */
	bytes: number;
};

/** Options of {@link createWaitingQueue}. */
export type WaitingQueueOptions = {maxCount: number; maxBytes: number};

/** The waiting requests of a daemon. */
export type WaitingQueue<Request extends WaitingRequest> = {
	/** Whether the request may be added, if need be in place of a less urgent one or one of a workspace with more of them. */
	hasRoomFor: (request: Request) => boolean;
	/** Adds a request for which there is room; returns those that it displaces. */
	add: (request: Request) => Request[];
	has: (request: Request) => boolean;
	/** Moves a request behind those of its rank that can still be served in their target time. */
	passTarget: (request: Request) => void;
	/** Removes a request; one that was sent uses up a turn of its workspace. */
	remove: (request: Request, wasSent: boolean) => void;
	/** The request of a lane that is sent first, among those less urgent than `afterRank` if that is stated. */
	first: (lane: string, afterRank?: number) => Request | undefined;
	/** Number of waiting requests of its lane that are sent before this one, whether or not it waits itself. */
	countBefore: (request: Request) => number;
	/** The same, of those of its rank only. */
	countBeforeInRank: (request: Request) => number;
	hasWaiting: (lane: string, rank: number) => boolean;
	/** Number of waiting requests in the lane that are more urgent than `rank`. */
	countMoreUrgent: (lane: string, rank: number) => number;
	/** All waiting requests, in no order. */
	all: () => Iterable<Request>;
	size: () => number;
};

/** Requests of one lane, rank and return state, among which workspaces take turns. */
type Group<Request> = {
	rank: number;
	isPastTarget: boolean;
	isReturn: boolean;
	/** Turn of the latest request that was sent. */
	turn: number;
	workspaces: Map<string, Flow<Request>>;
};

/** Requests of one workspace, by deadline. Each has the turn with the same index; turns ascend. */
type Flow<Request> = {requests: Request[]; turns: number[]; latestTurn: number};

/** Place of a request in its group. */
type Place = {turn: number; deadlineAt: number; number: number};

/** What the requests of a group have in common. */
type GroupKey = Pick<WaitingRequest, 'rank' | 'isPastTarget' | 'isReturn'>;

const compareGroups = (a: GroupKey, b: GroupKey): number =>
	a.rank - b.rank || Number(a.isPastTarget) - Number(b.isPastTarget) || Number(b.isReturn) - Number(a.isReturn);

const comparePlaces = (a: Place, b: Place): number => a.turn - b.turn || a.deadlineAt - b.deadlineAt || a.number - b.number;

/** Creates an empty queue. */
export function createWaitingQueue<Request extends WaitingRequest>({maxCount, maxBytes}: WaitingQueueOptions): WaitingQueue<Request> {
	/** Groups by lane, in the order in which they are served. */
	const lanes = new Map<string, Array<Group<Request>>>();
	/** Numbers of the waiting requests, in the order in which they were added. */
	const waiting = new Map<Request, number>();
	let latestNumber = 0;
	let bytes = 0;

	const findGroup = (request: Request): Group<Request> | undefined => lanes.get(request.lane)?.find(group => compareGroups(group, request) === 0);

	const groupOf = (request: Request): Group<Request> => {
		const known = findGroup(request);
		if (known !== undefined) {
			return known;
		}

		const {lane, rank, isPastTarget, isReturn} = request;
		const group: Group<Request> = {
			rank, isPastTarget, isReturn, turn: 0, workspaces: new Map(),
		};
		lanes.set(lane, [...(lanes.get(lane) ?? []), group].toSorted(compareGroups));
		return group;
	};

	/** Index of a new request among those of its workspace. */
	const indexIn = ({requests}: Flow<Request>, {deadlineAt}: Request): number => {
		const index = requests.findIndex(other => other.deadlineAt > deadlineAt);
		return index === -1 ? requests.length : index;
	};

	const insert = (request: Request): void => {
		const group = groupOf(request);
		const flow = group.workspaces.get(request.workspace) ?? {requests: [], turns: [], latestTurn: group.turn};
		group.workspaces.set(request.workspace, flow);
		flow.latestTurn = Math.max(flow.latestTurn, group.turn) + 1;
		flow.turns.push(flow.latestTurn);
		flow.requests.splice(indexIn(flow, request), 0, request);
		latestNumber++;
		waiting.set(request, latestNumber);
		bytes += request.bytes;
	};

	const remove = (request: Request, wasSent: boolean): void => {
		if (!waiting.delete(request)) {
			return;
		}

		bytes -= request.bytes;
		const group = findGroup(request)!;
		const flow = group.workspaces.get(request.workspace)!;
		flow.requests.splice(flow.requests.indexOf(request), 1);
		if (wasSent) {
			group.turn = Math.max(group.turn, flow.turns.shift()!);
		} else {
			flow.turns.pop();
			flow.latestTurn--;
		}

		// A workspace without a lead in turns is equivalent to an absent one.
		for (const [name, {requests, latestTurn}] of group.workspaces) {
			if (requests.length === 0 && latestTurn <= group.turn) {
				group.workspaces.delete(name);
			}
		}

		if (lanes.get(request.lane)!.every(({workspaces}) => [...workspaces.values()].every(({requests}) => requests.length === 0))) {
			lanes.delete(request.lane);
		}
	};

	/** The first request of a group, or the last one. */
	const extremeOf = ({workspaces}: Group<Request>, end: 'first' | 'last'): Request | undefined => {
		const index = end === 'first' ? 0 : -1;
		let extreme: (Place & {request: Request}) | undefined;
		for (const {requests, turns} of workspaces.values()) {
			const request = requests.at(index);
			if (request === undefined) {
				continue;
			}

			const place = {
				turn: turns.at(index)!, deadlineAt: request.deadlineAt, number: waiting.get(request)!, request,
			};
			const difference = extreme === undefined ? -1 : comparePlaces(place, extreme);
			if (extreme === undefined || (end === 'first' ? difference < 0 : difference > 0)) {
				extreme = place;
			}
		}

		return extreme?.request;
	};

	const countOf = (request: Request): number => findGroup(request)?.workspaces.get(request.workspace)?.requests.length ?? 0;

	/** The request that gives way to this one: the least urgent, or else one of a workspace that has more of them waiting. */
	const victimFor = (request: Request): Request | undefined => {
		let victim: Request | undefined;
		for (const groups of lanes.values()) {
			for (const group of groups) {
				const last = extremeOf(group, 'last');
				if (last !== undefined && (victim === undefined || last.rank > victim.rank || (last.rank === victim.rank && countOf(last) > countOf(victim)))) {
					victim = last;
				}
			}
		}

		const givesWay = victim !== undefined && (victim.rank > request.rank || (victim.rank === request.rank && countOf(victim) > countOf(request) + 1));
		return givesWay ? victim : undefined;
	};

	const isFull = (request: Request): boolean => waiting.size >= maxCount || bytes + request.bytes > maxBytes;

	const placeOf = (request: Request): Place => {
		const group = findGroup(request);
		const flow = group?.workspaces.get(request.workspace);
		const index = flow === undefined ? 0 : (waiting.has(request) ? flow.requests.indexOf(request) : indexIn(flow, request));
		const turn = flow?.turns[index] ?? Math.max(flow?.latestTurn ?? 0, group?.turn ?? 0) + 1;
		return {turn, deadlineAt: request.deadlineAt, number: waiting.get(request) ?? Number.POSITIVE_INFINITY};
	};

	const countOfGroup = ({workspaces}: Group<Request>): number => {
		let count = 0;
		for (const {requests} of workspaces.values()) {
			count += requests.length;
		}

		return count;
	};

	const countBefore = (request: Request, fromRank = Number.NEGATIVE_INFINITY): number => {
		const groups = lanes.get(request.lane);
		if (groups === undefined) {
			return 0;
		}

		const place = placeOf(request);
		let count = 0;
		for (const group of groups) {
			const difference = compareGroups(group, request);
			if (difference < 0) {
				count += group.rank < fromRank ? 0 : countOfGroup(group);
			} else if (difference === 0) {
				for (const {requests, turns} of group.workspaces.values()) {
					count += requests.filter((other, index) => other !== request && comparePlaces({turn: turns[index], deadlineAt: other.deadlineAt, number: waiting.get(other)!}, place) < 0).length;
				}
			}
		}

		return count;
	};

	return {
		hasRoomFor: request => !isFull(request) || victimFor(request) !== undefined,
		add(request) {
			const displaced: Request[] = [];
			for (let victim = victimFor(request); isFull(request) && victim !== undefined; victim = victimFor(request)) {
				remove(victim, false);
				displaced.push(victim);
			}

			insert(request);
			return displaced;
		},
		has: request => waiting.has(request),
		passTarget(request) {
			remove(request, false);
			request.isPastTarget = true;
			insert(request);
		},
		remove,
		first(lane, afterRank = Number.NEGATIVE_INFINITY) {
			for (const group of lanes.get(lane) ?? []) {
				const first = group.rank > afterRank ? extremeOf(group, 'first') : undefined;
				if (first !== undefined) {
					return first;
				}
			}

			return undefined;
		},
		countBefore: request => countBefore(request),
		countBeforeInRank: request => countBefore(request, request.rank),
		hasWaiting: (lane, rank) => (lanes.get(lane) ?? []).some(group => group.rank === rank && countOfGroup(group) > 0),
		countMoreUrgent(lane, rank) {
			let count = 0;
			for (const group of lanes.get(lane) ?? []) {
				count += group.rank < rank ? countOfGroup(group) : 0;
			}

			return count;
		},
		all: () => waiting.keys(),
		size: () => waiting.size,
	};
}
