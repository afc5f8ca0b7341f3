import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import {assert} from 'chai';
import {peerReportSchema} from '../../lib/peers/peer-report.js';
import {decodeReport, encodeReport, type PeerReport} from '../../peers.js';

/** A typical report in a fleet of seven daemons. */
const report: PeerReport = {
	daemon: 'front-fortaleza-1',
	incarnation: 1_783_535_558_399,
	number: 123,
	address: '10.2.0.3:7600',
	isLeaving: false,
	heard: {operator: 1234, endpoints: 2345},
	usage: [['sese880', 123_456, 23_456, -12_345], ['dago231', 1234, 100, 99_999], ['xada670', 5_555_555, 12_000, 40_000], ['fino682', 555, 120, 4000], ['dabo563', 5555, 1200, 4500]],
	loads: [['i-5d4fb03dc1', 3, 2890, 12_345, 1200], ['i-72c4dccf3c', 2, 0, 9345, 0], ['i-c80e8557ac', 1, 0, 900, 800], ['i-f25f26b83a', 4, 5780, 22_345, 2300], ['i-e07f880326', 1, 0, 0, 0]],
	named: [['daka510000', 5, 3456]],
	duty: null,
	engines: [],
	ended: [],
	kept: ['sese880:5 5c1e07a2', 'sese880:5 91bd3f06'],
	placed: [['i-5d4fb03dc1', 'sese880:5', 2950, [['5c1e07a2', 2520], ['91bd3f06', 3780]]]],
	dataCentre: 'fortaleza',
	relays: [],
	crashes: [['i-5d4fb03dc1', 1_783_535_000_000, 20, [['Zc0jGqGhbOQh', '', ['part:5c1e07a2']]]]],
	completed: ['Ux3jGqGhbOQh'],
	refused: [['Ye1jGqGhbOQh', 1, 300_000, false]],
	limits: [['i-5d4fb03dc1', 1_783_535_000_000, 1.5, 300]],
	leaving: [['i-72c4dccf3c', 1_783_535_000_000]],
	brittle: [['bilheteria', 5, 1200]],
	streams: [['engines', 'v1.1', ['Wd1jGqGhbOQh', 'Xe1jGqGhbOQh']]],
	paces: [['i-5d4fb03dc1', 250, 120]],
	collectorWeight: 0.675,
	dutyDelayMs: 400,
};

describe('report codec', () => {
	it('decodes what it encoded', () => {
		assert.deepEqual(decodeReport(encodeReport(report)), report);
	});

	it('takes less than half of the bytes of the JSON text', () => {
		// The text takes 655 bytes, the datagram 285.
		assert.isBelow(encodeReport(report).length, Buffer.byteLength(JSON.stringify(report)) / 2);
	});

	it('decodes plain JSON, also without values that newer daemons add', () => {
		// During a rolling update, daemons of the previous version send plain JSON without
		// the expected end of requests, the planned drains and the placements.
		const {placed, ...rest} = report;
		const older = {...rest, loads: [['i-1', 3, 2890, 12_345]], engines: [['i-1', 4, 0, -1]]};
		const read = decodeReport(Buffer.from(JSON.stringify(older)));
		assert.deepEqual([read.loads, read.engines, read.placed], [[['i-1', 3, 2890, 12_345, 0]], [['i-1', 4, 0, -1, -1]], []]);
	});

	it('drops values that only newer daemons know', () => {
		// During a rolling update, daemons of this version get reports of the next one.
		const names = Object.keys(peerReportSchema.shape) as Array<keyof PeerReport>;
		const values = [...names.map(name => report[name]), [['new', 1]]];
		assert.deepEqual(decodeReport(Buffer.from(JSON.stringify(values))), report);
	});

	it('rejects numbers that no fleet reaches', () => {
		// Guards against one wrong number of a peer that cuts a daemon off from the store, or moves its clock, until it restarts.
		const relay = {
			since: 1, version: 2, rows: [], isPrompt: true, storeMs: 1_783_535_000_000, outage: null, restoredMs: null,
		};
		const relayed = (more: object): Partial<PeerReport> => ({relays: [['endpoints', {...relay, ...more}]]});
		assert.doesNotThrow(() => decodeReport(encodeReport({...report, ...relayed({})})));
		for (const more of [
			{incarnation: 1e300},
			{number: 1e300},
			{leaving: [['i-1', 1e300]]},
			{ended: [['i-1', 1e300]]},
			{limits: [['i-1', 1e300, null, 0]]},
			relayed({version: 9e15}),
			relayed({version: -1}),
			relayed({since: 9e15}),
			relayed({rows: [['i-1', 9e15, null]]}),
			relayed({storeMs: 1e15}),
		] as Array<Partial<PeerReport>>) {
			assert.throws(() => decodeReport(encodeReport({...report, ...more})));
		}
	});

	it('rejects invalid datagrams and decompression bombs', () => {
		const mark = Buffer.from([1]);
		const bomb = deflateRawSync(Buffer.alloc(64 * 1024 * 1024, 32));
		for (const content of [Buffer.alloc(0), Buffer.from('no report'), mark, Buffer.concat([mark, Buffer.from('no report')]), Buffer.concat([mark, bomb])]) {
			assert.throws(() => decodeReport(content));
		}
	});
});
