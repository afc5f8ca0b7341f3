/** Measures what a size costs: processor time, heap, or bytes. */
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {fitLine, type Point} from './fit.js';

/** What is measured, and in which unit its slope is given. */
export type SlopeDefinition = {
	role: string;
	/** What it costs, such as `parse and check`. */
	cost: string;
	/** What the size counts, such as `workspace`. */
	per: string;
	unit: 'us' | 'bytes';
	/** At least five sizes, each twice the one before. */
	sizes: readonly number[];
	/** Prepares one size and returns the work to be measured. */
	measure: (size: number) => Promise<Measurement> | Measurement;
};

/** How one size is measured. */
export type Measurement
	/** Work that is done again and again; processor time of this process, user and system. */
	= | {kind: 'time'; work: () => Promise<void> | void; before?: () => void; after?: () => void}
	/** Something built and kept; the growth of heap and buffers. */
		| {kind: 'heap'; build: () => Promise<unknown> | unknown}
	/** What the definition counted or measured itself. */
		| {kind: 'value'; value: number};

/** One measured slope, as printed. */
export type Slope = {
	role: string;
	cost: string;
	per: string;
	slope: number;
	unit: string;
	/** See {@link fitLine}. */
	residual: number;
	intercept: number;
	points: Point[];
};

const repeats = 5;
/** Processor time of one repeat at least; the kernel's counter moves in steps of up to a millisecond or two. */
const leastUs = 20_000;

/** Measures every size and fits a line. */
export async function measureSlope(definition: SlopeDefinition): Promise<Slope> {
	const points: Point[] = [];
	// The largest size goes first and is thrown away: it warms the code up.
	await runMeasurement(await definition.measure(definition.sizes.at(-1) ?? 1));
	for (const size of definition.sizes) {
		points.push({size, value: await runMeasurement(await definition.measure(size))});
	}

	const {role, cost, per, unit} = definition;
	return {
		role, cost, per, unit, ...fitLine(points), points,
	};
}

async function runMeasurement(measurement: Measurement): Promise<number> {
	switch (measurement.kind) {
		case 'value': {
			return measurement.value;
		}

		case 'heap': {
			return measureHeap(measurement.build);
		}

		case 'time': {
			const value = await measureTime(measurement.work, measurement.before);
			measurement.after?.();
			return value;
		}
	}
}

/** The least of several runs: other processes of a busy machine only ever add. */
async function measureTime(work: () => Promise<void> | void, before: (() => void) | undefined): Promise<number> {
	let least = Number.POSITIVE_INFINITY;
	for (let repeat = 0; repeat < repeats; repeat++) {
		let times = 0;
		let us = 0;
		while (us < leastUs) {
			before?.();
			const start = process.cpuUsage();
			await work();
			const {user, system} = process.cpuUsage(start);
			us += user + system;
			times++;
		}

		least = Math.min(least, us / times);
	}

	return least;
}

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** What the last turn of the loop left behind is only free after that turn has ended. */
async function usedBytes(): Promise<number> {
	for (let round = 0; round < 3; round++) {
		await nextTurn();
		collectGarbage();
	}

	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** The middle of several runs: late clean-up of earlier work falls into some of them. */
async function measureHeap(build: () => unknown): Promise<number> {
	const runs: number[] = [];
	for (let repeat = 0; repeat < repeats; repeat++) {
		runs.push(await measureHeapOnce(build));
	}

	return runs.toSorted((a, b) => a - b)[Math.floor(repeats / 2)];
}

async function measureHeapOnce(build: () => unknown): Promise<number> {
	const before = await usedBytes();
	const kept = [await build()];
	const after = await usedBytes();
	// The value must live until here, or the collector takes it first.
	kept.pop();
	return after - before;
}

/** Five or more sizes, each twice the one before. */
export const doublings = (first: number, count = 5): number[] => Array.from({length: count}, (_, index) => first * (2 ** index));
