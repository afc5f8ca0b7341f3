/** A stand-in for the platform's store: rows, transactions and the feed, as PROTOCOL.md describes them. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Starts a store; the returned functions write as the operator and the replicas do. */
export async function startStore() {
	const rows = new Map();
	const waiting = new Set();
	let version = 0;
	let isDown = false;
	const idOf = ({table, part = '', key}) => JSON.stringify([table, part, key]);

	const set = row => {
		rows.set(idOf(row), {part: '', ...row, ver: version});
	};

	const wakeAll = () => {
		for (const wake of waiting) {
			wake();
		}
	};

	const send = (res, status, body) => {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		res.end(JSON.stringify({...body, ver: version, now_ms: Math.round(performance.now())}));
	};

	const feed = (res, query) => {
		const after = Number(query.get('after'));
		const changed = () => [...rows.values()].filter(row => row.table === query.get('table') && row.ver > after).toSorted((a, b) => a.ver - b.ver);
		const finish = () => {
			clearTimeout(timer);
			waiting.delete(check);
			send(res, 200, {rows: changed()});
		};

		const check = () => {
			if (changed().length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Number(query.get('wait_ms')));
		waiting.add(check);
		check();
	};

	const list = (res, query) => {
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? '\u{10FFFF}';
		const found = [...rows.values()].filter(row => row.table === query.get('table') && row.tombstone !== true && row.key >= from && row.key < to);
		send(res, 200, {rows: found.toSorted((a, b) => a.key < b.key ? -1 : 1), has_more: false});
	};

	const transact = (res, {precondition = [], writes = [], remove = []}) => {
		const verOf = at => {
			const row = rows.get(idOf(at));
			return row === undefined || row.tombstone === true ? 0 : row.ver;
		};

		if (precondition.some(at => verOf(at) !== at.ver)) {
			send(res, 412, {rows: precondition.map(at => rows.get(idOf(at))).filter(row => row !== undefined)});
			return;
		}

		version++;
		for (const row of writes) {
			set(row);
		}

		for (const row of remove) {
			set({...row, tombstone: true});
		}

		send(res, 200, {});
		wakeAll();
	};

	const server = createServer(async (req, res) => {
		const url = new URL(req.url, 'http://store');
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		if (isDown) {
			// A 503 says that nothing was done.
			send(res, 503, {});
			return;
		}

		switch (url.pathname) {
			case '/v1/rows-get': {
				list(res, url.searchParams);
				break;
			}

			case '/v1/rows-feed': {
				feed(res, url.searchParams);
				break;
			}

			case '/v1/rows-tx': {
				transact(res, JSON.parse(Buffer.concat(chunks).toString('utf8')));
				break;
			}

			default: {
				send(res, 404, {});
			}
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a row; returns false while the store is down. */
		put(table, key, content) {
			if (isDown) {
				return false;
			}

			version++;
			set({table, key, value: Buffer.from(JSON.stringify(content)).toString('base64')});
			wakeAll();
			return true;
		},
		/** While it is down, the store answers every call with 503, and calls that wait end without an answer. */
		setDown(down) {
			isDown = down;
			if (down) {
				waiting.clear();
				server.closeAllConnections();
			}
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
