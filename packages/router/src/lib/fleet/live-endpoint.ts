/** A running endpoint as the platform lists it. */

/** One process of an endpoint. */
export type LiveEndpoint = {
	/** Identifies this process; usually changes at a restart. */
	id: string;
	service: string;
	/** IP:PORT; may be reused by another endpoint after this one has ended. */
	address: string;
	dataCentre: string;
	/** Requests that it runs concurrently. */
	slots: number;
	/** It is shutting down and accepts no new requests. */
	isLeaving: boolean;
	/** Start time in Unix milliseconds; distinguishes two processes with the same id. */
	startedAt: number;
	/** Sequence number of the report that this state comes from; restarts with the process. */
	reportNumber: number;
	/** Version of its software; empty if it states none. */
	software: string;
	/** Weights version by model. */
	weights: ReadonlyMap<string, number>;
};

/** Whether `update` is at least as recent a report as `known`, from the same process or a later one. */
export function isNewer(update: LiveEndpoint, known: LiveEndpoint): boolean {
	return update.startedAt === known.startedAt
		? update.reportNumber >= known.reportNumber
		: update.startedAt > known.startedAt;
}
