/** Starts the command line as processes of their own, for tests from end to end. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import process from 'node:process';

const commandLine = fileURLToPath(new URL('../hickorywalk.js', import.meta.url));

/** A started process that printed where it listens. */
export type StartedProcess = {
	url: string;
	/** Where a daemon serves peers; empty for others. */
	peers: string;
	/** Where a daemon serves operators; empty for others. */
	administration: string;
	child: ChildProcess;
	/** Ends it as an operator would, and resolves to its exit code. */
	stop: () => Promise<number | null>;
	/** Ends it without a word, as a lost VM does. */
	kill: () => Promise<void>;
};

/** Starts `hickorywalk ...args` and waits for its address. */
export async function startProcess(...args: string[]): Promise<StartedProcess> {
	const child = spawn(process.execPath, [commandLine, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	for await (const line of lines) {
		if (line.startsWith('{"listening"')) {
			const {listening: url, peers = '', administration = ''} = JSON.parse(line) as {listening: string; peers?: string; administration?: string};
			child.stdout.resume();
			return {
				url,
				peers,
				administration,
				child,
				async stop() {
					child.kill('SIGTERM');
					const [code] = await once(child, 'exit') as [number | null];
					return code;
				},
				async kill() {
					child.kill('SIGKILL');
					await once(child, 'exit');
				},
			};
		}
	}

	throw new Error(`hickorywalk ${args.join(' ')} ended before it listened.`);
}
