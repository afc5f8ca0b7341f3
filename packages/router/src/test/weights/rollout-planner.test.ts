import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {createRolloutPlanner, type PendingTask} from '../../weights.js';

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
});
