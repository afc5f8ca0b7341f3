import {assert} from 'chai';
import {endpointAnswer} from '../../lib/orders/http-sink.js';

describe('endpointAnswer', () => {
	it('withholds what concerns the endpoint\'s connection, and an outcome that the endpoint claims', () => {
		// An endpoint that says "not run" of itself proves nothing: its caller would
		// send an order again that did run.
		const {headers} = endpointAnswer({
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
