/**
 * The plainest parts that carry a request end to end. Each is replaced by the
 * real part as soon as that stands: the configuration follower, the key ring,
 * the token limiter, the placer and the order path.
 */
import {createHash} from 'node:crypto';
import {type AcceptedDocument, parseDocument} from 'hickorywalk/configuration.js';
import {
	type KeyRing, type Placer, type RetryBudget, type TokenLimiter,
} from 'hickorywalk/gateway.js';
import {type Platform} from 'hickorywalk/platform.js';

/** Row that holds the document until the configuration store takes over. */
export const documentRow = 'configuration/document';

/** Reads the document from its row again and again. */
export function createPollingFollower(platform: Platform, everyMs: number) {
	let accepted: AcceptedDocument | undefined;
	const poll = async () => {
		const row = await platform.table.get(documentRow);
		if (row !== undefined && row.version > (accepted?.version ?? 0)) {
			accepted = {version: row.version, document: parseDocument(JSON.parse(row.value))};
		}
	};

	const timer = setInterval(() => {
		void poll().catch(() => undefined);
	}, everyMs);
	return {
		poll,
		current: () => accepted,
		close() {
			clearInterval(timer);
		},
	};
}

/** Finds keys by their digest in the document in force. */
export function createPlainKeyRing(current: () => AcceptedDocument | undefined): KeyRing {
	return {
		authenticate(key) {
			const digest = createHash('sha256').update(key).digest('hex');
			for (const workspace of current()?.document.workspaces ?? []) {
				const found = workspace.keys.find(item => item.digest === digest);
				if (found !== undefined) {
					return {workspace, keyId: found.id};
				}
			}

			return undefined;
		},
	};
}

/** Grants whatever is asked for. */
export function createOpenLimiter(): TokenLimiter {
	return {
		reserve: async (_workspace, tokens) => ({granted: true, reservation: {tokens, settle: () => undefined}}),
	};
}

/** Takes endpoints in turn. */
export function createRoundRobinPlacer(current: () => AcceptedDocument | undefined): Placer {
	let turn = 0;
	return {
		place({service, excluded}) {
			const endpoints = (current()?.document.endpoints ?? []).filter(item => item.service === service && !excluded.has(item.name));
			if (endpoints.length === 0) {
				return undefined;
			}

			turn++;
			return {
				endpoint: endpoints[turn % endpoints.length].name, incarnation: '', expectedCachedTokens: 0, expectedMs: 0,
			};
		},
		started: () => undefined,
		finished: () => undefined,
		observe: () => undefined,
	};
}

/** Lets every retry leave. */
export function createOpenBudget(): RetryBudget {
	return {deposit: () => undefined, withdraw: () => true};
}
