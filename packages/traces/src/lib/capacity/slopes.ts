/** Every slope that docs/CAPACITY.md rests on. */
import {type SlopeDefinition} from './measure.js';
import {configurationSlopes} from './slopes-configuration.js';
import {dataPathSlopes} from './slopes-data-path.js';
import {observabilitySlopes} from './slopes-observability.js';
import {peerSlopes} from './slopes-peers.js';

export const slopeDefinitions: SlopeDefinition[] = [...configurationSlopes, ...peerSlopes, ...dataPathSlopes, ...observabilitySlopes];
