/** Mocha root hooks, loaded by `require` in .mocharc.json. */
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {z} from 'zod';
import {createKnownRedHooks, parseKnownRed} from './known-red.js';

const root = new URL('../../../../', import.meta.url);
const list = new URL('KNOWN-RED.txt', root);
const cfgSchema = z.object({spec: z.array(z.string()).min(1)});
const {spec} = cfgSchema.parse(JSON.parse(readFileSync(new URL('.mocharc.json', root), 'utf8')));

export const mochaHooks = createKnownRedHooks({
	entries: existsSync(list) ? parseKnownRed(readFileSync(list, 'utf8')) : [],
	// Mocha appends the patterns of its configuration to the arguments.
	isWholeRun: spec.every(pattern => process.argv.includes(pattern)),
});
