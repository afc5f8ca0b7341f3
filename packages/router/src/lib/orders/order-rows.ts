/**
 * Rows of the record of orders in the table service.
 *
 * - `orders/WORKSPACE/SERVICE/HASH`: one order, under the hash of its key.
 * - `order-open/TIME/TOKEN`: names an order that has no outcome yet. Those whose
 *   dispatcher was lost are found here, without a walk over all orders.
 * - `order-expiry/TIME/TOKEN`: names an order to delete, by the time it is due.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {type TableWrite} from '../platform/platform.js';

const base = {
	/** Random; tells one writer's intent from another's. */
	token: z.string(),
	/** SHA-256 of what the caller asked for, in hexadecimal. */
	digest: z.string(),
	/** Id under which the request went to the endpoint. */
	requestId: z.string(),
	workspace: z.string(),
	service: z.string(),
	method: z.string(),
	path: z.string(),
	/** Wall clock of the writer, in milliseconds. */
	createdMs: z.number(),
	/** Wall clock after which the writer has given the call up. */
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
	/** Status of the endpoint's answer; `null` when only its having run is known. */
	status: z.number().nullable(),
	headers: z.array(z.string()),
	/** Base64; `null` when the answer was longer than what is kept, or was lost. */
	body: z.string().nullable(),
	trailers: z.array(z.string()),
	/** Who established the outcome: the dispatcher, a status look-up, or an operator. */
	by: z.string(),
});
/** Never ran: the key may be used for a new attempt. */
const releasedSchema = z.object({state: z.literal('released'), ...base, by: z.string()});

/** Layout of an order's row. */
export const orderRowSchema = z.discriminatedUnion('state', [pendingSchema, unknownSchema, answeredSchema, releasedSchema]);

/** An order as the table keeps it. */
export type OrderRow = z.infer<typeof orderRowSchema>;
export type PendingOrder = z.infer<typeof pendingSchema>;
export type AnsweredOrder = z.infer<typeof answeredSchema>;

/** What the open and the expiry index rows say. */
const indexSchema = z.object({order: z.string()});

/** Prefix of the index of orders without an outcome. */
export const openPrefix = 'order-open/';
/** Prefix of the index by time of deletion. */
export const expiryPrefix = 'order-expiry/';

/** Characters of a path that a row shows an operator. */
export const mostPathCharacters = 2000;

const timeDigits = 15;

function timeKey(timeMs: number): string {
	return String(Math.trunc(timeMs)).padStart(timeDigits, '0');
}

/** Key of a keyed order's row: the caller's key is kept as a hash. */
export function keyedOrderKey(workspace: string, service: string, idempotencyKey: string): string {
	return `orders/${workspace}/${service}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** Key of the row of an order that came without a key. */
export function unkeyedOrderKey(workspace: string, service: string, requestId: string): string {
	return `orders/${workspace}/${service}/call-${createHash('sha256').update(requestId).digest('hex')}`;
}

/** Time in the key of an index row, in milliseconds. */
export function indexTime(key: string): number {
	return Number(key.split('/')[1]);
}

/** Key of the order that an index row names. */
export function indexedOrder(value: string): string {
	return indexSchema.parse(JSON.parse(value)).order;
}

/** Reads an order's row. */
export function parseOrder(value: string): OrderRow {
	return orderRowSchema.parse(JSON.parse(value));
}

/** Writes that open an order, on the condition that its row has `ifVersion`. */
export function openingWrites(key: string, row: OrderRow, ifVersion: number): TableWrite[] {
	return [
		{key, value: JSON.stringify(row), ifVersion},
		{key: `${openPrefix}${timeKey(row.createdMs)}/${row.token}`, value: JSON.stringify({order: key})},
	];
}

/** Writes that give an open order its outcome and its time of deletion. */
export function closingWrites(key: string, row: OrderRow, ifVersion: number, expiresMs: number): TableWrite[] {
	return [
		{key, value: JSON.stringify(row), ifVersion},
		{key: `${openPrefix}${timeKey(row.createdMs)}/${row.token}`, value: null},
		{key: `${expiryPrefix}${timeKey(expiresMs)}/${row.token}`, value: JSON.stringify({order: key})},
	];
}

/** Digest of what a caller asked for: the same key with another digest is refused. */
export function requestDigest(method: string, path: string, contentType: string, body: Uint8Array): string {
	return createHash('sha256')
		.update(JSON.stringify([method, path, contentType]))
		.update('\n')
		.update(body)
		.digest('hex');
}
