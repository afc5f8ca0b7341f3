/** How one request reaches one endpoint: interfaces between decisions and sockets. */
import {type Endpoint} from '../configuration/document.js';
import {type FailureClass} from './failure-classes.js';

/** An endpoint's name, and where it listens as a URL. */
export type EndpointAddress = Pick<Endpoint, 'name' | 'address'>;

/** Status and headers of an answer. */
export type AnswerHead = {
	status: number;
	/** Flat list of names and values, as they came. */
	headers: readonly string[];
};

/** A body to send: the whole of it, or a stream that opens for this attempt. */
export type OutgoingBody
	= | {kind: 'whole'; content: Uint8Array}
		| {kind: 'stream'; length: number | undefined; open: () => AsyncIterable<Uint8Array>};

/** One request to one endpoint. */
export type OutgoingRequest = {
	endpoint: EndpointAddress;
	method: string;
	/** Path and query below the endpoint's address. */
	path: string;
	headers: readonly string[];
	/** Absent when the request has no body. */
	body?: OutgoingBody;
	/**
	 * Whether the request needs a connection that carries nothing else before or
	 * after. Such a connection was proved alive by its handshake a moment ago, and
	 * no answer to another request can come on it.
	 */
	ownConnection: boolean;
};

/** What a transport tells of an exchange. After `end` or `failed` it tells nothing more. */
export type ExchangeEvents = {
	/**
	 * Asked in the same tick as the first byte is written. `false` keeps every
	 * byte back, and the exchange fails as `withdrawn`.
	 */
	leaving: (shared: boolean) => boolean;
	/** A part of the request's body went out. */
	progress: () => void;
	head: (head: AnswerHead) => void;
	data: (chunk: Uint8Array) => void;
	end: (trailers: readonly string[]) => void;
	failed: (failure: FailureClass, cause?: unknown) => void;
};

/** The sender's hold on an exchange. */
export type Exchange = {
	/** Stops `data` until {@link resume}; the endpoint then feels backpressure. */
	pause: () => void;
	resume: () => void;
	/**
	 * Gives the exchange up and destroys its connection, which is never used
	 * again. `suspect` tells that the connection may have gone silent or carried
	 * a foreign answer: idle connections to the same endpoint are then let go too,
	 * since what broke one may have broken all.
	 */
	abort: (reason: Error, suspect: boolean) => void;
};

/** Sends requests to endpoints. */
export type EndpointTransport = {
	send: (request: OutgoingRequest, events: ExchangeEvents) => Exchange;
	/** The endpoint's answers carry request ids, so its connections may be reused. */
	trustIds: (endpoint: EndpointAddress) => void;
	/** Closes idle connections; exchanges under way end first. */
	close: () => Promise<void>;
};
