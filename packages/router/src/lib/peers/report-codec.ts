/**
 * Codec of report datagrams: a JSON array of the field values, without empty values at the
 * end. Long reports are deflated with a preset dictionary; for short ones the processor time
 * outweighs the saved bytes.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type PeerReport, peerReportSchema} from './peer-report.js';

/** First byte of a deflated report; plain JSON begins with a bracket or brace. */
const deflatedMark = 0x01;

/** Minimum length of the JSON text of a report that is deflated, in bytes. */
const minDeflatedBytes = 200;

/** Upper bound on an inflated report; guards against decompression bombs. */
const maxTextBytes = 512 * 1024;

/** Favors speed over compression ratio. */
const deflateOptions = {windowBits: 12, memLevel: 5, level: 3} as const;

/** Preset dictionary of common substrings; both sides must use the same bytes. */
export const dictionary = Buffer.from([
	'"],["i-",":1 ",":2","daemons/","sequence":,"state":"ready","models":[{"name":"","version":',
	',0,0],[""],[["i-",1,0,0,0],["i-",1,0,-1,-1],null,[],[],[],[["i-",":1",[[""]]],"}],["operator",["endpoints",{"since":,"version":,"rows":[["","isPrompt":true,"outage":null}]]',
	'["front-,false,"10.:7600",{"operator":,"endpoints":},[["',
].join(''));

type FieldName = keyof typeof peerReportSchema.shape;

/** Field names in the order of the encoded values. */
const fieldNames = Object.keys(peerReportSchema.shape) as FieldName[];

/** Whether a value is left out of encoded reports, since decoding restores it. */
export const isEmpty = (value: unknown): boolean => value === null || value === '' || value === 0 || (Array.isArray(value) && value.length === 0);

function encodeText(report: PeerReport): string {
	const values: unknown[] = fieldNames.map(name => report[name]);
	while (values.length > 0 && isEmpty(values.at(-1))) {
		values.pop();
	}

	return JSON.stringify(values);
}

/** Encodes a report as one datagram. */
export function encodeReport(report: PeerReport): Buffer {
	const text = Buffer.from(encodeText(report), 'utf8');
	return text.length < minDeflatedBytes ? text : Buffer.concat([Buffer.from([deflatedMark]), deflateRawSync(text, {...deflateOptions, dictionary})]);
}

/** Decodes a datagram; also returns the bytes of its text. @throws when it holds no valid report. */
export function readReport(content: Buffer): {report: PeerReport; bytes: number} {
	const text = content[0] === deflatedMark
		? inflateRawSync(content.subarray(1), {dictionary, maxOutputLength: maxTextBytes})
		: content;
	const values: unknown = JSON.parse(text.toString('utf8'));
	const report = peerReportSchema.parse(Array.isArray(values) ? Object.fromEntries(values.map((value, index) => [fieldNames[index], value])) : values);
	return {report, bytes: text.length};
}

/** Decodes a datagram. @throws when it holds no valid report. */
export const decodeReport = (content: Buffer): PeerReport => readReport(content).report;
