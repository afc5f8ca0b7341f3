import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {assert} from 'chai';
import {createCollectingMetrics, createMetrics} from '../../observability.js';
import {createTagLimiter} from '../../lib/observability/metrics.js';

describe('createMetrics', () => {
	it('sends counters with their tags to the agent', async () => {
		const agent = createSocket('udp4');
		agent.bind(0, '127.0.0.1');
		await once(agent, 'listening');
		const metrics = createMetrics({host: '127.0.0.1', port: agent.address().port, tags: {data_centre: 'hobart-a'}});
		const datagram = new Promise<string>(resolve => {
			agent.once('message', content => {
				resolve(content.toString());
			});
		});
		metrics.count('requests', 2, {workspace: 'school-1', result: 'answered'});
		await metrics.close();
		const text = await datagram;
		agent.close();
		assert.match(text, /^hickorywalk\.requests:2\|c\|#(?=.*data_centre:hobart-a)(?=.*workspace:school-1)(?=.*result:answered)/v);
	});

	it('accepts metrics without an agent', async () => {
		const metrics = createMetrics();
		metrics.gauge('leases', 1);
		await metrics.close();
	});

	// A caller can send a new service name with each request. Without the limit, each
	// of them grows the metrics store, which no caller notices.
	it('reports tag values beyond the limit as "other", and known ones unchanged', () => {
		const limitTags = createTagLimiter(2);
		limitTags({service: 'a'});
		limitTags({service: 'b'});
		assert.deepEqual(limitTags({service: 'made-up'}), {service: 'other'});
		assert.deepEqual(limitTags({service: 'a', workspace: 'school-1'}), {service: 'a', workspace: 'school-1'});
	});

	it('drops tags that are not on the closed list', () => {
		const metrics = createCollectingMetrics();
		const tags = {workspace: 'school-1', key: 'hw-secret'};
		metrics.count('requests', 1, tags);
		assert.deepEqual(metrics.records[0].tags, {workspace: 'school-1'});
		assert.equal(metrics.sum('requests', {workspace: 'school-1'}), 1);
	});
});
