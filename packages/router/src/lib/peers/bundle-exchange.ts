/**
 * Exchanges reports through collectors, for fleets in which one round of reports doesn't reach all
 * peers. In each interval a member sends its report to the collector of its data centre, the
 * collectors exchange the reports of their members, and each sends its members one bundle with all.
 *
 * A daemon collects for whoever sends it reports, so daemons that choose different collectors
 * still hear each other. Peers whose reports don't arrive in bundles are not covered; the rounds
 * of single reports go to these.
 */
import {type Buffer} from 'node:buffer';
import {createLineBudget} from '../observability/line-budget.js';
import {type Log} from '../observability/log.js';
import {orderedBy} from '../routing/rendezvous.js';
import {
	type Bundle, type BundleEntry, type BundleStep, decodeBundle, encodeBundle, markForwarded,
} from './bundle-codec.js';
import {
	bundleIntervalMs, distributionDelayMs, exchangeDelayMs, untilNextInterval,
} from './bundle-schedule.js';
import {
	type CollectorCandidate, collectorCount, collectorFor, rankCollectors,
} from './collector-choice.js';
import {createCollectorWatch} from './collector-watch.js';

/** A peer that understands bundles. */
export type BundlePeer = CollectorCandidate & {address: string; dataCentre: string};

/** Options of {@link createBundleExchange}. */
export type BundleExchangeOptions = BundlePeer & {
	/** Interval between rounds while each reaches all peers, in milliseconds. */
	everyMs: number;
	/** A clock in milliseconds that all daemons share; `undefined` while it is unknown. */
	sharedClockMs: () => number | undefined;
	/** Number of daemons, including this one. */
	fleetSize: () => number;
	/** Whether the fleet is large enough for bundles. */
	isNeeded: () => boolean;
	/** Peers that understand bundles and are not silent. */
	peers: () => BundlePeer[];
	/** Composes this daemon's next report. */
	ownEntry: () => BundleEntry;
	/** Called for each report that is newer than the one before; returns whether it is valid. `heardAt` is when it was sent, as far as is known. */
	onEntry: (entry: BundleEntry, heardAt: number) => boolean;
	/** Whether a report of this daemon is held. */
	isKnown: (daemon: string) => boolean;
	/** Called at the begin of each interval. */
	onInterval: () => void;
	send: (content: Buffer, address: string) => void;
	log: Log;
};

/** The exchange of bundles. */
export type BundleExchange = {
	/** Starts if the fleet is large enough and the shared clock is known. */
	startIfNeeded: () => void;
	/** Whether the timer of the intervals runs. */
	isRunning: () => boolean;
	/** Processes a datagram that is a bundle. */
	receive: (content: Buffer) => void;
	/** Whether the reports of this peer arrived in bundles at this time (`performance.now()`), now by default. */
	isCovered: (daemon: string, at?: number) => boolean;
	/** Whether bundles arrive. */
	isReceiving: () => boolean;
	intervalMs: () => number;
	/** Drops a peer that is gone. */
	forget: (daemon: string) => void;
	close: () => void;
};

/** Latest report of one daemon. */
type Pooled = {
	entry: BundleEntry;
	heardAt: number;
	/** Whether the daemon sent it here itself. */
	isMember: boolean;
	isExchanged: boolean;
	isDistributed: boolean;
};

type Sender = {name: string; address: string; dataCentre: string; heardAt: number};

/** Intervals without a bundle after which reports are sent directly; a fraction more than three, since bundles arrive with jitter. */
const coverIntervals = 3.25;

/** Intervals without a report after which a daemon is no longer a member, and without a bundle after which a collector is no longer sent the bundles of others. */
const senderIntervals = 2.75;

/** Collectors of another data centre to which a bundle is sent: two while daemons disagree on who collects. */
const maxTargets = 2;

/** Log lines for invalid bundles. */
const faultLinesPerSecond = 2;

