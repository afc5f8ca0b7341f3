import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createEndpointPresence, createFleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createEngineVersions, createWeightsKeeper, type WeightsControl} from '../../weights.js';
import {engineDocument} from './engine-document.js';

const loadMs = 1300;
const tickMs = 100;

type Cost = {calls: number; announcements: number; doneMs: number};

/** One holder brings so many engines to new weights. */
async function play(count: number): Promise<Cost> {
	const clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	try {
		const view = createFleetView(createSilentLog());
		const running = new Map<string, number>();
		for (let index = 0; index < count; index++) {
			const id = `e${index}`;
			running.set(id, 1);
			view.acceptEndpoint({
				id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, weights: new Map([['m', 1]]),
			});
		}

		view.acceptDocument(engineDocument);
		const cost: Cost = {calls: 0, announcements: 0, doneMs: 0};
		const changing = new Set<string>();
		const control: WeightsControl = {
			async state({id}) {
				cost.calls++;
				return {
					weights: new Map([['m', running.get(id)!]]), waiting: 0, isChanging: changing.has(id), ordersTaken: 0,
				};
			},
			async order({id}, {version}) {
				cost.calls++;
				changing.add(id);
				setTimeout(() => {
					changing.delete(id);
					running.set(id, version);
				}, loadMs);
				return 'accepted';
			},
		};
		const keeper = createWeightsKeeper({
			name: 'vm-1',
			view,
			versions: createEngineVersions(),
			control,
			held: () => ({duty: 'weights', fencing: 1, msLeft: 1000}),
			handoverMs: 3200,
			announce() {
				cost.announcements++;
			},
			weightsMs: 10_000,
			lastsMs: () => 0,
			presence: createEndpointPresence(createSilentLog()),
			log: createSilentLog(),
		});
		view.acceptWeights('m', 2, 0);
		while ([...running.values()].some(version => version < 2)) {
			keeper.tick();
			await clock.tickAsync(tickMs);
			cost.doneMs += tickMs;
		}

		return cost;
	} finally {
		clock.uninstall();
	}
}

describe('the cost of a rollout for its holder', () => {
	it('leaves a small VM enough processor time to renew its lease and finish the rollout', async () => {
		for (const count of [12, 98, 300]) {
			const {calls, announcements, doneMs} = await play(count);
			assert.isAtMost(calls / count, 6, `${count} engines`);
			assert.isAtMost(announcements / doneMs * 1000, 10, `${count} engines`);
			assert.isAtMost(doneMs, 8000, `${count} engines`);
		}
	});
});
