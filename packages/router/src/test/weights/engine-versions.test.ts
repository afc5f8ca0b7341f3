import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {createEngineVersions} from '../../weights.js';

const endpoint: LiveEndpoint = {
	id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
};

describe('createEngineVersions', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('keeps a change while it is repeated, and then doubts both versions until the new one is known', () => {
		// Guards against requests with the old version to an engine whose load took long or was never reported as done.
		const versions = createEngineVersions();
		for (let count = 0; count < 3; count++) {
			versions.changing('e1', 2);
			clock.tick(3000);
			assert.deepInclude(versions.of(endpoint, 'm'), {version: 1, isChanging: true, isUncertain: false});
		}

		clock.tick(1500);
		assert.deepInclude(versions.of(endpoint, 'm'), {version: 1, isChanging: false, isUncertain: true});
		assert.lengthOf([...versions.allChanging()], 0);
		versions.seen('e1', 2);
		assert.deepInclude(versions.of(endpoint, 'm'), {version: 2, isChanging: false, isUncertain: false});
	});

	it('tells those that watch an engine shortly before its order, at the latest announced time', () => {
		// Guards against requests that are withdrawn for an order that was put off, or not withdrawn at all.
		const versions = createEngineVersions();
		const told: string[] = [];
		versions.watchOrder('e1', () => told.push('first'));
		const endSecond = versions.watchOrder('e1', () => told.push('second'));
		versions.changing('e1', 2, 500);
		clock.tick(300);
		versions.changing('e1', 2, 500);
		clock.tick(300);
		assert.deepEqual(told, []);
		endSecond();
		clock.tick(100);
		assert.deepEqual(told, ['first']);
		clock.tick(1000);
		assert.deepEqual(told, ['first']);
	});

	it('reports the time of an order only while one is to come', () => {
		// Guards against peers that withdraw requests from an engine that loads already, or whose order they can't know.
		const versions = createEngineVersions();
		versions.planned('e1', 2, 900);
		assert.equal(versions.reportedDueMs(endpoint, 'm'), 900);
		versions.changing('e1', 2, 0.4);
		assert.equal(versions.reportedDueMs(endpoint, 'm'), 1);
		versions.changing('e1', 2, 300);
		clock.tick(100);
		assert.equal(versions.reportedDueMs(endpoint, 'm'), 200);
		clock.tick(300);
		assert.equal(versions.reportedDueMs(endpoint, 'm'), Number.POSITIVE_INFINITY);
		versions.changing('e1', 2);
		assert.equal(versions.reportedDueMs(endpoint, 'm'), Number.POSITIVE_INFINITY);
	});
});