/** Creates the exchange of one daemon; it sends nothing until started. */
export function createBundleExchange(options: BundleExchangeOptions): BundleExchange {
	const {name, address, dataCentre, log} = options;
	const pool = new Map<string, Pooled>();
	/** When a report of each daemon last arrived in a bundle. */
	const bundledAt = new Map<string, number>();
	/** Daemons that send their reports here. */
	const members = new Map<string, Sender>();
	/** Collectors that send the reports of their members here. */
	const collectors = new Map<string, Sender>();
	const watch = createCollectorWatch({name, log});
	const lineBudget = createLineBudget({perSecond: {other: faultLinesPerSecond}});
	let timer: NodeJS.Timeout | undefined;
	let stepTimers: NodeJS.Timeout[] = [];
	let receivedAt = Number.NEGATIVE_INFINITY;
	let beganAt = Number.NEGATIVE_INFINITY;
	/** Collector of this daemon in the current interval. */
	let collector = name;

	const intervalMs = (): number => bundleIntervalMs(options.everyMs, options.fleetSize());

	const isWithin = (at: number, intervals: number): boolean => performance.now() - at <= intervalMs() * intervals;

	const isCollecting = (): boolean => collector === name || members.size > 0;

	const dropExpired = (): void => {
		for (const senders of [members, collectors]) {
			for (const [daemon, {heardAt}] of senders) {
				if (!isWithin(heardAt, senderIntervals)) {
					senders.delete(daemon);
				}
			}
		}

		for (const [daemon, {heardAt}] of pool) {
			if (!isWithin(heardAt, coverIntervals)) {
				pool.delete(daemon);
			}
		}
	};

	const sendBundle = (step: BundleStep, entries: BundleEntry[], addresses: readonly string[]): void => {
		if (entries.length === 0 || addresses.length === 0) {
			return;
		}

		for (const content of encodeBundle({
			step, sender: name, address, dataCentre, entries,
		})) {
			for (const to of addresses) {
				options.send(content, to);
			}
		}
	};

	const entriesOf = (pooled: readonly Pooled[]): BundleEntry[] => {
		const now = performance.now();
		return pooled.map(({entry, heardAt}) => ({...entry, ageMs: now - heardAt}));
	};

	/** Addresses of the collectors to which bundles for this data centre are sent. */
	const collectorsOf = (target: string, peers: readonly BundlePeer[]): string[] => {
		const candidates = peers.filter(peer => peer.dataCentre === target);
		const recent = [...collectors.values()].filter(sender => sender.dataCentre === target);
		if (target !== dataCentre) {
			const known = recent.length > 0 ? recent : candidates;
			const order = recent.length > 0 ? orderedBy(name, recent.map(sender => sender.name)) : rankCollectors(target, candidates);
			return order.slice(0, maxTargets).map(target => known.find(sender => sender.name === target)!.address);
		}

		// All collectors of one data centre exchange with each other.
		const all = [...candidates, {
			name, address, dataCentre, weight: options.weight,
		}];
		const chosen = new Set(rankCollectors(target, all).slice(0, collectorCount(all.length)));
		const addresses = new Map(recent.map(sender => [sender.name, sender.address]));
		for (const peer of candidates) {
			if (chosen.has(peer.name) || peer.name === collector) {
				addresses.set(peer.name, peer.address);
			}
		}

		addresses.delete(name);
		return [...addresses.values()];
	};

	const exchange = (): void => {
		const peers = options.peers();
		const own = [...pool.values()].filter(pooled => pooled.isMember && !pooled.isExchanged);
		const targets = new Set([dataCentre, ...peers.map(peer => peer.dataCentre)]);
		for (const pooled of own) {
			pooled.isExchanged = true;
		}

		sendBundle('exchange', entriesOf(own), [...targets].flatMap(target => collectorsOf(target, peers)));
	};

	const distribute = (): void => {
		const news = [...pool.values()].filter(pooled => !pooled.isDistributed);
		for (const pooled of news) {
			pooled.isDistributed = true;
		}

		sendBundle('distribution', entriesOf(news), Array.from(members.values(), member => member.address));
	};

	/** Schedules the steps of a collector in this interval, unless they are past. */
	const scheduleSteps = (): void => {
		const elapsedMs = performance.now() - beganAt;
		if (stepTimers.length === 0 && elapsedMs < exchangeDelayMs) {
			stepTimers = [setTimeout(exchange, exchangeDelayMs - elapsedMs), setTimeout(distribute, distributionDelayMs - elapsedMs)];
		}
	};

	const cancelSteps = (): void => {
		for (const step of stepTimers) {
			clearTimeout(step);
		}

		stepTimers = [];
	};

	const beginInterval = (): void => {
		timer = undefined;
		beganAt = performance.now();
		cancelSteps();
		dropExpired();
		schedule();
		options.onInterval();
		const peers = options.peers();
		if (timer === undefined || peers.length === 0) {
			return;
		}

		const candidates = peers.filter(peer => peer.dataCentre === dataCentre);
		collector = watch.next(
			isSuspected => collectorFor(name, dataCentre, [options, ...candidates.filter(peer => !isSuspected(peer.name))]) ?? name,
			intervalMs(),
		);
		const entry = options.ownEntry();
		pool.set(name, {
			entry, heardAt: beganAt, isMember: true, isExchanged: false, isDistributed: false,
		});
		sendBundle('collection', [entry], candidates.filter(peer => peer.name === collector).map(peer => peer.address));
		if (isCollecting()) {
			scheduleSteps();
		}
	};

	const schedule = (): void => {
		const clockMs = options.isNeeded() ? options.sharedClockMs() : undefined;
		if (clockMs !== undefined) {
			timer = setTimeout(beginInterval, untilNextInterval(clockMs, intervalMs()));
		}
	};

	const isOlder = (entry: BundleEntry, known: BundleEntry): boolean =>
		entry.incarnation < known.incarnation || (entry.incarnation === known.incarnation && entry.number <= known.number);

	const accept = (entry: BundleEntry, isMember: boolean): void => {
		const known = pool.get(entry.daemon);
		if (entry.daemon === name || (known !== undefined && isOlder(entry, known.entry))) {
			return;
		}

		const now = performance.now();
		const heardAt = now - entry.ageMs;
		if (options.onEntry(entry, heardAt)) {
			bundledAt.set(entry.daemon, now);
			pool.set(entry.daemon, {
				entry, heardAt, isMember, isExchanged: false, isDistributed: false,
			});
		}
	};

	/** Daemons need not agree on who collects: whoever gets a bundle from another data centre passes it on within its own. */
	const forward = (content: Buffer): void => {
		const forwarded = markForwarded(content);
		for (const to of collectorsOf(dataCentre, options.peers())) {
			options.send(forwarded, to);
		}
	};

	const receiveBundle = (bundle: Bundle, content: Buffer): void => {
		const {step, sender} = bundle;
		const now = performance.now();
		const from: Sender = {
			name: sender, address: bundle.address, dataCentre: bundle.dataCentre, heardAt: now,
		};
		receivedAt = now;
		for (const entry of bundle.entries) {
			accept(entry, step === 'collection');
		}

		// Daemons send their own reports with those of others.
		const isKnown = options.isKnown(sender);
		switch (step) {
			case 'collection': {
				if (isKnown) {
					members.set(sender, from);
					scheduleSteps();
				}

				break;
			}

			case 'exchange': {
				// Where only a forwarded bundle arrives, the path to its sender may be lost.
				if (!bundle.isForwarded) {
					if (isKnown) {
						collectors.set(sender, from);
					}

					if (from.dataCentre !== dataCentre) {
						forward(content);
					}
				}

				break;
			}

			case 'distribution': {
				watch.heard(sender);
				break;
			}
		}
	};

	return {
		startIfNeeded() {
			if (timer === undefined) {
				schedule();
			}
		},
		isRunning: () => timer !== undefined,
		receive(content) {
			let bundle: Bundle;
			try {
				bundle = decodeBundle(content);
			} catch (error) {
				if (lineBudget.take('invalid')) {
					log.warn('Datagram is not a valid bundle and is dropped.', {bytes: content.length, err: error});
				}

				return;
			}

			// A daemon whose fleet seems small to it has no steps to take, but the reports are as good.
			if (bundle.sender !== name) {
				receiveBundle(bundle, content);
			}
		},
		isCovered: (daemon, at = performance.now()) => at - (bundledAt.get(daemon) ?? Number.NEGATIVE_INFINITY) <= intervalMs() * coverIntervals,
		isReceiving: () => isWithin(receivedAt, coverIntervals),
		intervalMs,
		forget(daemon) {
			pool.delete(daemon);
			bundledAt.delete(daemon);
			members.delete(daemon);
			collectors.delete(daemon);
		},
		close() {
			clearTimeout(timer);
			cancelSteps();
		},
	};
}
