import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {assert} from 'chai';
import {createEntryParts} from '../lib/entry-parts.js';
import {type EntryParts} from '../lib/wiring/parts.js';
import {host, settingsWith} from './daemon-settings.js';

type NamingRow = {key: string; value: string; ver: number};

const model = 'm1';

const namingRow = (version: number, ver: number): NamingRow => ({
	key: `version/${model}`, value: Buffer.from(JSON.stringify({model, version})).toString('base64'), ver,
});

describe('the age of weights', () => {
	let server: Server;
	let parts: EntryParts;
	/** The store's clock in milliseconds. */
	let storeMs: number;
	/** Polls of the operator's table that wait for a change. */
	let polls: ServerResponse[];

	const respond = (res: ServerResponse, body: object): void => {
		res.setHeader('content-type', 'application/json');
		res.end(JSON.stringify({
			rows: [], ver: 1, now_ms: storeMs, ...body,
		}));
	};

	beforeEach(async () => {
		storeMs = 100_000;
		polls = [];
		server = createServer((req, res) => {
			const url = new URL(req.url ?? '/', 'http://store');
			if (url.pathname === '/v1/rows-feed' && url.searchParams.get('wait_ms') !== '0') {
				polls.push(res);
			} else {
				respond(res, {});
			}
		});
		server.listen(0, host);
		await once(server, 'listening');
		parts = createEntryParts(settingsWith(1, `${host}:${(server.address() as AddressInfo).port}`)).cradle;
		parts.operatorFeed.ageMs();
		while (polls.length === 0) {
			await sleep(1);
		}
	});

	afterEach(async () => {
		parts.operatorFeed.close();
		await parts.store.close();
		server.closeAllConnections();
		server.close();
	});

	/** The store answers the poll that waits, as of `answeredAt` on its clock. */
	const name = async (answeredAt: number): Promise<void> => {
		respond(polls.at(-1)!, {rows: [namingRow(2, 5)], ver: 5, now_ms: answeredAt});
		while (parts.view.namedWeights(model) === undefined) {
			await sleep(1);
		}
	};

	/** A peer relays an answer that the store gave at `answeredAt`, with the naming of a version if any. */
	const relay = (answeredAt: number, version?: number): void => {
		parts.operatorFeed.relayed('vm-2', {
			since: 1,
			version: 5,
			rows: version === undefined ? [] : [[`version/${model}`, 5, JSON.stringify({model, version})]],
			isPrompt: true,
			storeMs: answeredAt,
			outage: null,
			restoredMs: null,
		});
	};

	/** Another answer of the store tells the daemon the time. */
	const readClock = async (): Promise<void> => {
		await parts.ownTable.get('any');
	};

	it('includes the time for which the store\'s answer lay unread', async () => {
		// Guards against a busy or suspended daemon that takes a naming for new when it gets around to reading it.
		storeMs = 104_000;
		await readClock();
		await name(100_010);
		assert.isAtLeast(parts.view.namedWeights(model)!.outdatedMs(1), 3990);
	});

	it('includes a suspension, which the process\'s own clock doesn\'t count', async () => {
		// Guards against requests that begin on replaced weights after a machine was suspended.
		await name(100_010);
		storeMs = 108_000;
		await readClock();
		assert.isAtLeast(parts.view.namedWeights(model)!.outdatedMs(1), 7990);
	});

	it('includes all time in which a suspended daemon may have missed the naming', async () => {
		// Guards against a naming that is taken for new because the daemon polled right after it had been suspended.
		await name(106_000);
		assert.isAtLeast(parts.view.namedWeights(model)!.outdatedMs(1), 5990);
	});

	it('includes the time for which a peer\'s relay lay unread', async () => {
		// Guards against a naming that counts from the arrival of a late datagram.
		storeMs = 104_000;
		await readClock();
		relay(100_010, 2);
		assert.isAtLeast(parts.view.namedWeights(model)!.outdatedMs(1), 3990);
	});

	it('includes a suspension of a daemon that hears from the store through peers only', async () => {
		// Guards against a clock that stands still because the daemon has no need to call the store.
		relay(100_010, 2);
		relay(108_000);
		assert.isAtLeast(parts.view.namedWeights(model)!.outdatedMs(1), 7990);
	});
});
