import {assert} from 'chai';
import {type PlainService} from '../../configuration.js';
import {classifyRoute} from '../../orders.js';

const service: PlainService = {
	kind: 'plain',
	name: 'orderdesk',
	routes: [
		{method: 'POST', path: '/prices/*', idempotent: true},
		{method: 'GET', path: '/next-number', idempotent: false},
	],
};

describe('classifyRoute', () => {
	const rows = [
		['POST', '/prices/7', 'idempotent'],
		['POST', '/prices/7?a=/b', 'idempotent'],
		['POST', '/prices/7/8', 'once'],
		['POST', '/prices', 'once'],
		['PUT', '/prices/7', 'once'],
		['GET', '/next-number', 'once'],
		['GET', '/orders', 'idempotent'],
		['HEAD', '/orders', 'idempotent'],
		['OPTIONS', '/orders', 'idempotent'],
		['DELETE', '/orders', 'once'],
	];
	for (const [method, path, kind] of rows) {
		it(`classifies ${method} ${path} as ${kind}`, () => {
			assert.equal(classifyRoute(service, method, path), kind);
		});
	}
});
