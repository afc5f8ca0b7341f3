/** Slopes of rates and bursts: admission, held state, and messages with an issuer. */
import FakeTimers from '@sinonjs/fake-timers';
import {createTokenLimiter, type FleetTokenLimiter} from 'hickorywalk/limits.js';
import {bodySize, type PeerBody} from 'hickorywalk/links.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {createMemoryTable} from './memory-table.js';
import {workspaceName} from './sample-fleet.js';

const role = 'limits';
const workspaces = 1200;
/** Up to the rate of one daemon at the target size. */
const rates = doublings(5);
const seconds = 20;
const tokensPerRequest = 1500;

type Traffic = {bytes: number; messages: number};

const limitsOf = (count: number) => Array.from({length: count}, (_, index) => ({name: workspaceName(index), tokensPerSecond: 100_000, burstTokens: 1_000_000}));

async function startAlone(count: number): Promise<FleetTokenLimiter> {
	const limiter = createTokenLimiter({
		name: 'hw-1', incarnation: 1n, send: () => undefined, table: createMemoryTable(),
	});
	limiter.setWorkspaces(limitsOf(count));
	await limiter.start();
	return limiter;
}

/**
 * One daemon takes requests of all workspaces in turn, and another one issues
 * all its shares. Time is simulated.
 */
async function exchangeShares(requestsPerSecond: number): Promise<Traffic> {
	const clock = FakeTimers.install({toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	try {
		return await runExchange(clock, requestsPerSecond);
	} finally {
		clock.uninstall();
	}
}

async function runExchange(clock: FakeTimers.Clock, requestsPerSecond: number): Promise<Traffic> {
	const table = createMemoryTable();
	const traffic: Traffic = {bytes: 0, messages: 0};
	const limiters = new Map<string, FleetTokenLimiter>();
	const send = (from: string) => (to: string, body: PeerBody): void => {
		traffic.bytes += bodySize(body);
		traffic.messages++;
		setTimeout(() => {
			const handlers = limiters.get(to)?.handlers;
			const origin = {name: from, incarnation: 1n};
			if (body.case === 'shareRequest') {
				handlers?.shareRequest?.(origin, body.value);
			} else if (body.case === 'shareTransfer') {
				handlers?.shareTransfer?.(origin, body.value);
			}
		}, 1);
	};

	for (const name of ['issuer', 'holder']) {
		const limiter = createTokenLimiter({
			name, incarnation: 1n, send: send(name), table,
		});
		limiters.set(name, limiter);
		limiter.setWorkspaces(limitsOf(workspaces));
		limiter.setPeers([...limiters.keys()].map(peer => ({name: peer, dataCentre: 'dc-1'})));
		await limiter.start();
		await clock.tickAsync(2000);
	}

	const holder = limiters.get('holder');
	let turn = 0;
	const demand = setInterval(() => {
		turn++;
		void holder?.reserve(workspaceName((turn * 7919) % workspaces), tokensPerRequest, 500).then(result => {
			if (result.granted) {
				result.reservation.settle(tokensPerRequest / 2);
			}
		});
	}, 1000 / requestsPerSecond);
	// What starting cost is not part of the rate.
	await clock.tickAsync(5000);
	traffic.bytes = 0;
	traffic.messages = 0;
	await clock.tickAsync(seconds * 1000);
	clearInterval(demand);
	for (const limiter of limiters.values()) {
		limiter.close();
	}

	return traffic;
}

export const limitSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'reserve and settle',
		per: 'request',
		unit: 'us',
		sizes: doublings(1000),
		async measure(size) {
			const limiter = await startAlone(workspaces);
			return {
				kind: 'time',
				async work() {
					for (let index = 0; index < size; index++) {
						const result = await limiter.reserve(workspaceName(index % workspaces), 100, 0);
						if (result.granted) {
							result.reservation.settle(0);
						}
					}
				},
				after() {
					limiter.close();
				},
			};
		},
	},
	{
		role,
		cost: 'state of holder and issuer',
		per: 'workspace',
		unit: 'bytes',
		sizes: doublings(150),
		async measure(size) {
			return {
				kind: 'heap',
				async build() {
					const limiter = await startAlone(size);
					limiter.close();
					return limiter;
				},
			};
		},
	},
	{
		role,
		cost: `messages with the issuer in ${seconds} s, both ways`,
		per: 'request a second',
		unit: 'bytes',
		sizes: rates,
		async measure(size) {
			const {bytes} = await exchangeShares(size);
			return {kind: 'value', value: bytes};
		},
	},
];
