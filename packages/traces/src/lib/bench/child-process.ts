/** Starts `hickorywalk` processes for a benchmark and reads their processor time and memory. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const commandLine = fileURLToPath(new URL('../../../../daemon/dist/hickorywalk.js', import.meta.url));
const ticksPerSecond = 100;
/** Fields of /proc/PID/stat, counted from 0 after the command name. */
const userTicksField = 11;
const systemTicksField = 12;

/** A running process that listens at `url`. */
export type BenchProcess = {
	url: string;
	/** Processor time since the start, in seconds. */
	cpuSeconds: () => Promise<number>;
	/** Resident memory in MiB. */
	residentMib: () => Promise<number>;
	stop: () => Promise<void>;
};

/** Starts `hickorywalk ...args` and waits for its address. */
export async function startBenchProcess(...args: string[]): Promise<BenchProcess> {
	const child = spawn(process.execPath, [commandLine, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const url = await addressOf(child);
	return {
		url,
		async cpuSeconds() {
			const text = await readFile(`/proc/${child.pid}/stat`, 'utf8');
			const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
			return (Number(fields[userTicksField]) + Number(fields[systemTicksField])) / ticksPerSecond;
		},
		async residentMib() {
			const text = await readFile(`/proc/${child.pid}/status`, 'utf8');
			return Number(/VmRSS:\s+(?<kib>\d+)/v.exec(text)?.groups?.kib) / 1024;
		},
		async stop() {
			child.kill('SIGTERM');
			await once(child, 'exit');
		},
	};
}

async function addressOf(child: ChildProcess): Promise<string> {
	if (child.stdout === null) {
		throw new Error('The process has no standard output to read its address from.');
	}

	for await (const line of createInterface({input: child.stdout})) {
		if (line.startsWith('{"listening"')) {
			child.stdout.resume();
			return (JSON.parse(line) as {listening: string}).listening;
		}
	}

	throw new Error('The process exited before it printed the address it listens at.');
}
