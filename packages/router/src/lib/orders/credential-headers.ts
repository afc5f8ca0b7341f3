/**
 * Takes the caller's credentials, and the headers that concern one connection
 * only, out of a request before it goes to an endpoint.
 *
 * An endpoint that sees a key could act as its workspace, and its access log
 * would keep the key for good. So everything that may carry a key goes, by name
 * and by content: a key that was sent in an unexpected place is found there.
 */

/** Headers that carry credentials, whatever their value. */
const credentialHeaders: ReadonlySet<string> = new Set([
	'authorization',
	'proxy-authorization',
	'x-api-key',
	'api-key',
]);

/**
 * Headers that concern one connection only (RFC 9110, section 7.6.1).
 *
 * @internal
 */
export const connectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'te',
	'transfer-encoding',
	'upgrade',
	'http2-settings',
]);

/** Headers that the sender of the next request sets itself. */
const replacedHeaders: ReadonlySet<string> = new Set([
	'host',
	'expect',
	'content-length',
]);

/** Names of query parameters and cookies that carry a key. */
const keyParameters: ReadonlySet<string> = new Set(['api_key', 'key', 'access_token']);

/** Calls `visit` with each name (lower case, as sent) and value of a raw header list. */
export function * headerPairs(rawHeaders: readonly string[]): Generator<{name: string; sentName: string; value: string}> {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const sentName = rawHeaders[index];
		yield {name: sentName.toLowerCase(), sentName, value: rawHeaders[index + 1]};
	}
}

/** Lower-case names that the `Connection` headers of a message list. */
export function connectionOptions(rawHeaders: readonly string[]): Set<string> {
	const options = new Set<string>();
	for (const {name, value} of headerPairs(rawHeaders)) {
		if (name !== 'connection') {
			continue;
		}

		for (const option of value.split(',')) {
			options.add(option.trim().toLowerCase());
		}
	}

	return options;
}

function percentDecoded(text: string): string {
	try {
		return decodeURIComponent(text.replaceAll('+', ' '));
	} catch {
		return text;
	}
}

/** Whether a key stands in a text, as it is or percent-encoded. */
function carriesKey(text: string, presentedKey: string): boolean {
	if (presentedKey === '') {
		return false;
	}

	return text.includes(presentedKey) || percentDecoded(text).includes(presentedKey);
}

function cookiesWithoutKey(value: string, presentedKey: string): string {
	const kept: string[] = [];
	for (const cookie of value.split(';')) {
		const name = cookie.split('=', 1)[0].trim().toLowerCase();
		if (!keyParameters.has(name) && !carriesKey(cookie, presentedKey)) {
			kept.push(cookie.trim());
		}
	}

	return kept.join('; ');
}

function isDropped(name: string, listed: ReadonlySet<string>): boolean {
	return credentialHeaders.has(name)
		|| connectionHeaders.has(name)
		|| replacedHeaders.has(name)
		|| listed.has(name);
}

/**
 * The headers of a caller's request that an endpoint may see, as a flat list of
 * names and values.
 *
 * Left out: credentials, every header or cookie in which the presented key
 * stands, headers of the connection (also those that `Connection` names), and
 * `Host`, `Expect` and `Content-Length`, which the sender sets anew.
 *
 * @example
 * const headers = forwardableHeaders(req.rawHeaders, presentedKey);
 */
export function forwardableHeaders(rawHeaders: readonly string[], presentedKey: string): string[] {
	const listed = connectionOptions(rawHeaders);
	const kept: string[] = [];
	for (const {name, sentName, value} of headerPairs(rawHeaders)) {
		if (isDropped(name, listed)) {
			continue;
		}

		if (name === 'cookie') {
			const cookies = cookiesWithoutKey(value, presentedKey);
			if (cookies !== '') {
				kept.push(sentName, cookies);
			}

			continue;
		}

		if (!carriesKey(value, presentedKey) && !carriesKey(sentName, presentedKey)) {
			kept.push(sentName, value);
		}
	}

	return kept;
}

/**
 * The path and query of a request without parameters that carry a key. What
 * stays is passed on byte for byte, in its order. Parameters may be divided by
 * `&` or `;`, since some endpoints accept both.
 *
 * @param presentedKey Also leaves out any parameter in which this key stands.
 */
export function stripKeyFromUrl(url: string, presentedKey = ''): string {
	const start = url.indexOf('?');
	if (start === -1) {
		return url;
	}

	let kept = '';
	let separator = '';
	for (const part of url.slice(start + 1).split(/([&;])/v)) {
		if (part === '&' || part === ';') {
			separator = part;
			continue;
		}

		const name = percentDecoded(part.split('=', 1)[0]).trim().toLowerCase();
		if (keyParameters.has(name) || carriesKey(part, presentedKey)) {
			continue;
		}

		kept += kept === '' ? part : `${separator}${part}`;
	}

	return kept === '' ? url.slice(0, start) : `${url.slice(0, start)}?${kept}`;
}
