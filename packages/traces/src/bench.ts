/** Runs a benchmark by name: `npm run bench -- NAME [ARGUMENTS]`. */
import process from 'node:process';

type Bench = (args: string[]) => Promise<void>;

/** Benchmarks by name. Each prints JSON lines, which its page in the docs explains. */
const benches: Record<string, Bench> = {
	async configuration() {
		const {runConfigurationBench} = await import('./lib/bench/configuration-bench.js');
		await runConfigurationBench();
	},
	async limits(args) {
		const {runLimitsBench} = await import('./lib/bench/limits-bench.js');
		await runLimitsBench(args);
	},
	async fairness() {
		const {runFairnessBench} = await import('./lib/bench/fairness-bench.js');
		await runFairnessBench();
	},
	async overhead() {
		const {runOverheadBench} = await import('./lib/bench/overhead-bench.js');
		await runOverheadBench();
	},
	async links() {
		const {runLinksBench} = await import('./lib/bench/links-bench.js');
		await runLinksBench();
	},
	async reference(args) {
		const {runReferencePages} = await import('./lib/bench/reference-pages.js');
		await runReferencePages(args);
	},
	async orders(args) {
		const {runOrdersBench} = await import('./lib/bench/orders-bench.js');
		await runOrdersBench(args);
	},
	async policy(args) {
		const {runPolicyBench} = await import('./lib/bench/policy-bench.js');
		await runPolicyBench(args);
	},
	async membership() {
		const {runMembershipBench} = await import('./lib/bench/membership-bench.js');
		await runMembershipBench();
	},
	async recovery() {
		const {runRecoveryBench} = await import('./lib/bench/recovery-bench.js');
		await runRecoveryBench();
	},
};

const [name, ...args] = process.argv.slice(2);
const bench = Object.hasOwn(benches, name ?? '') ? benches[name] : undefined;
if (bench === undefined) {
	console.error(`There is no benchmark "${name ?? ''}". Choose one of: ${Object.keys(benches).join(', ')}.`);
	process.exitCode = 2;
} else {
	await bench(args);
}
