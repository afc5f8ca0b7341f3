import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {parseDocument} from '../../configuration.js';
import {
	createBurnReport, createCollectingMetrics, createServiceLevels, formatBurnText, reportBurnMetrics, type ServiceLevelEvent,
} from '../../observability.js';
import {createMemoryObjects} from './memory-objects.js';

const hourMs = 3_600_000;

const objectives = [{
	service: 'wordsmith', availability: 0.99, firstTokenMs: 500, firstTokenShare: 0.9, wrongfulRefusals: 0.02,
}];

const workspaceOf = (name: string) => ({
	name, tokensPerSecond: 1, burstTokens: 1, services: ['wordsmith'], objectives,
});

const document = parseDocument({
	layout: 1,
	dataCentres: [],
	workspaces: [workspaceOf('school-1'), workspaceOf('school-2')],
	services: [{
		kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w1',
	}],
	endpoints: [],
});

describe('createBurnReport', () => {
	let clock: FakeTimers.Clock;
	const objects = createMemoryObjects();

	beforeEach(() => {
		clock = FakeTimers.install({now: Date.UTC(2026, 0, 5), toFake: ['Date']});
		objects.store.clear();
	});

	afterEach(() => {
		clock.uninstall();
	});

	let incarnation = 0;

	const record = async (workspace: string, counts: Array<[number, Partial<ServiceLevelEvent>]>): Promise<void> => {
		incarnation++;
		const recorder = createServiceLevels({daemon: 'hw-1', incarnation: String(incarnation), objects});
		for (const [times, event] of counts) {
			for (let index = 0; index < times; index++) {
				recorder.record({
					workspace, service: 'wordsmith', result: 'answered', ...event,
				});
			}
		}

		await recorder.flush();
	};

	const report = async () => createBurnReport({objects, document, version: 3});

	it('reports the burn rate by window, the remaining budget and the causes', async () => {
		await record('school-1', [[94, {firstTokenMs: 100}], [5, {result: 'failed'}], [1, {result: 'refused_wrongfully'}], [50, {result: 'refused_rightly'}]]);
		clock.setSystemTime(Date.now() + (2 * hourMs));
		await record('school-1', [[80, {firstTokenMs: 100}], [20, {firstTokenMs: 900}]]);
		const {objectives: burns, worstServed} = await report();
		const [availability, firstToken, wrongful] = ['availability', 'first_token', 'wrongful_refusals'].map(kind => burns.find(burn => burn.objective === kind && burn.workspace === 'school-1'));
		assert.deepEqual(availability?.windows['1h'], {total: 100, broken: 0, burn: 0});
		assert.equal(availability?.windows['6h'].total, 200, 'rightful refusals are not counted');
		assert.closeTo(availability?.windows['6h'].burn ?? 0, 3, 1e-9);
		assert.closeTo(availability?.budgetLeft ?? 0, -2, 1e-9);
		assert.deepEqual(availability?.causes, [{cause: 'failed', requests: 5}, {cause: 'refused_wrongfully', requests: 1}]);
		assert.closeTo(firstToken?.windows['1h'].burn ?? 0, 2, 1e-9);
		assert.closeTo(wrongful?.windows['3d'].burn ?? 0, 0.25, 1e-9);
		assert.deepEqual(worstServed, {workspace: 'school-1', service: 'wordsmith', objective: 'availability'});
	});

	it('names the worst-served workspace, not the busiest one', async () => {
		await record('school-1', [[1000, {}], [10, {result: 'failed'}]]);
		await record('school-2', [[5, {}], [5, {result: 'failed'}]]);
		const {worstServed} = await report();
		assert.equal(worstServed?.workspace, 'school-2');
	});

	it('reports "no requests" instead of a full budget if there were none', async () => {
		const made = await report();
		assert.isNull(made.objectives[0].budgetLeft);
		assert.include(formatBurnText(made), 'no requests');
	});

	// Otherwise a good figure could rest on half of the data unnoticed.
	it('reports how many objects it could not count', async () => {
		await record('school-1', [[1, {}]]);
		objects.store.set('service-levels/raw/2026-01-05T00:00:00.000Z/broken', new TextEncoder().encode('{'));
		const made = await report();
		assert.equal(made.leftOut, 1);
		assert.include(formatBurnText(made), '1 objects that can not be read');
		const bounded = await createBurnReport({
			objects, document, version: 3, maxRawObjects: 1,
		});
		assert.equal(bounded.notRead, 1);
	});

	it('raises the alert only if the 6 h window burns fast as well', async () => {
		const alertOf = async (): Promise<number> => {
			const metrics = createCollectingMetrics();
			reportBurnMetrics(await report(), metrics);
			return metrics.sum('burn_alert.availability', {workspace: 'school-1'});
		};

		await record('school-1', [[1000, {}]]);
		clock.setSystemTime(Date.now() + (3 * hourMs));
		await record('school-1', [[10, {result: 'failed'}]]);
		assert.equal(await alertOf(), 0);
		await record('school-1', [[500, {result: 'failed'}]]);
		assert.equal(await alertOf(), 1);
	});
});
