import {setImmediate as nextTurn} from 'node:timers/promises';
import {assert} from 'chai';
import {startServiceStandin} from '../index.js';
import {startFront} from './service-front.js';

type Service = Awaited<ReturnType<typeof startServiceStandin>>;

const body = '{"ribbons":40}';
const keyed = (key: string, text = body) => ({headers: {'idempotency-key': key, 'x-order': key, 'content-type': 'application/json'}, body: text});
const codeOf = (text: string) => /"code":"([^"]*)"/v.exec(text)?.[1];

describe('Calls with an Idempotency-Key', () => {
	let service: Service;
	beforeEach(async () => {
		service = await startServiceStandin();
	});
	afterEach(async () => {
		await service.close();
	});

	it('get the stored response when repeated through another VM', async () => {
		const first = await startFront({urls: [service.url]});
		const second = await startFront({urls: [service.url], table: first.platform.table});
		const one = await first.call('POST', '/orders', keyed('k-1'));
		await first.close();
		const two = await second.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([two.status, two.text, two.outcome, two.headers['idempotent-replayed']], [200, one.text, 'answered', 'true']);
		assert.deepEqual([one.headers['x-request-id'], two.headers['x-request-id'], two.headers['x-original-request-id']], ['r-1', 'r-1', 'r-1']);
		assert.equal(two.headers['content-type'], one.headers['content-type']);
		assert.equal(service.ledger.orders.get('k-1'), 1);
		await second.close();
	});

	it('run once when repeated concurrently through two VMs', async () => {
		// A client times out and repeats the call while the first one is still in
		// progress: the call that writes the intent is dispatched, the others wait for it.
		const first = await startFront({urls: [service.url]});
		const second = await startFront({urls: [service.url], table: first.platform.table});
		const answers = await Promise.all(Array.from({length: 12}, async (_, index) => (index % 2 === 0 ? first : second).call('POST', '/orders', keyed('k-1'))));
		assert.deepEqual(new Set(answers.map(answer => answer.status)), new Set([200]));
		assert.equal(service.ledger.orders.get('k-1'), 1);
		await first.close();
		await second.close();
	});

	it('get "in progress" with Retry-After at once when the VM on which they wait stops', async () => {
		const first = await startFront({urls: [service.url]});
		const second = await startFront({urls: [service.url], table: first.platform.table});
		service.faults.enqueue({kind: 'silent', runs: true});
		const lost = first.call('POST', '/orders', keyed('k-1'));
		while (service.executions.size === 0) {
			await nextTurn();
		}

		const waiting = second.call('POST', '/orders', keyed('k-1'));
		while (second.requests() === 0) {
			await nextTurn();
		}

		await second.proxy.drain();
		const waitingResponse = await waiting;
		assert.deepEqual([waitingResponse.status, waitingResponse.outcome, waitingResponse.headers['retry-after']], [409, 'in_progress', '1']);
		await service.close();
		const {outcome} = await lost;
		assert.equal(outcome, 'unknown');
		await first.close();
		await second.close();
	});

	it('are refused if the key was used for another body', async () => {
		const front = await startFront({urls: [service.url]});
		await front.call('POST', '/orders', keyed('k-1'));
		const other = await front.call('POST', '/orders', keyed('k-1', '{"ribbons":41}'));
		assert.deepEqual([other.status, codeOf(other.text), other.outcome], [422, 'key_reused', 'not_run']);
		assert.equal(service.ledger.orders.get('k-1'), 1);
		await front.close();
	});

	it('get "unknown" when the response to the order was lost, and never run it again', async () => {
		const front = await startFront({urls: [service.url]});
		service.faults.enqueue({kind: 'reset_in_answer', afterBytes: 0});
		const first = await front.call('POST', '/orders', keyed('k-1'));
		const again = await front.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([first.status, codeOf(first.text)], [424, 'outcome_unknown']);
		assert.deepEqual([again.status, codeOf(again.text)], [424, 'outcome_unknown']);
		assert.equal(service.ledger.orders.get('k-1'), 1);
		const listed = await front.firstUnknown();
		assert.deepEqual([listed.requestId, listed.endpoint, listed.reason], ['r-1', 'od-1', 'reset']);
		await front.proxy.settleUnknownOrder(listed.id, 'ran', 'operator');
		assert.isEmpty(await front.proxy.listUnknownOrders());
		const settled = await front.call('POST', '/orders', keyed('k-1'));
		assert.equal(codeOf(settled.text), 'answer_not_kept');
		await front.close();
	});

	it('request the status of an order from the endpoint before they respond "unknown"', async () => {
		const front = await startFront({
			urls: [service.url], service: {
				kind: 'plain', name: 'orderdesk', routes: [], statusPath: '/status/{id}',
			},
		});
		service.faults.enqueue({kind: 'reset_in_answer', afterBytes: 0});
		const first = await front.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([first.status, codeOf(first.text), first.outcome], [424, 'answer_not_kept', 'ran']);
		assert.isEmpty(await front.proxy.listUnknownOrders());
		await front.close();
	});

	it('may be repeated after "not run"', async () => {
		const gone = await startServiceStandin();
		await gone.close();
		const first = await startFront({urls: [gone.url]});
		const refused = await first.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([refused.status, refused.outcome], [503, 'not_run']);
		const second = await startFront({urls: [service.url], table: first.platform.table});
		const again = await second.call('POST', '/orders', keyed('k-1'));
		assert.equal(again.status, 200);
		await first.close();
		await second.close();
	});

	it('are refused while the order store is unavailable, without a request to the endpoint', async () => {
		const down = async () => {
			throw new Error('down');
		};

		const front = await startFront({urls: [service.url], table: {get: down, list: down, transact: down}, limits: {persistMs: 0}});
		const answer = await front.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([answer.status, codeOf(answer.text), answer.outcome], [503, 'order_store_unavailable', 'not_run']);
		assert.equal(service.executions.size, 0);
		await front.close();
	});

	it('store no response body above the limit, and report that the order ran', async () => {
		const front = await startFront({urls: [service.url], limits: {mostKeptBytes: 4}});
		const first = await front.call('POST', '/orders', keyed('k-1'));
		assert.equal(first.status, 200);
		await front.proxy.drain();
		const second = await startFront({urls: [service.url], table: front.platform.table});
		const again = await second.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([again.status, codeOf(again.text), again.outcome], [424, 'answer_not_kept', 'ran']);
		await front.close();
		await second.close();
	});

	it('are recorded even if the response is larger than a row of the table', async () => {
		// The table rejects rows that are too long. Without a shorter record the order
		// would be listed as unknown although its response arrived.
		const front = await startFront({urls: [service.url], limits: {mostKeptBytes: 1_000_000}});
		await front.call('POST', '/orders', keyed('k-1', JSON.stringify('x'.repeat(60_000))));
		await front.proxy.drain();
		const rows = await front.platform.table.list({prefix: 'orders/'});
		assert.isBelow(rows[0].value.length, 65_536);
		assert.isEmpty(await front.proxy.listUnknownOrders());
		await front.close();
	});

	it('may be settled as not run only when no request of them can still be in transit', async () => {
		const front = await startFront({urls: [service.url]});
		const later = await startFront({urls: [service.url], table: front.platform.table, limits: {settleAfterMs: -1_000_000}});
		service.faults.enqueue({kind: 'reset_in_request', afterBytes: 1});
		await front.call('POST', '/orders', keyed('k-1'));
		const listed = await front.firstUnknown();
		const tooEarly: unknown = await front.proxy.settleUnknownOrder(listed.id, 'not_run', 'operator').then(() => undefined, (error: unknown) => error);
		assert.propertyVal(tooEarly, 'code', 'order_too_recent');
		await later.proxy.settleUnknownOrder(listed.id, 'not_run', 'operator');
		const again = await front.call('POST', '/orders', keyed('k-1'));
		assert.deepEqual([again.status, again.outcome, service.ledger.orders.get('k-1')], [200, 'answered', 1]);
		await front.close();
		await later.close();
	});

	it('are deleted after their retention time, but not while their outcome is unknown', async () => {
		const gone = await startServiceStandin();
		await gone.close();
		const refusing = await startFront({urls: [gone.url], limits: {keepMs: -1000}});
		const front = await startFront({urls: [service.url], limits: {keepMs: -1000}, table: refusing.platform.table});
		// The first attempt of k-2 is due for deletion; the second, with the same
		// key, has an unknown outcome and must be kept.
		await refusing.call('POST', '/orders', keyed('k-2'));
		await refusing.close();
		await front.call('POST', '/orders', keyed('k-1'));
		service.faults.enqueue({kind: 'reset_in_answer', afterBytes: 0});
		await front.call('POST', '/orders', keyed('k-2'));
		await front.proxy.drain();
		const deleted = await front.proxy.sweepExpiredOrders();
		const rows = await refusing.platform.table.list({prefix: 'order'});
		assert.deepEqual([deleted, rows.map(row => row.key.split('/')[0])], [1, ['order-open', 'orders']]);
		await front.close();
	});

	it('are refused as not run while the memory for buffered bodies is used up', async () => {
		// Bodies of calls with a key are buffered completely. Many large ones at a time
		// would exhaust the memory of the process and end all its calls.
		const front = await startFront({urls: [service.url], limits: {mostHeldBytes: 2 * body.length}});
		service.faults.enqueue({kind: 'silent', runs: false}, {kind: 'silent', runs: false});
		const holding = ['k-1', 'k-2'].map(async key => front.call('POST', '/orders', keyed(key)));
		while (service.requests.length < 2) {
			await nextTurn();
		}

		const refused = await front.call('POST', '/orders', keyed('k-3'));
		assert.deepEqual([refused.status, codeOf(refused.text), refused.outcome], [503, 'busy', 'not_run']);
		await service.close();
		await Promise.all(holding);
		service = await startServiceStandin();
		const tooLate = await front.call('POST', '/orders', keyed('k-3'));
		assert.equal(codeOf(tooLate.text), 'not_run');
		await front.close();
	});

	it('are refused if the key is malformed or the body too large', async () => {
		const front = await startFront({urls: [service.url], limits: {mostKeyedBytes: 8}});
		const large = await front.call('POST', '/orders', keyed('k-1'));
		const spaced = await front.call('POST', '/orders', keyed('k 1', ''));
		assert.deepEqual([codeOf(large.text), codeOf(spaced.text)], ['keyed_body_too_large', 'malformed_key']);
		assert.equal(service.executions.size, 0);
		await front.close();
	});
});
