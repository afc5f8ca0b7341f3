/**
 * Rows of the order store in the table service.
 *
 * - `orders/WORKSPACE/SERVICE/HASH`: one order, under the hash of its key.
 * - `order-open/TIME/TOKEN`: index of orders without an outcome, which finds
 *   those whose dispatcher was lost without a scan of all orders.
 * - `order-expiry/TIME/TOKEN`: index of orders by the time of their deletion.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {type TableWrite} from '../platform/platform.js';

const base = {
	/** Random; distinguishes the intents of different writers. */
	token: z.string(),
	/** SHA-256 of the request, in hexadecimal. */
	digest: z.string(),
	/** Request id that was sent to the endpoint. */
	requestId: z.string(),
	workspace: z.string(),
	service: z.string(),
	method: z.string(),
	path: z.string(),
	/** Wall-clock time of the writer, in milliseconds. */
	createdMs: z.number(),
	/** Wall-clock time in milliseconds after which the writer has given the call up. */
	giveUpMs: z.number(),
};

const pendingSchema = z.object({state: z.literal('pending'), ...base});
const unknownSchema = z.object({
	state: z.literal('unknown'),
	...base,
	endpoint: z.string(),
	reason: z.string(),
});
const answeredSchema = z.object({
	state: z.literal('answered'),
	...base,
	/** Status of the endpoint's response; `null` if only known to have run. */
	status: z.number().nullable(),
	headers: z.array(z.string()),
	/** Base64; `null` if the response was too long to store, or was lost. */
	body: z.string().nullable(),
	trailers: z.array(z.string()),
	/** Who established the outcome: the dispatcher, a status look-up, or an operator. */
	by: z.string(),
});
/** The order never ran; the key may be used for a new attempt. */
const releasedSchema = z.object({state: z.literal('released'), ...base, by: z.string()});

/** Schema of an order's row. */
export const orderRowSchema = z.discriminatedUnion('state', [pendingSchema, unknownSchema, answeredSchema, releasedSchema]);

/** An order as stored in the table. */
export type OrderRow = z.infer<typeof orderRowSchema>;
export type PendingOrder = z.infer<typeof pendingSchema>;
export type AnsweredOrder = z.infer<typeof answeredSchema>;

/** Schema of the rows of both indexes; `order` is the order's key. */
const indexSchema = z.object({order: z.string()});

/** Key prefix of the index of orders without an outcome. */
export const openPrefix = 'order-open/';
/** Key prefix of the index by time of deletion. */
export const expiryPrefix = 'order-expiry/';

/** Characters of the path that a row stores, for operators. */
export const maxPathCharacters = 2000;

const timeDigits = 15;

function timeKey(timeMs: number): string {
	return String(Math.trunc(timeMs)).padStart(timeDigits, '0');
}

/** Returns the row key of a keyed order; it contains a hash of the caller's key. */
export function keyedOrderKey(workspace: string, service: string, idempotencyKey: string): string {
	return `orders/${workspace}/${service}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** Returns the row key of an order without an idempotency key. */
export function unkeyedOrderKey(workspace: string, service: string, requestId: string): string {
	return `orders/${workspace}/${service}/call-${createHash('sha256').update(requestId).digest('hex')}`;
}

/** Returns the time in the key of an index row, in milliseconds. */
export function indexTime(key: string): number {
	return Number(key.split('/')[1]);
}

/** Returns the key of the order that an index row refers to. */
export function indexedOrder(value: string): string {
	return indexSchema.parse(JSON.parse(value)).order;
}

/** Parses an order's row. */
export function parseOrder(value: string): OrderRow {
	return orderRowSchema.parse(JSON.parse(value));
}

/** Returns the writes that open an order, on the condition that its row has version `ifVersion`. */
export function openingWrites(key: string, row: OrderRow, ifVersion: number): TableWrite[] {
	return [
		{key, value: JSON.stringify(row), ifVersion},
		{key: `${openPrefix}${timeKey(row.createdMs)}/${row.token}`, value: JSON.stringify({order: key})},
	];
}

/** Returns the writes that store the outcome of an open order and its time of deletion. */
export function closingWrites(key: string, row: OrderRow, ifVersion: number, expiresMs: number): TableWrite[] {
	return [
		{key, value: JSON.stringify(row), ifVersion},
		{key: `${openPrefix}${timeKey(row.createdMs)}/${row.token}`, value: null},
		{key: `${expiryPrefix}${timeKey(expiresMs)}/${row.token}`, value: JSON.stringify({order: key})},
	];
}

/** Returns the digest of a request. The same key with another digest is refused. */
export function requestDigest(method: string, path: string, contentType: string, body: Uint8Array): string {
	return createHash('sha256')
		.update(JSON.stringify([method, path, contentType]))
		.update('\n')
		.update(body)
		.digest('hex');
}
