/**
 * `npm run bench -- limits`: sends the same requests to a fleet of limiters and
 * to one global bucket, in one process on a fake clock. Only the limiters' real
 * code runs, over simulated links that encode and delay messages but lose none.
 */
import process from 'node:process';
import {create, toBinary} from '@bufbuild/protobuf';
import FakeTimers from '@sinonjs/fake-timers';
import {createTokenLimiter, type FleetTokenLimiter} from 'hickorywalk/limits.js';
import {BatchSchema, type PeerBody} from 'hickorywalk/links.js';
import {createCountingTable} from './counting-table.js';
import {createExcessMeter, createGlobalBucket} from './global-bucket.js';
import {createLimitsTrace, type LimitsLoad, type LimitsRequest} from './limits-trace.js';

const loads: Record<string, LimitsLoad> = {
	9: {
		daemons: 9, workspaces: 5, regions: 1, requestsPerSecond: 700, warmUpSeconds: 10, seconds: 60,
	},
	650: {
		daemons: 650, workspaces: 1200, regions: 6, requestsPerSecond: 51_000, warmUpSeconds: 5, seconds: 10,
	},
};

const msPerSecond = 1000;
const nsPerMs = 1_000_000;
const longestWaitMs = 500;
const withinRegionMs = 1;
const betweenRegionsMs = 15;
const microtaskTurns = 8;

type Peer = {name: string; region: number; limiter: FleetTokenLimiter};

/** Runs the fleet sizes given as arguments, by default all. `--seed N` selects another trace; `--seconds N` and `--warm-up N` override the durations. */
export async function runLimitsBench(args: string[]): Promise<void> {
	const numberAfter = (flag: string, otherwise: number) => args.includes(flag) ? Number(args[args.indexOf(flag) + 1]) : otherwise;
	const seed = numberAfter('--seed', 1);
	const sizes = Object.keys(loads).filter(size => args.includes(size));
	for (const size of sizes.length > 0 ? sizes : Object.keys(loads)) {
		const load = loads[size];
		const seconds = numberAfter('--seconds', load.seconds);
		const warmUpSeconds = numberAfter('--warm-up', load.warmUpSeconds);
		await runLoad({...load, seconds, warmUpSeconds}, seed);
	}
}

/** Runs tasks at given milliseconds of the fake clock. */
function createAgenda() {
	const tasks = new Map<number, Array<() => void>>();
	return {
		at(ms: number, task: () => void): void {
			const list = tasks.get(ms);
			if (list) {
				list.push(task);
			} else {
				tasks.set(ms, [task]);
			}
		},
		run(ms: number): void {
			for (const task of tasks.get(ms) ?? []) {
				task();
			}

			tasks.delete(ms);
		},
	};
}

type Agenda = ReturnType<typeof createAgenda>;

function createFleet(load: LimitsLoad, agenda: Agenda, now: () => number) {
	const table = createCountingTable();
	const peers = new Map<string, Peer>();
	const cost = {messages: 0, bytes: 0, nanoseconds: 0n};

	/** Adds the time that limiter code takes to the cost; the simulation around it isn't counted. */
	function timed<Result>(run: () => Result): Result {
		const start = process.hrtime.bigint();
		const result = run();
		cost.nanoseconds += process.hrtime.bigint() - start;
		return result;
	}

	function post(from: Peer, to: string, body: PeerBody): void {
		const target = peers.get(to);
		if (!target) {
			return;
		}

		const origin = {name: from.name, incarnation: 1n};
		const batch = create(BatchSchema, {
			from: from.name, incarnation: 1n, sequence: 1000n, messages: [{body}],
		});
		cost.messages += 1;
		cost.bytes += toBinary(BatchSchema, batch).length;
		const delay = from.region === target.region ? withinRegionMs : betweenRegionsMs;
		agenda.at(now() + delay, () => {
			timed(() => {
				if (body.case === 'shareRequest') {
					target.limiter.handlers.shareRequest?.(origin, body.value);
				} else if (body.case === 'shareTransfer') {
					target.limiter.handlers.shareTransfer?.(origin, body.value);
				}
			});
		});
	}

	for (let index = 0; index < load.daemons; index += 1) {
		const peer: Peer = {
			name: `entry-${index}`,
			region: index % load.regions,
			limiter: createTokenLimiter({
				name: `entry-${index}`,
				incarnation: 1n,
				table,
				run(callback) {
					timed(callback);
				},
				send(to, body) {
					post(peer, to, body);
				},
			}),
		};
		peers.set(peer.name, peer);
	}

	return {
		table, peers: [...peers.values()], cost, timed,
	};
}

async function runLoad(load: LimitsLoad, seed: number): Promise<void> {
	const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date']});
	try {
		await measure(load, seed, clock);
	} finally {
		clock.uninstall();
	}
}

