/**
 * Codec of bundles, datagrams with the reports of several daemons. The deflated text has one line
 * about the bundle, and three for each report: its origin, its fields and its incremental updates.
 * Collectors pass the last two on without decoding them.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {z} from 'zod';
import {countSchema, nameSchema, unixMsSchema} from '../fleet/report-numbers.js';
import {dictionary} from './report-codec.js';

/** First byte of a bundle, and of one that was forwarded within its receiver's data centre. Reports begin otherwise. */
const bundleMark = 0x02;
const forwardedMark = 0x03;

/** Largest datagram in bytes: it is sent in some twenty packets, and one lost packet loses it. */
const maxDatagramBytes = 32 * 1024;

/** Upper bound on an inflated bundle; guards against decompression bombs. */
const maxTextBytes = 1024 * 1024;

/** A larger window than for single reports, since the reports of a bundle resemble each other. */
const deflateOptions = {windowBits: 14, memLevel: 7, level: 3} as const;

/** Who sends a bundle to whom: a member to its collector, a collector to other collectors, a collector to its members. */
export type BundleStep = 'collection' | 'exchange' | 'distribution';

const steps: readonly BundleStep[] = ['collection', 'exchange', 'distribution'];

const headSchema = z.tuple([z.number(), nameSchema, nameSchema, nameSchema]);

const originSchema = z.tuple([nameSchema, unixMsSchema, countSchema, z.number(), countSchema]);

/** One report of a bundle. */
export type BundleEntry = {
	daemon: string;
	incarnation: number;
	number: number;
	/** Milliseconds since the report was sent; time on the network isn't counted. */
	ageMs: number;
	/** Number of the report that first carried the latest incremental updates; 0 without any. */
	updatedNumber: number;
	/** Fields, see `report-text`. */
	text: string;
	/** Incremental updates, see `bundle-updates`. */
	updates: string;
};

/** A decoded bundle. */
export type Bundle = {
	step: BundleStep;
	isForwarded: boolean;
	sender: string;
	address: string;
	dataCentre: string;
	entries: BundleEntry[];
};

/** Whether a datagram is a bundle. */
export const isBundle = (content: Buffer): boolean => content[0] === bundleMark || content[0] === forwardedMark;

/** Returns the datagram marked as forwarded. */
export const markForwarded = (content: Buffer): Buffer => Buffer.concat([Buffer.from([forwardedMark]), content.subarray(1)]);

const encodeEntry = ({daemon, incarnation, number, ageMs, updatedNumber, text, updates}: BundleEntry): string =>
	`${JSON.stringify([daemon, incarnation, number, Math.round(ageMs), updatedNumber])}\n${text}\n${updates}`;

/** Encodes a bundle as one datagram, or as several where one would be too large. */
export function encodeBundle(bundle: Omit<Bundle, 'isForwarded'>): Buffer[] {
	const {step, sender, address, dataCentre, entries} = bundle;
	const lines = [JSON.stringify([steps.indexOf(step), sender, address, dataCentre]), ...entries.map(entry => encodeEntry(entry))];
	const text = Buffer.from(lines.join('\n'), 'utf8');
	const content = Buffer.concat([Buffer.from([bundleMark]), deflateRawSync(text, {...deflateOptions, dictionary})]);
	if (entries.length < 2 || (content.length <= maxDatagramBytes && text.length <= maxTextBytes)) {
		return [content];
	}

	const half = Math.ceil(entries.length / 2);
	return [entries.slice(0, half), entries.slice(half)].flatMap(part => encodeBundle({...bundle, entries: part}));
}

/** Decodes a bundle. @throws when it is invalid. */
export function decodeBundle(content: Buffer): Bundle {
	const lines = inflateRawSync(content.subarray(1), {dictionary, maxOutputLength: maxTextBytes}).toString('utf8').split('\n');
	const [stepIndex, sender, address, dataCentre] = headSchema.parse(JSON.parse(lines[0]));
	const entries: BundleEntry[] = [];
	for (let index = 1; index + 2 < lines.length; index += 3) {
		const [daemon, incarnation, number, ageMs, updatedNumber] = originSchema.parse(JSON.parse(lines[index]));
		entries.push({
			daemon, incarnation, number, ageMs: Math.max(0, ageMs), updatedNumber, text: lines[index + 1], updates: lines[index + 2],
		});
	}

	return {
		step: z.enum(steps).parse(steps[stepIndex]), isForwarded: content[0] === forwardedMark, sender, address, dataCentre, entries,
	};
}
