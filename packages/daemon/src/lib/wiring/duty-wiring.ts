/** Wires the duties that one daemon at a time holds by a lease: rollouts, deletion of expired orders, burn metrics. */
import {createLeaseHolder, type LeaseHolder} from 'hickorywalk/leases.js';
import {createBurnReport, reportBurnMetrics} from 'hickorywalk/observability.js';
import {createRolloutRunner, type RolloutRunner} from 'hickorywalk/rollouts.js';
import {liveNames} from './fleet-wiring.js';
import {type Parts, type DutyRunner} from './parts.js';

const rolloutTickMs = 1000;
const orderSweepMs = 60_000;
const burnReportMs = 300_000;
const sweepDuty = 'orders-sweep';
const burnDuty = 'burn-metrics';

const rolloutDuty = (service: string) => `rollout/${service}`;

export function wireLeases(parts: Parts): LeaseHolder {
	const {settings, incarnation, platform, log} = parts;
	return createLeaseHolder({
		name: settings.name,
		incarnation,
		table: platform.table,
		candidates: () => liveNames(parts),
		leaseMs: settings.duties.leaseMs,
		marginMs: settings.duties.marginMs,
		onError(err) {
			log.warn('Access to the lease table failed; it is retried.', {err});
		},
	});
}

/** Runs the rollout of each model service, deletes expired orders and reports burn metrics, each only while this daemon holds its lease. */
export function wireDutyRunner(parts: Parts): DutyRunner {
	const {leases, serviceProxy, log} = parts;
	const runners = new Map<string, RolloutRunner>();
	let timer: NodeJS.Timeout | undefined;
	let sweepTimer: NodeJS.Timeout | undefined;
	let burnTimer: NodeJS.Timeout | undefined;

	const runAll = () => {
		for (const service of parts.configuration()?.accepted.document.services ?? []) {
			if (service.kind === 'model') {
				void runOne(service.name);
			}
		}
	};

	const runOne = async (service: string) => {
		let runner = runners.get(service);
		if (runner === undefined) {
			runner = createRunner(parts, service);
			runners.set(service, runner);
			leases.contend(rolloutDuty(service));
		}

		try {
			await runner.tick();
		} catch (error) {
			log.warn('A step of a rollout failed; it is retried.', {service, err: error});
		}
	};

	const sweep = async () => {
		if (leases.held(sweepDuty) === undefined) {
			return;
		}

		try {
			await serviceProxy.sweepExpiredOrders();
		} catch (error) {
			log.warn('Expired orders could not be deleted; the deletion is retried.', {err: error});
		}
	};

	const reportBurn = async () => {
		const accepted = parts.follower.current();
		if (leases.held(burnDuty) === undefined || accepted === undefined) {
			return;
		}

		try {
			reportBurnMetrics(await createBurnReport({objects: parts.platform.objects, ...accepted, log}), parts.metrics);
		} catch (error) {
			log.warn('The burn metrics could not be computed; the computation is retried.', {err: error});
		}
	};

	return {
		start() {
			leases.contend(sweepDuty);
			leases.contend(burnDuty);
			burnTimer ??= setInterval(() => {
				void reportBurn();
			}, burnReportMs);
			timer ??= setInterval(runAll, rolloutTickMs);
			sweepTimer ??= setInterval(() => {
				void sweep();
			}, orderSweepMs);
		},
		stop() {
			clearInterval(timer);
			clearInterval(sweepTimer);
			clearInterval(burnTimer);
		},
	};
}

function createRunner(parts: Parts, name: string): RolloutRunner {
	const {settings, leases, platform, engineControl, log, configuration} = parts;
	return createRolloutRunner({
		service() {
			const service = configuration()?.service(name);
			return service?.kind === 'model' ? service : undefined;
		},
		endpoints: () => configuration()?.endpointsOf(name) ?? [],
		held: () => leases.held(rolloutDuty(name)),
		control: engineControl,
		table: platform.table,
		weights: platform.weights,
		loadTimeoutMs: settings.duties.loadTimeoutMs,
		lingerMs: settings.duties.lingerMs,
		onEvent(text, endpoint) {
			log.info(text, {service: name, ...(endpoint !== undefined && {endpoint})});
		},
	});
}