async function measure(load: LimitsLoad, seed: number, clock: FakeTimers.Clock): Promise<void> {
	const agenda = createAgenda();
	const trace = createLimitsTrace(load, seed);
	const now = () => Math.round(performance.now());
	const fleet = createFleet(load, agenda, now);
	const buckets = trace.limits.map(limit => createGlobalBucket(limit));
	const meters = trace.limits.map(limit => createExcessMeter(limit));
	const names = fleet.peers.map(peer => ({name: peer.name, dataCentre: `region-${peer.region}`}));
	const counts = {
		requests: 0, refusals: 0, oracleRefusals: 0, wrongful: 0, wrongfulInside: 0, inside: 0, granted: 0, oracleGranted: 0, waitedMs: 0,
	};
	let measuring = false;

	function handle(request: LimitsRequest): void {
		const counted = measuring;
		const limit = trace.limits[request.workspace];
		const bucket = buckets[request.workspace];
		const oracleGrants = bucket.reserve(request.tokens, longestWaitMs, () => {
			agenda.at(now() + request.durationMs, () => {
				bucket.giveBack(request.tokens - request.usedTokens);
			});
		});
		void (async () => {
			const askedAt = now();
			const result = await fleet.timed(async () => fleet.peers[request.daemon].limiter.reserve(limit.name, request.tokens, longestWaitMs));
			if (result.granted) {
				meters[request.workspace].charge(request.tokens);
				agenda.at(now() + request.durationMs, () => {
					meters[request.workspace].charge(request.usedTokens - request.tokens);
					fleet.timed(() => {
						result.reservation.settle(request.usedTokens);
					});
				});
			}

			if (counted) {
				count(request, result.granted, oracleGrants);
				counts.waitedMs += result.granted ? now() - askedAt : 0;
			}
		})();
	}

	function count(request: LimitsRequest, granted: boolean, oracleGrants: boolean): void {
		const isInside = trace.demandFractions[request.workspace] <= 1;
		const isWrongful = !granted && oracleGrants;
		counts.requests += 1;
		counts.refusals += granted ? 0 : 1;
		counts.oracleRefusals += oracleGrants ? 0 : 1;
		counts.wrongful += isWrongful ? 1 : 0;
		counts.inside += isInside ? 1 : 0;
		counts.wrongfulInside += isWrongful && isInside ? 1 : 0;
		counts.granted += granted ? request.tokens : 0;
		counts.oracleGranted += oracleGrants ? request.tokens : 0;
	}

	/** Advances the fake clock by one millisecond. */
	async function step(withRequests: boolean): Promise<void> {
		clock.tick(1);
		agenda.run(now());
		for (const request of withRequests ? trace.next() : []) {
			handle(request);
		}

		for (let turn = 0; turn < microtaskTurns; turn += 1) {
			await Promise.resolve();
		}
	}

	for (const peer of fleet.peers) {
		peer.limiter.setPeers(names);
		peer.limiter.setWorkspaces(trace.limits);
		void peer.limiter.start();
	}

	let readyMs = 0;
	while (!fleet.peers.every(peer => peer.limiter.isReady())) {
		await step(false);
		readyMs = now();
	}

	for (let ms = 0; ms < load.warmUpSeconds * msPerSecond; ms += 1) {
		await step(true);
	}

	measuring = true;
	const before = {...fleet.cost, writes: fleet.table.writes, reads: fleet.table.reads};
	const startWrites = before.writes;
	for (let ms = 0; ms < load.seconds * msPerSecond; ms += 1) {
		await step(true);
	}

	const spent = {...fleet.cost, writes: fleet.table.writes, reads: fleet.table.reads};
	measuring = false;
	for (let ms = 0; ms < longestWaitMs * 2; ms += 1) {
		await step(false);
	}

	const perDaemon = load.seconds * load.daemons;
	const round = (value: number, digits = 3) => Number(value.toFixed(digits));
	console.log(JSON.stringify({
		bench: 'limits',
		daemons: load.daemons,
		workspaces: load.workspaces,
		seed,
		requests: counts.requests,
		excess_tokens: round(Math.max(...meters.map(meter => meter.excess())), 1),
		wrongful_refusals: counts.wrongful,
		wrongful_refusals_inside_rate: counts.wrongfulInside,
		requests_inside_rate: counts.inside,
		refusals: counts.refusals,
		oracle_refusals: counts.oracleRefusals,
		granted_of_oracle: round(counts.granted / counts.oracleGranted, 4),
		mean_wait_ms: round(counts.waitedMs / Math.max(1, counts.requests - counts.refusals)),
		table_writes_per_s: round((spent.writes - before.writes) / load.seconds),
		table_reads_per_s: round((spent.reads - before.reads) / load.seconds),
		table_writes_at_start: startWrites,
		ready_ms: readyMs,
		bytes_per_daemon_per_s: round((spent.bytes - before.bytes) / perDaemon, 1),
		messages_per_daemon_per_s: round((spent.messages - before.messages) / perDaemon, 2),
		cpu_share: round(Number(spent.nanoseconds - before.nanoseconds) / nsPerMs / msPerSecond / perDaemon, 5),
	}));
	for (const peer of fleet.peers) {
		peer.limiter.close();
	}
}
