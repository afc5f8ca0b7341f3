import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {createRolloutPlanner, type PendingTask, type RolloutPlanner} from '../../weights.js';

const pendingTask = (id: string, more: Partial<PendingTask> = {}): PendingTask => {
	const endpoint: LiveEndpoint = {
		id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
	};
	return {
		task: {endpoint, model: 'm', version: 2}, isChanging: false, isDoubtful: false, isUnusable: false, isOnlyWaiting: false, dueInMs: Number.POSITIVE_INFINITY, remainingMs: 0, ...more,
	};
};

const ids = (tasks: ReadonlyArray<PendingTask['task']>): string[] => tasks.map(task => task.endpoint.id);

describe('createRolloutPlanner', () => {
	it('starts with the engines whose requests end first, and announces the starts of the others', () => {
		const {due, later} = createRolloutPlanner().plan({
			engines: 6, changing: 0, pending: ['a', 'b', 'c', 'd', 'e', 'f'].map((id, index) => pendingTask(id, {remainingMs: 600 - (index * 100)})),
		});
		assert.deepEqual(ids(due), ['f', 'e']);
		assert.deepEqual(later.map(({task, inMs}) => [task.endpoint.id, inMs]), [['d', 2000], ['c', 2000], ['b', 4000], ['a', 4000]]);
	});

	it('keeps the announced order, whatever requests have begun since', () => {
		const {due, later} = createRolloutPlanner().plan({
			engines: 6, changing: 1, pending: [pendingTask('a', {remainingMs: 0}), pendingTask('b', {dueInMs: 900, remainingMs: 3000}), pendingTask('c', {dueInMs: 100, remainingMs: 4000})],
		});
		assert.deepEqual([ids(due), ids(later.map(({task}) => task))], [['c'], ['b', 'a']]);
		assert.deepEqual(later.map(({inMs}) => inMs), [900, 2000]);
	});

	it('puts engines with unusable weights first, and those that don\'t answer last', () => {
		const {due, later} = createRolloutPlanner().plan({
			engines: 3, changing: 0, pending: [pendingTask('silent', {isDoubtful: true, isUnusable: true}), pendingTask('young'), pendingTask('old', {isUnusable: true, dueInMs: 5000})],
		});
		assert.deepEqual([ids(due), ids(later.map(({task}) => task))], [['old'], ['young', 'silent']]);
	});

	it('starts with the engines whose weights were replaced first, whatever was announced since', () => {
		// Guards against engines that keep replaced weights for longer with each further naming.
		const {due, later} = createRolloutPlanner().plan({
			engines: 6, changing: 0, pending: [
				pendingTask('newest', {msLeft: 5000, dueInMs: 0}),
				pendingTask('newer', {msLeft: 3000}),
				pendingTask('oldest', {msLeft: 100, remainingMs: 4000}),
				pendingTask('old', {msLeft: 1000, dueInMs: 4000}),
			],
		});
		assert.deepEqual([ids(due), ids(later.map(({task}) => task))], [['oldest', 'old'], ['newer', 'newest']]);
	});

	it('counts an engine that still carries out an order only once', () => {
		const {due} = createRolloutPlanner().plan({engines: 6, changing: 2, pending: [pendingTask('a'), pendingTask('b', {isChanging: true})]});
		assert.deepEqual(ids(due), ['b']);
	});

	it('starts engines that only wait for their last requests beside those that load', () => {
		// Guards against slow engines that take the places of those that could load at once.
		const {due} = createRolloutPlanner().plan({
			engines: 3, changing: 0, pending: [pendingTask('slow', {isUnusable: true, isOnlyWaiting: true}), pendingTask('idle', {isUnusable: true}), pendingTask('young')],
		});
		assert.sameMembers(ids(due), ['slow', 'idle']);
	});

	it('estimates the downtime of engines from earlier changes', () => {
		const planner = createRolloutPlanner();
		for (let count = 0; count < 20; count++) {
			planner.recordDowntime(5000);
		}

		const {later} = planner.plan({engines: 3, changing: 1, pending: [pendingTask('a')]});
		assert.approximately(later[0].inMs, 5000, 50);
	});

	describe('under load', () => {
		const engines = 42;
		const third = 14;

		/** Number of engines that start, with this fraction of the engines busy. */
		const startedOf = (planner: RolloutPlanner, busyRatio: number, msLeft: number, queueMs = 100): number => planner.plan({
			engines,
			changing: 0,
			pending: Array.from({length: engines}, (_item, index) => pendingTask(`e${index}`, {msLeft})),
			uses: Array.from({length: engines}, (_item, index) => ({queueMs: index < engines * busyRatio ? queueMs : 0, usedRatio: 0.1})),
		}).due.length;

		it('changes no more engines at once than the service can spare, as long as the rollout ends in time', () => {
			// Guards against rollouts that take a third of the capacity from a service that needs it, and against those
			// that end late because the service is under pressure.
			assert.equal(startedOf(createRolloutPlanner(), 0.3, 21_000), third);
			assert.equal(startedOf(createRolloutPlanner(), 0.8, 21_000), 8);
			assert.equal(startedOf(createRolloutPlanner(), 1, 21_000), 6);
			assert.equal(startedOf(createRolloutPlanner(), 0.8, 10_500), 11);
			assert.equal(startedOf(createRolloutPlanner(), 0.8, 4000), third);
			assert.equal(startedOf(createRolloutPlanner(), 0.8, -1), third);
		});

		it('counts slots and memory as well as queues', () => {
			// Guards against a service whose memory is full being taken for idle, since no request has to wait yet.
			const {due} = createRolloutPlanner().plan({
				engines, changing: 0, pending: Array.from({length: engines}, (_item, index) => pendingTask(`e${index}`, {msLeft: 30_000})),
				uses: Array.from({length: engines}, () => ({queueMs: 0, usedRatio: 0.8})),
			});
			assert.lengthOf(due, 8);
		});

		it('takes the pace from the learnt duration of changes, and from the queues', () => {
			// Guards against rollouts that end late because loads slow each other down, or because queues are long.
			const planner = createRolloutPlanner();
			for (let count = 0; count < 30; count++) {
				planner.recordTurn(4000);
			}

			assert.equal(startedOf(planner, 1, 21_000), 9);
			assert.equal(startedOf(createRolloutPlanner(), 1, 21_000, 2800), 11);
		});
	});
});
