/** A client that reads answers from the bare connection, so that its own library hides nothing of how they end. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

const headEnd = '\r\n\r\n';

/** Joins the chunks of a body; `undefined` if its last chunk is missing. */
function joinChunks(body) {
	const parts = [];
	let at = 0;
	for (;;) {
		const lineEnd = body.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return {text: parts.join(''), isComplete: false};
		}

		const size = Number.parseInt(body.slice(at, lineEnd), 16);
		if (size === 0) {
			return {text: parts.join(''), isComplete: true};
		}

		const from = lineEnd + 2;
		parts.push(body.slice(from, from + size));
		if (body.length < from + size + 2) {
			return {text: parts.join(''), isComplete: false};
		}

		at = from + size + 2;
	}
}

/** Reads an answer by its framing; `isReset` if its connection ended with an error. */
function parse(text, {hasEnded, isReset}) {
	const at = text.indexOf(headEnd);
	if (at === -1) {
		return {
			status: undefined, headers: {}, text: '', isComplete: false,
		};
	}

	const [statusLine, ...lines] = text.slice(0, at).split('\r\n');
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const body = text.slice(at + headEnd.length);
	const status = Number(statusLine.split(' ')[1]);
	if (headers['transfer-encoding'] === 'chunked') {
		return {status, headers, ...joinChunks(body)};
	}

	if (headers['content-length'] !== undefined) {
		return {
			status, headers, text: body, isComplete: body.length === Number(headers['content-length']),
		};
	}

	// Without length and chunks, the end of the connection is the end of the answer, unless the connection was reset.
	return {
		status, headers, text: body, isComplete: hasEnded && !isReset,
	};
}

/** Sends one request over its own connection and resolves when the answer is complete or its connection has ended. */
export async function call({host, port, method = 'GET', path, headers, body = '', timeoutMs = 20_000}) {
	return new Promise(resolve => {
		const chunks = [];
		let hasEnded = false;
		let isReset = false;
		const socket = connect({host, port});
		const current = () => parse(Buffer.concat(chunks).toString('latin1'), {hasEnded, isReset});
		socket.setTimeout(timeoutMs, () => {
			socket.destroy(new Error('The answer took too long.'));
		});
		socket.on('connect', () => {
			const lines = Object.entries({...headers, 'Content-Length': Buffer.byteLength(body)}).map(([name, value]) => `${name}: ${value}\r\n`);
			socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
		});
		socket.on('data', chunk => {
			chunks.push(chunk);
			if (current().isComplete) {
				socket.end();
			}
		});
		socket.on('end', () => {
			hasEnded = true;
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			resolve(current());
		});
	});
}
