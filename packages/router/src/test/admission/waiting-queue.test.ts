import {assert} from 'chai';
import fc from 'fast-check';
import {createWaitingQueue, type WaitingQueue, type WaitingRequest} from '../../lib/admission/waiting-queue.js';

type Named = WaitingRequest & {name: string};

const request = (name: string, more: Partial<WaitingRequest> = {}): Named => ({
	name, lane: 'engines', rank: 1, workspace: 'w1', isPastTarget: false, isReturn: false, deadlineAt: 1000, bytes: 10, ...more,
});

/** Sends all requests of the lane; returns their names in order. */
function sendAll(queue: WaitingQueue<Named>): string[] {
	const names: string[] = [];
	for (let first = queue.first('engines'); first !== undefined; first = queue.first('engines')) {
		names.push(first.name);
		queue.remove(first, true);
	}

	return names;
}

describe('createWaitingQueue', () => {
	it('orders by rank, then returned requests, then deadline', () => {
		const queue = createWaitingQueue<Named>({maxCount: 100, maxBytes: 10_000});
		for (const item of [
			request('patient', {rank: 2, deadlineAt: 100}),
			request('late', {deadlineAt: 3000}),
			request('soon', {deadlineAt: 500}),
			request('returned', {isReturn: true, deadlineAt: 2000}),
			request('urgent', {rank: 0, deadlineAt: 9000}),
		]) {
			queue.add(item);
		}

		assert.deepEqual(sendAll(queue), ['urgent', 'returned', 'soon', 'late', 'patient']);
	});

	it('lets workspaces take turns, whatever they have waiting', () => {
		// Guards against a workspace that sends many times its usual and holds up all others.
		const queue = createWaitingQueue<Named>({maxCount: 100, maxBytes: 10_000});
		for (let index = 0; index < 20; index++) {
			queue.add(request(`flood-${index}`, {workspace: 'flood', deadlineAt: index}));
		}

		queue.add(request('a-0', {workspace: 'a', deadlineAt: 900}));
		queue.add(request('a-1', {workspace: 'a', deadlineAt: 900}));
		queue.add(request('b-0', {workspace: 'b', deadlineAt: 950}));
		const names = sendAll(queue);
		assert.deepEqual(names.slice(0, 5), ['flood-0', 'a-0', 'b-0', 'flood-1', 'a-1']);
		assert.lengthOf(names, 23);
	});

	it('gives no lead to a workspace that comes later or has not waited before', () => {
		const queue = createWaitingQueue<Named>({maxCount: 100, maxBytes: 10_000});
		for (let index = 0; index < 6; index++) {
			queue.add(request(`a-${index}`, {workspace: 'a', deadlineAt: index}));
		}

		for (let index = 0; index < 3; index++) {
			queue.remove(queue.first('engines')!, true);
		}

		queue.add(request('b-0', {workspace: 'b', deadlineAt: 100}));
		queue.add(request('b-1', {workspace: 'b', deadlineAt: 100}));
		assert.deepEqual(sendAll(queue), ['a-3', 'b-0', 'a-4', 'b-1', 'a-5']);
	});

	it('is bounded by count and bytes, and makes room for more urgent requests and other workspaces', () => {
		const queue = createWaitingQueue<Named>({maxCount: 4, maxBytes: 100});
		for (let index = 0; index < 4; index++) {
			assert.deepEqual(queue.add(request(`flood-${index}`, {workspace: 'flood', deadlineAt: index})), []);
		}

		assert.isFalse(queue.hasRoomFor(request('more', {workspace: 'flood'})));
		assert.isFalse(queue.hasRoomFor(request('patient', {rank: 2, workspace: 'a'})));
		assert.deepEqual(queue.add(request('a', {workspace: 'a'})).map(({name}) => name), ['flood-3']);
		assert.deepEqual(queue.add(request('urgent', {rank: 0, workspace: 'flood', bytes: 75})).map(({name}) => name), ['flood-2', 'flood-1']);
		assert.isFalse(queue.hasRoomFor(request('large', {workspace: 'b', bytes: 30})));
	});

	it('counts the requests before one as they are then sent, for all histories', () => {
		// Guards against a count that lets a request overtake another, or refuses one that would be in time.
		const arbitrary = fc.record({
			rank: fc.nat({max: 2}), workspace: fc.constantFrom('a', 'b', 'c'), isReturn: fc.boolean(), deadlineAt: fc.nat({max: 50}), action: fc.constantFrom('add', 'add', 'send', 'leave'),
		});
		fc.assert(fc.property(fc.array(arbitrary, {maxLength: 40}), steps => {
			const queue = createWaitingQueue<Named>({maxCount: 100, maxBytes: 10_000});
			for (const [index, {action, ...more}] of steps.entries()) {
				const first = queue.first('engines');
				if (action === 'add') {
					const added = request(`r-${index}`, more);
					const expected = queue.countBefore(added);
					queue.add(added);
					assert.equal(queue.countBefore(added), expected);
				} else if (first !== undefined) {
					queue.remove(first, action === 'send');
				}
			}

			const counts = new Map([...queue.all()].map(item => [item.name, queue.countBefore(item)]));
			const all = [...queue.all()];
			for (const [index, name] of sendAll(queue).entries()) {
				assert.isAtMost(counts.get(name)!, index);
			}

			assert.equal(queue.size(), 0);
			assert.lengthOf(all, counts.size);
		}));
	});
});
