/** Starts commands as separate processes, for end-to-end tests. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import process from 'node:process';

const commandLine = fileURLToPath(new URL('../hickorywalk.js', import.meta.url));

/** A started process that has printed the address it listens on. */
export type StartedProcess = {
	url: string;
	/** Host and port at which a daemon serves peers; empty for other processes. */
	peers: string;
	/** Base URL at which a daemon serves operators; empty for other processes. */
	administration: string;
	child: ChildProcess;
	/** Sends SIGTERM, as an operator would, and resolves to the exit code. */
	stop: () => Promise<number | null>;
	/** Sends SIGKILL, which has the same effect as the loss of the VM. */
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

	throw new Error(`hickorywalk ${args.join(' ')} exited before it listened.`);
}
