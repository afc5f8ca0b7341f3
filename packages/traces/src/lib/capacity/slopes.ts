/** Every slope that docs/CAPACITY.md rests on. */
import {type SlopeDefinition} from './measure.js';
import {configurationSlopes} from './slopes-configuration.js';
import {dataPathSlopes} from './slopes-data-path.js';
import {limitSlopes} from './slopes-limits.js';
import {linkSlopes} from './slopes-links.js';
import {membershipSlopes} from './slopes-membership.js';
import {observabilitySlopes} from './slopes-observability.js';
import {peerSlopes} from './slopes-peers.js';
import {routingSlopes} from './slopes-routing.js';

export const slopeDefinitions: SlopeDefinition[] = [
	...configurationSlopes,
	...peerSlopes,
	...linkSlopes,
	...membershipSlopes,
	...limitSlopes,
	...routingSlopes,
	...dataPathSlopes,
	...observabilitySlopes,
];
