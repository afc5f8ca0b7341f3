/** Serves the console's static files under a strict content security policy. */
import {readFile} from 'node:fs/promises';
import {type FastifyInstance} from 'fastify';

const directory = new URL('../../../console/', import.meta.url);

const files = {
	'/console/': {name: 'index.html', type: 'text/html; charset=utf-8'},
	'/console/console.css': {name: 'console.css', type: 'text/css; charset=utf-8'},
	'/console/console.js': {name: 'console.js', type: 'text/javascript; charset=utf-8'},
	'/console/merge.js': {name: 'merge.js', type: 'text/javascript; charset=utf-8'},
	'/console/schema-form.js': {name: 'schema-form.js', type: 'text/javascript; charset=utf-8'},
} as const;

/**
 * Guards against stored cross-site scripting: names in the document come from
 * operators, and markup in a name must not run in the browser of another
 * operator, who may have the role `change`. The console inserts names as text;
 * if it ever fails to, this policy still blocks inline scripts and other hosts.
 */
const contentPolicy = [
	'default-src \'none\'',
	'script-src \'self\'',
	'style-src \'self\'',
	'connect-src \'self\'',
	'form-action \'none\'',
	'base-uri \'none\'',
	'frame-ancestors \'none\'',
	'require-trusted-types-for \'script\'',
].join('; ');

/** Adds the console's routes, which need no key: the files contain no secret, and the API requires the operator's key. */
export function addConsole(app: FastifyInstance): void {
	app.get('/', async (_req, reply) => reply.redirect('/console/'));
	app.get('/console', async (_req, reply) => reply.redirect('/console/'));
	for (const [path, {name, type}] of Object.entries(files)) {
		app.get(path, async (_req, reply) => {
			const content = await readFile(new URL(name, directory));
			return reply.header('content-security-policy', contentPolicy).type(type).send(content);
		});
	}
}
