/** Starts and stops the entry daemon. */
import process from 'node:process';
import {type BootSettings, readinessPath} from '@hickorywalk/platform';
import {
	type BindAddress, createMetricsServer, createReadinessServer, listenServer, serveMetrics,
} from 'hickorywalk/forwarding.js';
import {type Log} from 'hickorywalk/observability.js';
import {createEntryParts} from './entry-parts.js';
import {stopDaemon} from './stop-daemon.js';
import {wireRestore} from './wiring/restore-wiring.js';

/** A running daemon. */
export type EntryDaemon = {
	/** Stops without aborting requests in flight; resolves when they have ended, or when the platform's stop timeout is near. */
	stop: () => Promise<void>;
};

/** Interval of reporting dropped log lines, in milliseconds. */
const droppedLinesCheckMs = 5000;

/** Options from the command line. */
export type EntryOptions = {
	/** Port at which metrics are served, in addition to the readiness address. */
	metricsPort?: number | undefined;
	/** Number of exceptions that nothing has caught. */
	uncaughtExceptions?: () => number;
};

/** Starts the daemon. */
export async function startEntryDaemon(settings: BootSettings, {metricsPort, uncaughtExceptions = () => 0}: EntryOptions = {}): Promise<EntryDaemon> {
	const {cradle: parts} = createEntryParts(settings);
	const {
		state, log, view, server, operatorFeed, endpointFeed, metrics, logLineBudget,
	} = parts;
	log.info('Daemon starts.', {incarnation: parts.incarnation});

	let isListening = false;
	const isReady = (): boolean => isListening && !state.isStopping && operatorFeed.newestChange() > 0 && endpointFeed.newestChange() > 0 && parts.documentGuard.current() !== undefined;
	const readiness = createReadinessServer(isReady, [readinessPath], parts.serverLimiters.readiness, log);
	serveMetrics(readiness, metrics.text);
	metrics.registerGauges({
		requestsInFlight: parts.forwarder.inFlight,
		livePeers: () => parts.peers.live().length,
		lostPaths: parts.paths.lostCount,
		bufferedBytes: parts.bufferAccount.bytes,
		bufferAborts: parts.bufferAccount.abortedCount,
		requestHeapBytes: parts.requestHeap.bytes,
		requestHeapLimitBytes: () => parts.requestHeap.maxBytes,
		memoryLimitBytes: () => settings.memoryBytes,
		heapHeldBytes: parts.heapWatch.heldBytes,
		waitingConnections: parts.turns.waiting,
		waiting: parts.admission.waiting,
		retriesInWindow: parts.retries.inWindow,
		retryPart: parts.retryPart.units,
		retryPartHolders: parts.retryPart.holders,
		enginesWaiting: () => parts.weightsRollout.counts().waiting,
		enginesChanging: () => parts.weightsRollout.counts().changing,
		uncaughtExceptions,
		documentVersion: () => parts.documentGuard.current()?.document.version ?? 0,
		tableAgesMs: () => ({operator: operatorFeed.ageMs(), endpoints: endpointFeed.ageMs()}),
	});
	view.onDocument(({document}) => {
		server.setLimits(document.limits);
	});
	process.once('exit', parts.forwarder.openReplies.reset);
	await listenServer(readiness, settings.readiness, {log});
	await parts.relayServer.listen({host: settings.peerPorts.host, port: settings.peerPorts.first});
	await server.listen(settings.callers);
	// Peers relay requests to a daemon once they hear from it.
	await parts.peers.start();
	parts.fleetKey.refresh();
	parts.directory.start();
	parts.retryPart.start();
	parts.refusalRows.start();
	parts.softwareRecord.start();
	parts.streamRows.start();
	wireRestore(parts);
	void parts.leases.start();
	const droppedLinesTimer = setInterval(() => {
		const count = logLineBudget.takeDroppedCount();
		if (count > 0) {
			metrics.logLinesDropped(count);
			log.warn('Log lines were dropped.', {count});
		}
	}, droppedLinesCheckMs);
	log.info('Daemon listens.', {ms: Math.round(performance.now())});
	isListening = true;
	if (metricsPort !== undefined) {
		void listenForMetrics(createMetricsServer(metrics.text, parts.serverLimiters.metrics, log), {host: settings.peerPorts.host, port: metricsPort}, log);
	}

	return {
		async stop() {
			clearInterval(droppedLinesTimer);
			await stopDaemon(parts);
		},
	};
}

/** Requests are served whether or not the port is available. */
async function listenForMetrics(server: ReturnType<typeof createMetricsServer>, address: BindAddress, log: Log): Promise<void> {
	try {
		await listenServer(server, address, {log, giveUpMs: Number.POSITIVE_INFINITY});
	} catch (error) {
		log.warn('Metrics port could not be opened.', {err: error});
	}
}
