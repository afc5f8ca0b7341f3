/** A plain service that places orders and counts how often each one ran. */
import fastify from 'fastify';

/** A running service. */
export type ServiceStandin = {
	url: string;
	/** Executions by request id. */
	executions: Map<string, number>;
	close: () => Promise<void>;
};

/** Starts a service. */
export async function startServiceStandin(options: {host?: string; port?: number} = {}): Promise<ServiceStandin> {
	const executions = new Map<string, number>();
	const app = fastify();
	app.post('/orders', async req => {
		const id = String(req.headers['x-request-id']);
		executions.set(id, (executions.get(id) ?? 0) + 1);
		return {placed: req.body};
	});
	const url = await app.listen({host: options.host ?? '127.0.0.1', port: options.port ?? 0});
	return {
		url,
		executions,
		async close() {
			await app.close();
		},
	};
}
