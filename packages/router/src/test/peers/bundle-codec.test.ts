import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import {assert} from 'chai';
import {
	type BundleEntry, decodeBundle, encodeBundle, isBundle, markForwarded,
} from '../../lib/peers/bundle-codec.js';
import {createOwnUpdates, updatesSince} from '../../lib/peers/bundle-updates.js';
import {createEntryDecoder} from '../../lib/peers/entry-decoder.js';
import {encodeReportText} from '../../lib/peers/report-text.js';
import {decodeReport, encodeReport, type PeerReport} from '../../peers.js';
import {reportOf} from './empty-report.js';

const entryOf = (report: PeerReport, more: Partial<BundleEntry> = {}): BundleEntry => ({
	daemon: report.daemon, incarnation: report.incarnation, number: report.number, ageMs: 0, updatedNumber: 0, text: encodeReportText(report), updates: '', ...more,
});

const report = reportOf('vm-1', {
	address: '10.0.0.1:7600', dataCentre: 'a', collectorWeight: 0.675, heard: {operator: 7}, loads: [['e\t1\n', 3, 4000, 9000, 500]], named: [['m', 5, 100]],
	engines: [['e1', 4, 5, 70, 900], ['e2', 4, 0, -1, -1]], refused: [['digest', 1, 5000, false]], limits: [['e1', 1, null, 20]],
});

const bundleOf = (entries: BundleEntry[]) => ({
	step: 'exchange' as const, sender: 'vm-2', address: '10.0.0.2:7600', dataCentre: 'b', entries,
});

describe('codec of bundles', () => {
	it('decodes what it encoded', () => {
		const bundle = bundleOf([entryOf(report, {ageMs: 80}), entryOf(reportOf('vm-3', {address: 'x:1'}))]);
		const [content] = encodeBundle(bundle);
		assert.deepEqual(decodeBundle(content), {...bundle, isForwarded: false});
		assert.deepEqual(decodeBundle(markForwarded(content)), {...bundle, isForwarded: true});
	});

	it('is told apart from single reports, which older daemons drop it as', () => {
		const [content] = encodeBundle(bundleOf([entryOf(report)]));
		assert.deepEqual([content, markForwarded(content), encodeReport(report), encodeReport(reportOf('v'))].map(item => isBundle(item)), [true, true, false, false]);
		assert.throws(() => decodeReport(content));
	});

	it('splits a bundle into datagrams of at most 32 KB', () => {
		// A datagram has a limit of 64 KB, and its loss grows with its size.
		const entries = Array.from({length: 650}, (_item, index) => entryOf(reportOf(`vm-${index}`, {
			address: `10.0.${index}.1:7600`,
			usage: Array.from({length: 12}, (_use, use) => [`w-${use}`, Math.round(Math.sin((index * 12) + use) * 1e9), Math.round(Math.cos((index * 17) + use) * 1e9), use]),
		})));
		const contents = encodeBundle(bundleOf(entries));
		assert.isAbove(contents.length, 1);
		assert.isAtMost(Math.max(...contents.map(content => content.length)), 32 * 1024);
		assert.deepEqual(contents.flatMap(content => decodeBundle(content).entries), entries);
	});

	it('rejects invalid bundles and decompression bombs', () => {
		const bundleMark = Buffer.from([2]);
		const bomb = deflateRawSync(Buffer.alloc(64 * 1024 * 1024, 32));
		for (const content of [bundleMark, Buffer.concat([bundleMark, Buffer.from('no bundle')]), Buffer.concat([bundleMark, bomb]), Buffer.concat([bundleMark, deflateRawSync('[9,"a","b","c"]')])]) {
			assert.throws(() => decodeBundle(content));
		}
	});
});

describe('reports in bundles', () => {
	it('equal single reports, with relative times as they are on arrival', () => {
		// A report passes two other daemons, and its times would be too late by the time that takes.
		const decoder = createEntryDecoder();
		assert.deepEqual(decoder.decode(entryOf(report)), report);
		const later = decoder.decode(entryOf(report, {number: 2, ageMs: 100}));
		assert.deepEqual(later, {
			...report, number: 2, loads: [['e\t1\n', 3, 4000, 9000, 400]], named: [['m', 5, 200]],
			engines: [['e1', 4, 5, 170, 800], ['e2', 4, 0, -1, -1]], refused: [['digest', 1, 4900, false]], limits: [['e1', 1, null, 120]],
		});
	});

	it('count the age of paces from when the endpoints stated them', () => {
		// Guards against a figure that seems new on arrival, although the bundle has taken longer than the figure is useful.
		const decoded = createEntryDecoder().decode(entryOf({...report, paces: [['e1', 250, 40]]}, {ageMs: 100}));
		assert.deepEqual(decoded.paces, [['e1', 250, 140]]);
	});

	it('follow changes of any field, also to and from empty', () => {
		const decoder = createEntryDecoder();
		for (const more of [{}, {loads: []}, {ended: [['e9', 5]] as Array<[string, number]>}, {heard: {operator: 8}}, {duty: [1, 900] as [number, number]}, {}]) {
			const changed = {...report, ...more};
			assert.deepEqual(decoder.decode(entryOf(changed)), changed);
		}
	});

	it('are rejected when a field is invalid, without an effect on later ones', () => {
		const decoder = createEntryDecoder();
		decoder.decode(entryOf(report));
		const {text} = entryOf(report);
		assert.throws(() => decoder.decode({...entryOf(report), text: text.replace('4000', '"no number"')}));
		assert.throws(() => decoder.decode({...entryOf(report), text: text.replace('[[', '[')}));
		assert.deepEqual(decoder.decode(entryOf(report)), report);
	});

	it('carry each batch of updates twice, of which one is applied', () => {
		const own = createOwnUpdates();
		const decoder = createEntryDecoder();
		const numbers = [1, 2, 4, 7];
		const entries = numbers.map(number => entryOf(report, {number, ...own.encode(number, {kept: number === 4 ? [] : [`part-${number}`], placed: []})}));
		assert.deepEqual(entries.map(({updates}) => updates === '' ? [] : updatesSince(updates, 0).kept), [['part-1'], ['part-1', 'part-2'], ['part-2'], ['part-7']]);
		// The second is lost.
		assert.deepEqual([0, 2, 3].map(index => decoder.decode(entries[index]).kept), [['part-1'], ['part-2'], ['part-7']]);
		// A new process begins anew.
		assert.deepEqual(decoder.decode({...entries[0], incarnation: 2}).kept, ['part-1']);
	});
});
