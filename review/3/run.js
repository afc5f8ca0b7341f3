/** Case 3. A daemon is stopped as planned while it passes on streams that have neither a length nor chunks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../standins/client.js';
import {hasTrouble, requestFor, runCase} from '../standins/case.js';
import {startReplica} from '../standins/replica.js';

const daemons = 6;
const replicas = 4;
const pieces = 60;
/** A stream takes 12 s, within the 15 s of its route and client. */
const pieceMs = 200;
const streams = 12;

await runCase(import.meta.dirname, daemons, async ({store, record, closers, startFleet, report}) => {
	for (let index = 0; index < replicas; index++) {
		const replica = await startReplica({
			id: `i-engines-${index}`, service: 'engines', model: 'm1', store, record, isUnframed: true, pieces, pieceMs,
		});
		closers.push(replica.close);
	}

	const fleet = await startFleet();
	const answers = Array.from({length: streams}, async (_, index) => {
		const attempt = `s-${index}`;
		const route = index % 2 === 0 ? 'words' : 'check';
		record(`client sends ${attempt} on ${route}`);
		const answer = await call({...fleet.target(0), ...requestFor(route, attempt)});
		const got = answer.text.split('piece ').length - 1;
		record(`client got ${attempt}: status ${answer.status}, ${got} of ${pieces} pieces, ${answer.isComplete ? 'complete' : 'broken off'}`);
		return {attempt, got, ...answer};
	});
	await sleep(1500);
	if (hasTrouble) {
		// One machine of six.
		await fleet.stop(0);
	}

	const broken = [];
	for (const {attempt, status, isComplete, got} of await Promise.all(answers)) {
		if (status === 200 && isComplete && got !== pieces) {
			broken.push(`${attempt} got a complete stream with ${got} of ${pieces} events`);
		}
	}

	report(broken);
});
