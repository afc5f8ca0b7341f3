import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createEndpointPresence, createFleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createEngineVersions, createWeightsRollout, type WeightsControl} from '../../weights.js';
import {engineDocument} from './engine-document.js';

const loadMs = 1300;
const tickMs = 100;

type Cost = {calls: number; announcements: number; doneMs: number};

type Rollout = {
	count: number;
	daemons?: number;
	/** Number of engines that can't be reached from 0.6 to 5 s after the first naming. */
	unreached?: number;
	namings?: number;
};

/** Simulates one rollout per naming by a single lease holder; returns the cost of the last one. */
async function simulate({count, daemons = 1, unreached = 0, namings = 1}: Rollout): Promise<Cost> {
	const clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	try {
		const view = createFleetView(createSilentLog());
		const running = new Map<string, number>();
		for (let index = 0; index < count; index++) {
			const id = `e${index}`;
			running.set(id, 1);
			view.acceptEndpoint({
				id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
			});
		}

		view.acceptDocument(engineDocument);
		const cost: Cost = {calls: 0, announcements: 0, doneMs: 0};
		const changing = new Set<string>();
		let at = 0;
		const failIfUnreachable = (id: string): void => {
			if (at >= 600 && at < 5000 && Number(id.slice(1)) < unreached) {
				throw new Error('No answer.');
			}
		};

		const control: WeightsControl = {
			async state({id}) {
				cost.calls++;
				failIfUnreachable(id);
				return {
					weights: new Map([['m', running.get(id)!]]), waiting: 0, running: 0, isChanging: changing.has(id), ordersTaken: 0,
				};
			},
			async order({id}, {version}) {
				cost.calls++;
				failIfUnreachable(id);
				changing.add(id);
				setTimeout(() => {
					changing.delete(id);
					running.set(id, version);
				}, loadMs);
				return 'accepted';
			},
		};
		const rollout = createWeightsRollout({
			name: 'vm-1',
			view,
			versions: createEngineVersions(),
			control,
			held: () => ({duty: 'weights', fencing: 1, msLeft: 1000}),
			handoverMs: 3200,
			daemons: () => daemons,
			announce() {
				cost.announcements++;
			},
			weightsMs: 10_000,
			remainingMs: () => 0,
			presence: createEndpointPresence(createSilentLog()),
			log: createSilentLog(),
		});
		for (let version = 2; version < namings + 2; version++) {
			Object.assign(cost, {calls: 0, announcements: 0, doneMs: 0});
			view.acceptWeights('m', version, 0);
			while ([...running.values()].some(one => one < version)) {
				rollout.tick();
				await clock.tickAsync(tickMs);
				at += tickMs;
				cost.doneMs += tickMs;
			}
		}

		return cost;
	} finally {
		clock.uninstall();
	}
}

describe('cost of a rollout for the lease holder', () => {
	it('leaves a small VM enough processor time to renew its lease and finish the rollout', async () => {
		for (const count of [12, 98, 300]) {
			const {calls, announcements, doneMs} = await simulate({count});
			assert.isAtMost(calls / count, 6, `${count} engines`);
			assert.isAtMost(announcements / doneMs * 1000, 10, `${count} engines`);
			assert.isAtMost(doneMs, 8000, `${count} engines`);
		}
	});

	it('leaves a small VM enough processor time to announce its orders to hundreds of daemons', async () => {
		for (const daemons of [9, 66, 200, 650]) {
			const {announcements, doneMs} = await simulate({count: 98, daemons});
			assert.isAtMost(announcements * daemons / doneMs * 1000, 1000, `${daemons} daemons`);
			assert.isAtMost(doneMs, 8000, `${daemons} daemons`);
		}
	});

	it('does not grow after a rollout in which engines could not be reached', async () => {
		const {doneMs} = await simulate({count: 98, namings: 2});
		const afterOutage = await simulate({count: 98, unreached: 20, namings: 2});
		assert.isAtMost(afterOutage.doneMs, doneMs + 1000);
	});
});
