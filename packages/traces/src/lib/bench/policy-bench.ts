/**
 * `npm run bench -- policy`: replays the shipped traces with the product's
 * placement and the baselines, prints one JSON line for each trace and policy,
 * then the table. `--write` writes the table and plots to docs/,
 * `--write-traces` regenerates the shipped traces, `--traces a,b` and
 * `--policies a,b` select some, `--options JSON` overrides options of the
 * placer, `--decisions` times placement decisions instead.
 */
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {z} from 'zod';
import {policyNames, type PolicyName} from '../replay/policies.js';
import {prepareTrace, replayTrace} from '../replay/replay.js';
import {generateTrace, shippedTraces} from '../replay/shipped-traces.js';
import {readTrace, writeTrace} from '../replay/trace-file.js';
import {timeDecisions} from './policy-decisions.js';
import {plotPolicies} from './policy-plots.js';
import {formatPolicyTable, type PolicyResult} from './policy-table.js';

const tracesDirectory = fileURLToPath(new URL('../../../traces/', import.meta.url));
const docsDirectory = fileURLToPath(new URL('../../../../../docs/', import.meta.url));

/** The measured table stands between these lines of docs/policy.md. */
const tableBegin = '<!-- table: written by `npm run bench -- policy --write` -->';
const tableEnd = '<!-- end of table -->';

/** Path of the file of a shipped trace. */
export const pathOfTrace = (name: string): string => `${tracesDirectory}${name}.ndjson.gz`;

const writeTraces = async (names: readonly string[]): Promise<void> => {
	await mkdir(tracesDirectory, {recursive: true});
	for (const name of shippedTraces) {
		if (names.includes(name)) {
			await writeTrace(pathOfTrace(name), generateTrace(name));
		}
	}
};

const writeDocs = async (results: readonly PolicyResult[]): Promise<void> => {
	const path = `${docsDirectory}policy.md`;
	const page = await readFile(path, 'utf8');
	const begin = page.indexOf(tableBegin) + tableBegin.length;
	const end = page.indexOf(tableEnd);
	await writeFile(path, `${page.slice(0, begin)}\n\n${formatPolicyTable(results)}\n${page.slice(end)}`);
	await mkdir(`${docsDirectory}plots`, {recursive: true});
	for (const [name, svg] of await plotPolicies(results)) {
		await writeFile(`${docsDirectory}plots/${name}.svg`, svg);
	}
};

const replayAll = async (names: readonly string[], policies: readonly PolicyName[], options: object): Promise<PolicyResult[]> => {
	const results: PolicyResult[] = [];
	for (const name of names) {
		const prepared = await prepareTrace(await readTrace(pathOfTrace(name)));
		for (const policy of policies) {
			const result = {trace: name, policy, ...replayTrace(prepared, policy, options)};
			console.log(JSON.stringify(result));
			results.push(result);
		}
	}

	return results;
};

export const runPolicyBench = async (args: string[]): Promise<void> => {
	const {values} = parseArgs({
		args,
		options: {
			decisions: {type: 'boolean', default: false},
			options: {type: 'string', default: '{}'},
			policies: {type: 'string', default: policyNames.join(',')},
			traces: {type: 'string', default: shippedTraces.join(',')},
			write: {type: 'boolean', default: false},
			'write-traces': {type: 'boolean', default: false},
		},
	});
	if (values.decisions) {
		console.log(JSON.stringify(timeDecisions()));
		return;
	}

	const names = values.traces.split(',');
	if (values['write-traces']) {
		await writeTraces(names);
	}

	const chosen = new Set(values.policies.split(','));
	const options = z.record(z.string(), z.number()).parse(JSON.parse(values.options));
	const results = await replayAll(names, policyNames.filter(name => chosen.has(name)), options);
	console.log(formatPolicyTable(results));
	if (values.write) {
		await writeDocs(results);
	}
};
