/** Limits the requests at an endpoint that returns after it got none for a while. */

const requestsWhileReturning = 8;

/** Maximum number of requests in flight for which it may get another one; grows from 1 until `returnMs` after the return. */
export const returnRoom = (sinceReturnMs: number, returnMs: number): number =>
	sinceReturnMs >= returnMs ? Number.POSITIVE_INFINITY : 1 + Math.floor(requestsWhileReturning * sinceReturnMs / returnMs);
