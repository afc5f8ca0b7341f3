import {assert} from 'chai';
import {explainRequest} from '../lib/explain.js';

const line = (time: number, message: string, context: Record<string, unknown>) => `12.3 vm ${JSON.stringify({time, message, context})}`;

describe('explainRequest', () => {
	it('lists the lines about a request in order of time, with earlier lines about its endpoint', () => {
		const lines = [
			line(1100, '[entry] Request ended.', {
				vm: 'vm-1', requestId: 'r1', endpoint: 'e1', status: 502, result: 'endpoint_failed', ms: 100,
			}),
			line(1090, '[entry] Endpoint failed a request.', {
				vm: 'vm-1', requestId: 'r1', endpoint: 'e1', reason: 'reset', ms: 80,
			}),
			line(500, '[entry] Endpoint is leaving.', {vm: 'vm-1', endpoint: 'e1'}),
			line(600, '[entry] Endpoint is leaving.', {vm: 'vm-1', endpoint: 'e2'}),
			line(1050, '[entry] Request ended.', {
				vm: 'vm-2', requestId: 'r2', endpoint: 'e1', status: 200,
			}),
			'a line of another program',
		];
		const relatedLines = explainRequest(lines, 'r1');
		assert.lengthOf(relatedLines, 3);
		assert.match(relatedLines[0], /^-500 ms {2}vm-1 \[entry\] Endpoint is leaving/v);
		assert.match(relatedLines[1], /reason=reset/v);
		assert.match(relatedLines[2], /result=endpoint_failed/v);
	});

	it('lists the crashes for which a request was refused, with the daemon that saw them and their age', () => {
		const lines = [
			line(100, '[entry] Endpoint failed a request.', {
				vm: 'vm-2', requestId: 'r0', digest: 'd1', endpoint: 'e1', reason: 'reset', ms: 80,
			}),
			line(110, '[entry] Request ended.', {
				vm: 'vm-2', requestId: 'r0', digest: 'd1', status: 502,
			}),
			line(500, '[entry] Endpoint crashed under a refused request.', {
				vm: 'vm-3', digest: 'd1', endpoint: 'e1', peer: 'vm-2', ms: 400,
			}),
			line(90_000, '[entry] Request ended.', {
				vm: 'vm-1', requestId: 'r1', digest: 'd1', status: 503, result: 'crashes_endpoints', ms: 1,
			}),
			line(90_500, '[entry] Refused request is sent once.', {vm: 'vm-1', digest: 'd1'}),
		];
		const relatedLines = explainRequest(lines, 'r1');
		assert.lengthOf(relatedLines, 3);
		assert.match(relatedLines[0], /vm-2 .*endpoint=e1 reason=reset/v);
		assert.match(relatedLines[1], /vm-3 .*peer=vm-2 ms=400/v);
		assert.match(relatedLines[2], /result=crashes_endpoints/v);
	});

	it('is empty if no line is about the request', () => {
		assert.deepEqual(explainRequest([], 'r1'), []);
	});
});
