/** Splits the prompts of a trace into hashed pieces, as the product splits texts. */
import {createPromptHasher} from 'hickorywalk/routing.js';
import {type TraceRequest} from './trace-format.js';

/** A request with its pieces. */
export type PreparedRequest = {
	request: TraceRequest;
	pieces: bigint[];
	promptTokens: number;
};

/** Bytes that represent the text of one piece. */
const bytesPerPiece = 4;

/** Names the texts in a range of tokens; ranges of equal text get equal names. */
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

/** Prepares all requests of a trace; the product's own hasher computes the chained hashes of the pieces. */
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
		const text = new DataView(new ArrayBuffer(count * bytesPerPiece));
		for (let piece = 0; piece < count; piece++) {
			text.setUint32(piece * bytesPerPiece, numberOf(nameOfRange(request.parts, piece * pieceTokens, (piece + 1) * pieceTokens)));
		}

		const {workspace, service, version, adapter} = request;
		const identity = {
			workspace, model: service, version, adapter,
		};
		prepared.push({request, pieces: hasher.hash(identity, new Uint8Array(text.buffer), bytesPerPiece), promptTokens});
	}

	return prepared;
};
