/** Interfaces that the administration API depends on; the daemon provides their implementations. */
import {type z} from 'zod';
import {type ConfigurationStore} from '../configuration/configuration-store.js';
import {type InForceSummary} from '../configuration/confirmations.js';
import {type BurnReport} from '../observability/burn-report.js';
import {type UnknownOrders} from '../orders/unknown-orders.js';
import {type statusSchema} from './schemas.js';

/** Writes and reads accepted configurations; implemented by `createConfigurationStore`. */
export type ConfigurationPort = Pick<ConfigurationStore, 'listRecords' | 'load' | 'outcomeOf' | 'propose' | 'read' | 'readHead' | 'readRecord'>;

/** Summarises on which daemons a version is in force; see `summariseConfirmations`. */
export type InForcePort = (version: number) => InForceSummary;

/** The current state of the fleet, as known to this daemon. */
export type FleetStatus = z.infer<typeof statusSchema>;

/** Returns the state of VMs, endpoints, leases and limits as known to this daemon. */
export type StatusPort = () => FleetStatus | Promise<FleetStatus>;

/** Lists and settles orders whose outcome an operator has to determine; implemented by the service proxy. */
export type UnknownOrdersPort = Pick<UnknownOrders, 'listUnknownOrders' | 'settleUnknownOrder'>;

/** Creates the burn report, and its HTML page where the daemon has a renderer. */
export type BurnReportPort = {
	create: () => Promise<BurnReport>;
	renderHtml?: (report: BurnReport) => Promise<string>;
};
