/**
 * Case 2. The replicas are brittle, so that each request goes through the daemon that guards its replica, and their
 * answers have neither a length nor chunks. A daemon is killed while it passes answers on to another one.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../standins/client.js';
import {hasTrouble, requestFor, runCase} from '../standins/case.js';
import {startReplica} from '../standins/replica.js';

const daemons = 6;
const pieces = 20;
const requests = 24;

await runCase(import.meta.dirname, daemons, async ({store, record, closers, startFleet, report}) => {
	for (let index = 0; index < 4; index++) {
		for (const [service, model] of [['desk', undefined], ['engines', 'm1']]) {
			const replica = await startReplica({
				id: `i-${service}-${index}`, service, model, store, record, isBrittle: true, isUnframed: true, pieces,
			});
			closers.push(replica.close);
		}
	}

	const fleet = await startFleet();
	const send = async (route, attempt) => {
		record(`client sends ${attempt} on ${route}`);
		const answer = await call({...fleet.target(0), ...requestFor(route, attempt)});
		const got = answer.text.split('piece ').length - 1;
		record(`client got ${attempt}: status ${answer.status}, ${got} of ${pieces} pieces, ${answer.isComplete ? 'complete' : 'broken off'}`);
		return {
			attempt, route, got, ...answer,
		};
	};

	// Their answers tell the daemon that the replicas are brittle.
	await Promise.all(['look', 'words', 'check'].map(async route => send(route, `first-${route}`)));
	await sleep(3500);

	const answers = ['look', 'words', 'check'].flatMap(route => Array.from({length: requests / 3}, async (_, index) => send(route, `${route}-${index}`)));
	await sleep(900);
	if (hasTrouble) {
		// One machine of six.
		fleet.kill(5);
	}

	const broken = [];
	for (const {attempt, status, isComplete, got} of await Promise.all(answers)) {
		if (status === 200 && isComplete && got !== pieces) {
			broken.push(`${attempt} got a complete answer 200 with ${got} of ${pieces} pieces`);
		}
	}

	report(broken);
});
