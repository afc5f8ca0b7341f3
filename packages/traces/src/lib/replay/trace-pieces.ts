/** Cuts the prompts of a trace into hashed pieces, as the product cuts texts. */
import {createPromptHasher} from 'hickorywalk/routing.js';
import {type TraceRequest} from './trace-format.js';

/** A request with its pieces. */
export type PreparedRequest = {
	request: TraceRequest;
	pieces: bigint[];
	promptTokens: number;
};

/** Bytes that stand for the text of one piece. */
const bytesOfName = 4;

/** The texts that a range of tokens is made of; equal ranges give equal names. */
const nameOfRange = (parts: TraceRequest['parts'], from: number, to: number): string => {
	const names: string[] = [];
	let start = 0;
	for (const [name, tokens] of parts) {
		const end = start + tokens;
		if (end > from && start < to) {
			names.push(`${name}:${Math.max(from, start) - start}:${Math.min(to, end) - start}`);
		}

		start = end;
	}

	return names.join('|');
};

const tokensOf = (parts: TraceRequest['parts']): number => {
	let tokens = 0;
	for (const [, partTokens] of parts) {
		tokens += partTokens;
	}

	return tokens;
};

/** Prepares all requests of a trace; the product's own hasher chains the pieces. */
export const preparePieces = async (requests: readonly TraceRequest[], pieceTokens: number): Promise<PreparedRequest[]> => {
	const hasher = await createPromptHasher();
	const numbers = new Map<string, number>();
	const numberOf = (name: string): number => {
		const number = numbers.get(name) ?? numbers.size;
		numbers.set(name, number);
		return number;
	};

	const prepared: PreparedRequest[] = [];
	for (const request of requests) {
		const promptTokens = tokensOf(request.parts);
		const count = Math.floor(promptTokens / pieceTokens);
		const text = new DataView(new ArrayBuffer(count * bytesOfName));
		for (let piece = 0; piece < count; piece++) {
			text.setUint32(piece * bytesOfName, numberOf(nameOfRange(request.parts, piece * pieceTokens, (piece + 1) * pieceTokens)));
		}

		const {workspace, service, version, adapter} = request;
		const identity = {
			workspace, model: service, version, adapter,
		};
		prepared.push({request, pieces: hasher.hash(identity, new Uint8Array(text.buffer), bytesOfName), promptTokens});
	}

	return prepared;
};
