/** Serves the console: fixed files of this package, under a strict content policy. */
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
 * Names in the document come from operators, and a name that looks like markup
 * must not run in another operator's browser, who may have the role `change`.
 * The script puts names in as text; should it ever fail to, this policy keeps
 * inline scripts and foreign hosts out all the same.
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

/** Adds the console's routes. The files hold no secret; the API asks for the operator's key. */
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
