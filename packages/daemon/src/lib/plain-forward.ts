/** Forwards one call to a plain service, once and never again. */
import {type Readable} from 'node:stream';
import {type FastifyInstance} from 'fastify';
import {type AcceptedDocument} from 'hickorywalk/configuration.js';
import {authenticate, type KeyRing, presentedKey} from 'hickorywalk/gateway.js';
import {forwardableHeaders} from 'hickorywalk/orders.js';
import {request} from 'undici';

/** Adds the route of plain services. */
export function addPlainForward(app: FastifyInstance, keyRing: KeyRing, current: () => AcceptedDocument | undefined): void {
	void app.register(async scope => {
		scope.removeAllContentTypeParsers();
		scope.addContentTypeParser('*', (_req, _payload, done) => {
			done(null);
		});
		scope.all('/services/:service/*', async (req, reply) => {
			const {service, '*': rest} = req.params as {service: string; '*': string};
			const {workspace} = authenticate(keyRing, req.headers);
			const endpoint = current()?.document.endpoints.find(item => item.service === service);
			if (endpoint === undefined || !workspace.services.includes(service)) {
				return reply.code(404).send();
			}

			const answer = await request(new URL(`/${rest}`, endpoint.address), {
				method: req.method as 'GET',
				headers: forwardableHeaders(req.raw.rawHeaders, presentedKey(req.headers)),
				body: req.raw as Readable,
			});
			return reply.code(answer.statusCode).type(String(answer.headers['content-type'])).send(answer.body);
		});
	});
}
