/** What the administration API asks of the parts behind it; the daemon wires them. */
import {type z} from 'zod';
import {type ConfigurationStore} from '../configuration/configuration-store.js';
import {type InForceSummary} from '../configuration/confirmations.js';
import {type BurnReport} from '../observability/burn-report.js';
import {type UnknownOrders} from '../orders/unknown-orders.js';
import {type statusSchema} from './schemas.js';

/** Writes and reads accepted configurations; `createConfigurationStore` is one. */
export type ConfigurationPort = Pick<ConfigurationStore, 'listRecords' | 'load' | 'outcomeOf' | 'propose' | 'read' | 'readHead' | 'readRecord'>;

/** Tells where a version is in force; see `summariseConfirmations`. */
export type InForcePort = (version: number) => InForceSummary;

/** What this daemon knows of the fleet now. */
export type FleetStatus = z.infer<typeof statusSchema>;

/** Tells the state of VMs, endpoints, leases and limits as this daemon sees it. */
export type StatusPort = () => FleetStatus | Promise<FleetStatus>;

/** Orders whose outcome an operator has to find out; the service proxy has them. */
export type UnknownOrdersPort = Pick<UnknownOrders, 'listUnknownOrders' | 'settleUnknownOrder'>;

/** Makes the burn report, and its page where the daemon has a renderer. */
export type BurnReportPort = {
	create: () => Promise<BurnReport>;
	renderHtml?: (report: BurnReport) => Promise<string>;
};
