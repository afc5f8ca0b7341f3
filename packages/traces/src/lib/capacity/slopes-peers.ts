/** Slopes of messages between daemons, codec alone; HTTP/2 adds its frames. */
import {
	create, fromBinary, type MessageInitShape, toBinary,
} from '@bufbuild/protobuf';
import {BatchSchema, type PeerMessageSchema} from 'hickorywalk/links.js';
import {doublings, type Measurement, type SlopeDefinition} from './measure.js';

type Body = MessageInitShape<typeof PeerMessageSchema>['body'];

const member = (index: number) => ({
	name: `hw-${index}`, incarnation: 1_767_600_000_000n, beat: BigInt(index), phase: 2, configurationVersion: 13_000n, dataCentre: `dc-${index % 23}`, peerAddress: `10.0.0.${index % 250}:7400`,
});

const bodies: Record<string, (index: number) => Body> = {
	'heartbeat of one': index => ({case: 'heartbeat', value: {self: member(index), news: []}}),
	'share wish of one workspace': index => ({
		case: 'shareRequest', value: {
			wishes: [{
				workspace: `workspace-${index}`, generation: 3, sequence: 41, rate: 100, burst: 1000, returned: 200, wantedRate: 150, wantedTokens: 3000,
			}],
		},
	}),
};

const sizes = doublings(16);

function batchOf(bodyOf: (index: number) => Body, size: number): Uint8Array<ArrayBuffer> {
	const messages = Array.from({length: size}, (_, index) => ({body: bodyOf(index)}));
	return toBinary(BatchSchema, create(BatchSchema, {
		from: 'hw-1', incarnation: 1n, sequence: 1n, messages,
	}));
}

function encodeAndDecode(bodyOf: (index: number) => Body, size: number): Measurement {
	return {
		kind: 'time',
		work() {
			fromBinary(BatchSchema, batchOf(bodyOf, size));
		},
	};
}

export const peerSlopes: SlopeDefinition[] = Object.entries(bodies).flatMap(([name, bodyOf]) => [
	{
		role: 'peer messages', cost: 'encode and decode', per: name, unit: 'us', sizes, measure: size => encodeAndDecode(bodyOf, size),
	},
	{
		role: 'peer messages', cost: 'encoded', per: name, unit: 'bytes', sizes, measure: size => ({kind: 'value', value: batchOf(bodyOf, size).length}),
	},
]);
