import {assert} from 'chai';
import {createCallerHead} from '../../lib/orders/http-sink.js';

describe('createCallerHead', () => {
	it('removes hop-by-hop headers, and an outcome header set by the endpoint', () => {
		// A "not run" set by the endpoint proves nothing, and the caller would repeat
		// an order that did run.
		const {headers} = createCallerHead({
			status: 200, headers: [
				'Connection',
				'X-Hop',
				'X-Hop',
				'1',
				'Keep-Alive',
				'5',
				'Transfer-Encoding',
				'chunked',
				'X-Call-Outcome',
				'not_run',
				'X-Request-Id',
				'r-1',
				'Set-Cookie',
				'a=1',
				'Set-Cookie',
				'b=2',
				'Trailer',
				'x-sum',
			],
		});
		assert.deepEqual(headers, ['Set-Cookie', 'a=1', 'Set-Cookie', 'b=2', 'Trailer', 'x-sum', 'x-call-outcome', 'answered']);
	});
});
