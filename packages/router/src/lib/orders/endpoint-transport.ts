/** Interfaces of the transport that sends single requests to endpoints. */
import {type Endpoint} from '../configuration/document.js';
import {type FailureClass} from './failure-classes.js';

/** An endpoint's name and URL. */
export type EndpointAddress = Pick<Endpoint, 'name' | 'address'>;

/** Status and headers of a response. */
export type ResponseHead = {
	status: number;
	/** Flat list of names and values, as received. */
	headers: readonly string[];
	/** Its connection has brought a response before. */
	isOnUsedConnection?: boolean;
};

/** Body of a request: the whole content, or a stream that is opened for this attempt. */
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
	 * Whether the request needs a new connection that carries no other request.
	 * The handshake has just shown that it works, and it cannot deliver the
	 * response to another request.
	 */
	dedicatedConnection: boolean;
};

/** Events of an exchange. None follows `end` or `failed`. */
export type ExchangeEvents = {
	/**
	 * Called in the tick in which the first byte is written. If it returns `false`,
	 * no byte is sent and the exchange fails as `withdrawn`.
	 */
	beforeSend: (shared: boolean) => boolean;
	/** A part of the request body was sent. */
	progress: () => void;
	head: (head: ResponseHead) => void;
	data: (chunk: Uint8Array) => void;
	/** Called with the number of bytes that were read although the exchange is paused; `data` gets them once it is resumed. */
	held?: (bytes: number) => void;
	end: (trailers: readonly string[]) => void;
	failed: (failure: FailureClass, cause?: unknown) => void;
};

/** Controls an exchange in progress. */
export type Exchange = {
	/** Stops `data` until {@link resume}, which applies backpressure to the endpoint. */
	pause: () => void;
	resume: () => void;
	/**
	 * Takes the rest of the response in batches, at most `everyMs` milliseconds later than it arrives. A stream
	 * of many small events then costs fewer wake-ups of the process.
	 */
	batchReads: (everyMs: number) => void;
	/**
	 * Aborts the exchange and destroys its connection. `suspect` means that the
	 * connection may be dead or carried the response to another request: idle
	 * connections to the same endpoint are then closed too, since the same fault
	 * may have affected all of them.
	 */
	abort: (reason: Error, suspect: boolean) => void;
};

/** Sends requests to endpoints. */
export type EndpointTransport = {
	send: (request: OutgoingRequest, events: ExchangeEvents) => Exchange;
	/** Declares that the endpoint's responses carry request ids, so that its connections may be reused. */
	allowConnectionReuse: (endpoint: EndpointAddress) => void;
	/** Sends nothing more over the open connections to an endpoint; exchanges in progress go on. */
	forgetConnections: (endpoint: EndpointAddress) => void;
	/** Closes idle connections after exchanges in progress have ended. */
	close: () => Promise<void>;
};
