/**
 * Codec of report datagrams: JSON, deflated with a preset dictionary, since consecutive
 * reports are nearly the same.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type PeerReport, peerReportSchema} from './peer-report.js';

/** First byte of a deflated report; plain JSON begins with a brace. */
const deflatedMark = 0x01;

/** Upper bound on an inflated report, against decompression bombs. */
const maxTextBytes = 512 * 1024;

/** Favors speed over ratio. */
const deflateOptions = {windowBits: 12, memLevel: 5, level: 3} as const;

/** Preset dictionary: field names in order, and common values. */
const dictionary = Buffer.from([
	'"ended":[["i-","kept":[":1 ","placed":[["i-",":2","daemons/","address":"10.","isLeaving":false,"heard":{"operator":,"endpoints":},',
	'"usage":[[",0,0,"],"loads":[["i-",1,0,0],["i-"]],"named":[[",],"duty":null,"engines":[["i-",1,0,-1],["i-"]],',
	'"ended":[],"kept":[],"placed":[]}{"daemon":"front-","incarnation":17,"number":',
].join(''));

/** Encodes a report as one datagram. */
export function encodeReport(report: PeerReport): Buffer {
	return Buffer.concat([Buffer.from([deflatedMark]), deflateRawSync(JSON.stringify(report), {...deflateOptions, dictionary})]);
}

/** Decodes a datagram. @throws when it holds no valid report. */
export function decodeReport(content: Buffer): PeerReport {
	const text = content[0] === deflatedMark
		? inflateRawSync(content.subarray(1), {dictionary, maxOutputLength: maxTextBytes})
		: content;
	return peerReportSchema.parse(JSON.parse(text.toString('utf8')));
}
