/**
 * What a failed exchange with an endpoint proves, and what follows from it.
 *
 * Every decision to retry or to report "not run" or "outcome unknown" is read
 * from the two tables below, so that all code paths treat a failure alike.
 */

/** What may have reached the endpoint when an exchange failed. */
type Reach = 'nothing' | 'perhaps';

/**
 * Ways in which an exchange fails. `reach` is `nothing` only if the request was
 * never handed to a connected socket: once written, bytes may have been sent,
 * whatever the socket reports afterwards.
 */
export const failureClasses = {
	/** No connection was established, so no bytes could be sent. */
	connect_failed: {reach: 'nothing', blamesEndpoint: true},
	/** The peer that guards a brittle endpoint declined, since there is no room. */
	no_room: {reach: 'nothing', blamesEndpoint: false},
	/** The check right before the first byte refused to send. */
	withdrawn: {reach: 'nothing', blamesEndpoint: false},
	/** The HTTP client rejected the request as malformed before it had a connection. */
	unsendable: {reach: 'nothing', blamesEndpoint: false},
	/** The connection ended, after any number of bytes, before a response began. */
	reset: {reach: 'perhaps', blamesEndpoint: true},
	/** No byte arrived within the time limit. */
	silent: {reach: 'perhaps', blamesEndpoint: true},
	/** The response carries the id of another request, or no id where one is required. */
	crossed: {reach: 'perhaps', blamesEndpoint: true},
	/** The response has a status that HTTP doesn't define, or a transfer coding that was not asked for. */
	malformed: {reach: 'perhaps', blamesEndpoint: true},
	/** The response has neither a length nor chunks, so truncation cannot be detected. */
	unframed: {reach: 'perhaps', blamesEndpoint: true},
	/** The connection ended after the response had begun. */
	truncated: {reach: 'perhaps', blamesEndpoint: true},
	/** The response did not begin before the call's deadline. */
	late: {reach: 'perhaps', blamesEndpoint: true},
	/** The endpoint is silent and accepts no new connection, so the network between is presumed broken. */
	path_lost: {reach: 'perhaps', blamesEndpoint: false},
	/** The peer that passed the request on was lost before a response began. */
	relay_lost: {reach: 'perhaps', blamesEndpoint: false},
	/** The weights that the endpoint was chosen for became too old, for the answer to begin or to go on. */
	outdated: {reach: 'perhaps', blamesEndpoint: false},
	/** It had not begun when its engine was about to be ordered to load weights, which makes an engine reject what waits. */
	drained: {reach: 'perhaps', blamesEndpoint: false},
	/** This process ends. */
	stopped: {reach: 'perhaps', blamesEndpoint: false},
	/** The caller disconnected, or does not read. */
	cancelled: {reach: 'perhaps', blamesEndpoint: false},
} as const satisfies Record<string, {reach: Reach; blamesEndpoint: boolean}>;

/** Name of a row of {@link failureClasses}. */
export type FailureClass = keyof typeof failureClasses;

/** Failures in which the endpoint closed or lost the connection. */
export const connectionLossFailures: ReadonlySet<FailureClass> = new Set(['reset', 'truncated']);

/** `idempotent` calls may run more than once, `once` calls may not. */
export type CallKind = 'idempotent' | 'once';

/**
 * What follows a failure before any part of the response was passed to the caller.
 *
 * - `elsewhere`: try another endpoint; nothing ran.
 * - `retry`: try another endpoint if the retry budget allows.
 * - `unknown`: stop, and report that the outcome is unknown.
 */
export const nextSteps = {
	nothing: {idempotent: 'elsewhere', once: 'elsewhere'},
	perhaps: {idempotent: 'retry', once: 'unknown'},
} as const satisfies Record<Reach, Record<CallKind, string>>;
