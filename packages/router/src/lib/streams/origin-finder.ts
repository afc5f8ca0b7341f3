/** Finds where a stream began that a caller takes up again, perhaps after the daemon that served it was lost. */
import {type OriginAnswer, type StreamOrigin} from './stream-origin.js';
import {type SoftwareHistory} from './software-history.js';
import {type StreamOrigins} from './stream-origins.js';

/** A question to daemons that may know a stream. */
export type OriginQuestion = {key: string; service: string};

/** Options of {@link createOriginFinder}. */
export type OriginFinderOptions = {
	origins: StreamOrigins;
	history: Pick<SoftwareHistory, 'soleSoftware'>;
	/** Daemons that may know the version of all streams of a service. */
	recordKeepers: () => readonly string[];
	/** Brings the endpoint list up to date; resolves to whether the store has confirmed it since this call. */
	confirmList: () => Promise<boolean>;
	/** Asks peers by name. Each promise resolves within a fraction of a second. */
	ask: (peers: readonly string[], question: OriginQuestion) => Array<Promise<OriginAnswer>>;
};

/** Looks for origins. */
export type OriginFinder = {
	/**
	 * Resolves to the stream's origin, or to `undefined` if it can't be known for certain. `services` are
	 * those to which its route may go.
	 */
	locate: (key: string, services: readonly string[]) => Promise<StreamOrigin | undefined>;
	/** What this daemon can say without asking other daemons. */
	answer: (question: OriginQuestion) => Promise<OriginAnswer>;
};

class NotToldError extends Error {
	override name = 'NotToldError';
}

/** The origin, unless the daemon only infers it or doesn't know. */
async function originIfTold(asked: Promise<OriginAnswer>): Promise<StreamOrigin> {
	const answer = await asked;
	if (answer.kind !== 'began') {
		throw new NotToldError('The daemon was not told of the stream.');
	}

	return answer.origin;
}

/** Creates a finder. */
export function createOriginFinder({
	origins, history, recordKeepers, confirmList, ask,
}: OriginFinderOptions): OriginFinder {
	/** The stream may have begun at a version that joined after this daemon last heard of the list. */
	const inferOrigin = async (service: string): Promise<StreamOrigin | undefined> => {
		if (history.soleSoftware(service) === undefined || !await confirmList()) {
			return undefined;
		}

		const software = history.soleSoftware(service);
		return software === undefined ? undefined : {service, software};
	};

	const askPeers = async (question: OriginQuestion): Promise<StreamOrigin | undefined> => {
		const asked = ask([...new Set([...origins.keepersOf(question.key), ...recordKeepers()])], question);
		try {
			return await Promise.any(asked.map(async answer => originIfTold(answer)));
		} catch {
			// Nobody was told of it.
		}

		for (const answer of await Promise.all(asked)) {
			if (answer.kind === 'sole' && answer.origin.service === question.service) {
				return answer.origin;
			}
		}

		return undefined;
	};

	return {
		async locate(key, services) {
			const known = origins.originOf(key);
			if (known !== undefined) {
				return known;
			}

			// A stream of a split route may have begun at another service than the one that is asked about.
			const inferred = services.length === 1 ? await inferOrigin(services[0]) : undefined;
			// This daemon may have learned of it meanwhile.
			return inferred ?? await askPeers({key, service: services.length === 1 ? services[0] : ''}) ?? origins.originOf(key);
		},
		async answer({key, service}) {
			const origin = origins.originOf(key);
			if (origin !== undefined) {
				return {kind: 'began', origin};
			}

			const inferred = await inferOrigin(service);
			return inferred === undefined ? {kind: 'unknown'} : {kind: 'sole', origin: inferred};
		},
	};
}
