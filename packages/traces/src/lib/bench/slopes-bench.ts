/**
 * Measures slopes: `npm run bench -- slopes [--write] [WORDS]`. Prints one JSON
 * line for each; `--write` makes the tables of docs/CAPACITY.md anew. With
 * words, only the roles that contain one are measured, and nothing is written.
 */
import process from 'node:process';
import {measureSlope, type Slope} from '../capacity/measure.js';
import {slopeDefinitions} from '../capacity/slopes.js';
import {writeCapacityPage} from '../capacity/write-page.js';

export async function runSlopesBench(args: string[]): Promise<void> {
	const baseBytes = process.memoryUsage().rss;
	console.log(JSON.stringify({
		role: 'process', cost: 'resident before any work', per: 'process', slope: baseBytes, unit: 'bytes', residual: 0,
	}));
	const words = args.filter(arg => !arg.startsWith('--'));
	const slopes: Slope[] = [];
	for (const definition of slopeDefinitions) {
		if (words.length > 0 && !words.some(word => definition.role.includes(word))) {
			continue;
		}

		const slope = await measureSlope(definition);
		slopes.push(slope);
		console.log(JSON.stringify(slope));
	}

	if (args.includes('--write') && words.length === 0) {
		await writeCapacityPage(slopes, baseBytes);
	}
}
