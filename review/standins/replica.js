/** A stand-in for a replica that writes its answers in pieces. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatMs = 1200;

/** Starts a replica and registers it in the store. */
export async function startReplica({
	id, service, store, record, model, slots = 64, isBrittle = false, isUnframed = false, tellsLoad = true, pieces = 20, pieceMs = 100,
}) {
	let software = 'v1';
	let born = Date.now();
	let sequence = 0;
	let port = 0;
	let running = 0;
	let server;

	const register = () => {
		sequence++;
		return store.put('servers', id, {
			service, address: `127.0.0.1:${port}`, zone: 'a', slots, state: 'ready', sequence, born, version: software, cold_remaining_ms: 0,
			...(model !== undefined && {models: [{name: model, version: 1, adapters: []}]}),
		});
	};

	const headersFor = req => ({
		'instance-id': id,
		...(tellsLoad && {'instance-load': `${running},0,${slots}`}),
		...(req.headers['attempt-id'] !== undefined && {'attempt-id': req.headers['attempt-id']}),
		...(isBrittle && {'server-brittle': '5'}),
	});

	const refuse = (req, res, status) => {
		res.writeHead(status, {...headersFor(req), 'not-executed': '1', 'content-length': '0'});
		res.end();
	};

	const run = async (req, res) => {
		const attempt = req.headers['attempt-id'];
		const isStream = req.headers.model !== undefined;
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		record(`replica ${id} ${software} runs ${attempt} from piece ${first}`);
		if (isUnframed) {
			// The answer ends with its connection.
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
		}

		running++;
		res.writeHead(200, {
			...headersFor(req), 'response-stamp': `stamp-${attempt}`, 'content-type': isStream ? 'text/event-stream' : 'text/plain', ...(isStream && {'weight-versions': '1'}),
		});
		const runSoftware = software;
		for (let piece = first; piece <= pieces && !res.destroyed; piece++) {
			const text = `${attempt} ${runSoftware} piece ${piece} of ${pieces}`;
			res.write(isStream ? `id: ${piece}\ndata: ${text}\n\n` : `${text}\n`);
			await sleep(pieceMs);
		}

		running--;
		res.end();
		record(`replica ${id} ${runSoftware} ${res.destroyed ? 'lost the connection of' : 'answered'} ${attempt}`);
	};

	const handle = async (req, res) => {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		if (req.url === '/healthz') {
			res.writeHead(200, {...headersFor(req), 'content-length': '0'});
			res.end();
		} else if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
			refuse(req, res, 421);
		} else if (req.url === '/v1/report') {
			const body = JSON.stringify({
				stage: 'colocated', models: [{name: model, version: 1, adapters: []}], busy: false, sequence: 0, waiting: 0, running, kv_used: 0, kv_total: 90_000, handles: 0, born,
			});
			res.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		} else if (req.headers['attempt-id'] === undefined) {
			refuse(req, res, 400);
		} else if (running >= slots) {
			refuse(req, res, 503);
		} else {
			await run(req, res);
		}
	};

	const start = async () => {
		server = createServer((req, res) => {
			// A caller that is gone needs no answer.
			handle(req, res).catch(() => undefined);
		});
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
		({port} = server.address());
		register();
	};

	await start();
	const heartbeat = setInterval(register, heartbeatMs);

	return {
		id,
		software: () => software,
		/** Ends the process of the replica and starts it again under the same id, with another version of its software. */
		async restart(newSoftware, downMs) {
			record(`replica ${id} ${software} ends`);
			server.close();
			server.closeAllConnections();
			await sleep(downMs);
			software = newSoftware;
			born = Date.now();
			sequence = 0;
			running = 0;
			await start();
			record(`replica ${id} starts again as ${software}`);
		},
		close() {
			clearInterval(heartbeat);
			server.closeAllConnections();
			server.close();
		},
	};
}
