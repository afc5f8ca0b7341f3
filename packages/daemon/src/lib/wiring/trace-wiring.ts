/** Records requests of a running daemon as a trace, when an operator asks for it. */
import {randomBytes} from 'node:crypto';
import {type FastifyInstance} from 'fastify';
import {createOperatorAuthorizer, RequestInvalidError} from 'hickorywalk/administration.js';
import {
	type Outcome, type Placement, type PlacementRequest, type Placer,
} from 'hickorywalk/gateway.js';
import {z} from 'zod';
import {type Parts, type TraceTap} from './parts.js';

/** Wraps a placer so that each answered request is also passed to the taps. */
export function tapPlacer(placer: Placer, taps: ReadonlySet<TraceTap>): Placer {
	const startedAt = new WeakMap<Placement, number>();
	return {
		place: placer.place,
		observe: placer.observe,
		started(request, placement) {
			startedAt.set(placement, performance.now());
			placer.started(request, placement);
		},
		finished(request: PlacementRequest, placement: Placement, outcome: Outcome) {
			placer.finished(request, placement, outcome);
			for (const tap of outcome.result === 'answered' ? taps : []) {
				tap(request, startedAt.get(placement) ?? performance.now(), outcome.outputTokens);
			}
		},
	};
}

const maxRecordingSeconds = 3600;
const querySchema = z.object({seconds: z.coerce.number().positive().max(maxRecordingSeconds)});
const msPerSecond = 1000;
const secretBytes = 32;
/** Bytes that may be buffered for a slow reader before the recording is aborted. */
const maxBufferedBytes = 8 * 1024 * 1024;
const statusOk = 200;

/** Values that a trace assumes for each endpoint, since a daemon knows neither the speed nor the memory of endpoints. */
const assumedEndpoint = {
	prefillTokensPerSecond: 10_000, decodeMsPerToken: 20, batch: 8, cachePieces: 512,
} as const;

/** Adds the route by which operators record a trace. A trace holds neither prompt text nor keys. */
export function addTraceRoute(app: FastifyInstance, parts: Parts): void {
	const gate = createOperatorAuthorizer(parts.settings.operators);
	app.get('/v1/trace', async (req, reply) => {
		gate.authorize(req.headers.authorization, 'read');
		const {data, error} = querySchema.safeParse(req.query);
		if (data === undefined) {
			throw new RequestInvalidError(error.issues.map(({path, message}) => ({path: path.join('.'), message})));
		}

		const {createTraceRecorder} = await import('@hickorywalk/traces');
		void reply.hijack();
		const write = (line: unknown) => {
			reply.raw.write(`${JSON.stringify(line)}\n`);
			if (reply.raw.writableLength > maxBufferedBytes) {
				reply.raw.destroy();
			}
		};

		reply.raw.writeHead(statusOk, {'content-type': 'application/x-ndjson'});
		write(createTraceHeader(parts));
		const recorder = createTraceRecorder({pieceTokens: pieceTokensOf(parts), secret: randomBytes(secretBytes), write});
		parts.traceTaps.add(recorder.record);
		const end = () => {
			clearTimeout(timer);
			parts.traceTaps.delete(recorder.record);
			reply.raw.end();
		};

		const timer = setTimeout(end, data.seconds * msPerSecond);
		reply.raw.on('close', end);
		return reply;
	});
}

function pieceTokensOf({configuration}: Parts): number {
	for (const service of configuration()?.accepted.document.services ?? []) {
		if (service.kind === 'model') {
			return service.pieceTokens;
		}
	}

	return 1024;
}

function createTraceHeader(parts: Parts) {
	const endpoints = parts.configuration()?.accepted.document.endpoints ?? [];
	return {
		kind: 'header',
		layout: 1,
		name: `recorded-${parts.settings.name}`,
		about: 'Recorded from a serving daemon. Speeds and cache sizes of endpoints are assumed: set them before you trust a replay.',
		seed: 1,
		routers: 1,
		pieceTokens: pieceTokensOf(parts),
		endpoints: endpoints
			.filter(({service}) => parts.configuration()?.service(service)?.kind === 'model')
			.map(({name, service, dataCentre}) => ({
				name, service, dataCentre, ...assumedEndpoint,
			})),
		outcomes: {},
	};
}
