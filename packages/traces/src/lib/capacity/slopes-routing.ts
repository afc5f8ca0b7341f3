/** Slopes of placement. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createPlacer, type LearningPlacer} from 'hickorywalk/routing.js';
import {type PlacementRequest} from 'hickorywalk/gateway.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {endpointName} from './sample-fleet.js';

const role = 'placement';
const endpointSizes = doublings(750);
const prefixSizes = doublings(1024);
const mostRequests = 20_000;
const services = 10;

function seededRandom(): () => number {
	const generator = xoroshiro128plus(1);
	return () => uniformFloat64(generator);
}

function createFilled(endpoints: number): LearningPlacer {
	const placer = createPlacer({random: seededRandom()});
	placer.setEndpoints(Array.from({length: endpoints}, (_, index) => ({
		name: endpointName(index), service: `model-${index % services}`, dataCentre: `dc-${index % 23}`, usable: true,
	})));
	return placer;
}

/** A prompt of 16 pieces whose first half is shared by many. */
function requestOf(index: number): PlacementRequest {
	const pieces = Array.from({length: 16}, (_, piece) => BigInt(piece < 8 ? (index % 50) + (piece * 1000) : 1e6 + (index * 16) + piece) * 0x9E_37_79_B9_7F_4A_7C_15n % (2n ** 64n));
	return {
		service: `model-${index % services}`, workspace: 'workspace-1', version: 'v1', adapter: '', pieces, promptTokens: 16_384, maxOutputTokens: 200, excluded: new Set(),
	};
}

function serve(placer: LearningPlacer, request: PlacementRequest): void {
	const placement = placer.place(request);
	if (placement === undefined) {
		return;
	}

	placer.started(request, placement);
	placer.finished(request, placement, {
		endpoint: placement.endpoint,
		result: 'answered',
		load: {
			incarnation: 'i-1', version: 'v1', running: 1, waiting: 0, pendingPromptTokens: 0,
		},
		promptTokens: request.promptTokens,
		cachedTokens: 8192,
		outputTokens: 200,
		firstTokenMs: 100,
	});
}

export const routingSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'place, start and finish, with 12,000 endpoints',
		per: 'request',
		unit: 'us',
		sizes: doublings(400),
		measure(size) {
			const placer = createFilled(12_000);
			const requests = Array.from({length: size}, (_, index) => requestOf(index));
			return {
				kind: 'time',
				work() {
					for (const request of requests) {
						serve(placer, request);
					}
				},
			};
		},
	},
	{
		role, cost: 'state', per: 'endpoint', unit: 'bytes', sizes: endpointSizes, measure: size => ({kind: 'heap', build: () => createFilled(size)}),
	},
	{
		role,
		cost: 'remembered prefixes',
		per: 'prefix level',
		unit: 'bytes',
		sizes: prefixSizes,
		measure: size => ({
			kind: 'heap',
			build() {
				const placer = createFilled(services);
				for (let index = 0; placer.rememberedPrefixes() < size; index++) {
					if (index > mostRequests) {
						throw new Error(`The placer remembers no ${size} prefixes; choose smaller sizes.`);
					}

					serve(placer, requestOf(index));
				}

				return placer;
			},
		}),
	},
];
