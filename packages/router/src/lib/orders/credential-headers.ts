/**
 * Removes the caller's credentials and the hop-by-hop headers from a request
 * before it is sent to an endpoint.
 *
 * An endpoint that sees a key could act as its workspace, and its access log
 * would keep the key for good. So everything that may carry a key is removed, by
 * name and by content: the latter finds a key that was sent in an unexpected place.
 */

/** Headers that carry credentials, whatever their value. */
const credentialHeaders: ReadonlySet<string> = new Set([
	'authorization',
	'proxy-authorization',
	'x-api-key',
	'api-key',
]);

/**
 * Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/** Headers that the HTTP client sets itself on the outgoing request. */
const replacedHeaders: ReadonlySet<string> = new Set([
	'host',
	'expect',
	'content-length',
]);

/** Names of query parameters and cookies that carry a key. */
const keyParameters: ReadonlySet<string> = new Set(['api_key', 'key', 'access_token']);

/** Yields the name (in lower case, and as sent) and the value of each header of a raw header list. */
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

/** Whether a text contains the key, literally or percent-encoded. */
function containsKey(text: string, presentedKey: string): boolean {
	if (presentedKey === '') {
		return false;
	}

	return text.includes(presentedKey) || percentDecoded(text).includes(presentedKey);
}

function cookiesWithoutKey(value: string, presentedKey: string): string {
	const kept: string[] = [];
	for (const cookie of value.split(';')) {
		const name = cookie.split('=', 1)[0].trim().toLowerCase();
		if (!keyParameters.has(name) && !containsKey(cookie, presentedKey)) {
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
 * Returns the headers of a caller's request that an endpoint may see, as a flat
 * list of names and values.
 *
 * Removed are credentials, every header or cookie that contains the presented
 * key, hop-by-hop headers (including those that `Connection` names), and `Host`,
 * `Expect` and `Content-Length`, which the HTTP client sets itself.
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

		if (!containsKey(value, presentedKey) && !containsKey(sentName, presentedKey)) {
			kept.push(sentName, value);
		}
	}

	return kept;
}

/**
 * Removes the query parameters that carry a key. The rest stays byte for byte
 * and in order. Parameters may be separated by `&` or `;`, since some endpoints
 * accept both.
 *
 * @param presentedKey Parameters that contain this key are also removed.
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
		if (keyParameters.has(name) || containsKey(part, presentedKey)) {
			continue;
		}

		kept += kept === '' ? part : `${separator}${part}`;
	}

	return kept === '' ? url.slice(0, start) : `${url.slice(0, start)}?${kept}`;
}
