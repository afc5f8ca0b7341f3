import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {assert} from 'chai';
import {setLogWriter} from 'hickorywalk/observability.js';
import {createEntryParts} from '../lib/entry-parts.js';
import {settingsWith} from './daemon-settings.js';

const connectionCount = 300;
const connectionBytes = 64 * 1024;
const closedLine = 'what has arrived on all takes too long to handle';

/** A connection that has sent much, and of which nothing is parsed since its responses aren't read. */
function createUnreadConnection(): Socket {
	const socket = new Duplex({read: () => undefined, write: () => undefined});
	Object.assign(socket, {_paused: true});
	socket.push(Buffer.alloc(connectionBytes));
	return socket as Socket;
}

describe('wireConnectionTurns', () => {
	it('writes few lines while it closes many connections, and counts each of them', async () => {
		// Guards against clients that make a daemon write a line for each connection that they open.
		const lines: string[] = [];
		const restore = setLogWriter(line => {
			lines.push(line);
		});
		const {turns, metrics} = createEntryParts(settingsWith(1)).cradle;
		try {
			for (let index = 0; index < connectionCount; index++) {
				turns.meter(createUnreadConnection());
			}

			while (turns.waiting() + turns.closedCount() < connectionCount) {
				await sleep(5);
			}
		} finally {
			restore();
		}

		const closed = turns.closedCount();
		assert.isAbove(closed, 100);
		assert.include(await metrics.text(), `hickorywalk_connections_closed_total{server="any",reason="expensive"} ${closed}\n`);
		const written = lines.filter(line => line.includes(closedLine)).length;
		assert.isAtLeast(written, 1);
		// Two in each of two windows of a second.
		assert.isAtMost(written, 4);
	});
});
