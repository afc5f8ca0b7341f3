import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {createChangeTurns, type WaitingTask} from '../../weights.js';

const waiting = (id: string, more: Partial<WaitingTask> = {}): WaitingTask => {
	const endpoint: LiveEndpoint = {
		id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, weights: new Map([['m', 1]]),
	};
	return {
		task: {endpoint, model: 'm', version: 2}, isAway: false, isDoubtful: false, isUnusable: false, dueInMs: Number.POSITIVE_INFINITY, lastsMs: 0, ...more,
	};
};

const ids = (tasks: ReadonlyArray<WaitingTask['task']>): string[] => tasks.map(task => task.endpoint.id);

describe('createChangeTurns', () => {
	it('begins with the engines whose answers end first, and tells the others their turns', () => {
		const {due, later} = createChangeTurns().plan({
			engines: 6, away: 0, waiting: ['a', 'b', 'c', 'd', 'e', 'f'].map((id, index) => waiting(id, {lastsMs: 600 - (index * 100)})),
		});
		assert.deepEqual(ids(due), ['f', 'e']);
		assert.deepEqual(later.map(({task, inMs}) => [task.endpoint.id, inMs]), [['d', 2000], ['c', 2000], ['b', 4000], ['a', 4000]]);
	});

	it('keeps the order that was told, whatever answers have begun since', () => {
		const {due, later} = createChangeTurns().plan({
			engines: 6, away: 1, waiting: [waiting('a', {lastsMs: 0}), waiting('b', {dueInMs: 900, lastsMs: 3000}), waiting('c', {dueInMs: 100, lastsMs: 4000})],
		});
		assert.deepEqual([ids(due), ids(later.map(({task}) => task))], [['c'], ['b', 'a']]);
		assert.deepEqual(later.map(({inMs}) => inMs), [900, 2000]);
	});

	it('puts engines that are too old first, and those that don\'t answer last', () => {
		const {due, later} = createChangeTurns().plan({
			engines: 3, away: 0, waiting: [waiting('silent', {isDoubtful: true, isUnusable: true}), waiting('young'), waiting('old', {isUnusable: true, dueInMs: 5000})],
		});
		assert.deepEqual([ids(due), ids(later.map(({task}) => task))], [['old'], ['young', 'silent']]);
	});

	it('gives an engine that still carries out an order no second place', () => {
		const {due} = createChangeTurns().plan({engines: 6, away: 2, waiting: [waiting('a'), waiting('b', {isAway: true})]});
		assert.deepEqual(ids(due), ['b']);
	});

	it('learns how long engines are away', () => {
		const turns = createChangeTurns();
		for (let count = 0; count < 20; count++) {
			turns.learn(5000);
		}

		const {later} = turns.plan({engines: 3, away: 1, waiting: [waiting('a')]});
		assert.approximately(later[0].inMs, 5000, 50);
	});
});
