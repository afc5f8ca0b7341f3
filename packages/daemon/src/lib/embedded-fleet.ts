/** A small fleet in one process for the demo and for tests: stand-ins, daemons and a configuration document. */
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type EngineStandin, type PlatformStandin, type ServiceStandin, startEngineStandin, startPlatformStandin, startServiceStandin,
} from '@hickorywalk/standins';
import {type z} from 'zod';
import {createConfigurationStore, type documentSchema} from 'hickorywalk/configuration.js';
import {createHttpPlatform, type VmEntry} from 'hickorywalk/platform.js';
import {type Daemon, startDaemon} from './daemon.js';
import {parseSettings, type settingsSchema} from './settings.js';

/** A configuration document before defaults are applied. */
export type DocumentInput = z.input<typeof documentSchema>;

/** Options of {@link startEmbeddedFleet}. */
export type EmbeddedFleetOptions = {
	/** Options of each engine stand-in; one is started per entry. */
	engines: Array<Parameters<typeof startEngineStandin>[0]>;
	/** Names of the plain services to start, each with one endpoint. */
	services?: string[];
	/** Number of daemons to start. */
	daemons: number;
	/** Settings of the daemons that override the defaults. */
	settings?: Partial<z.input<typeof settingsSchema>>;
	/** Milliseconds between the start of the daemons and their appearance in the platform's VM list; 0 by default. */
	listLagMs?: number;
	/** Edits the document before it is first accepted. */
	edit?: (document: DocumentInput) => void;
};

/** A running fleet. */
export type EmbeddedFleet = {
	platform: PlatformStandin;
	engines: EngineStandin[];
	services: ServiceStandin[];
	daemons: Daemon[];
	/** A valid key of each workspace, by the workspace's name. */
	keys: Record<string, string>;
	/** Edits the document and has it accepted as the next version. */
	change: (edit: (document: DocumentInput) => void) => Promise<void>;
	stop: () => Promise<void>;
};

/** Names of the workspaces in the document of a fleet. */
export const embeddedWorkspaces = ['school-1', 'school-2'] as const;

const dataCentre = 'hobart-a';

/** Starts a fleet and resolves once every daemon is ready. */
export async function startEmbeddedFleet(options: EmbeddedFleetOptions): Promise<EmbeddedFleet> {
	const platform = await startPlatformStandin();
	const engines = await Promise.all(options.engines.map(async settings => startEngineStandin(settings)));
	const services = await Promise.all((options.services ?? []).map(async () => startServiceStandin()));
	const keys = Object.fromEntries(embeddedWorkspaces.map(name => [name, `hw-demo-key-of-${name}`]));
	const document = describeFleet(engines, services, options.services ?? [], keys);
	options.edit?.(document);
	const client = createHttpPlatform({baseUrl: platform.url});
	const store = createConfigurationStore({platform: client});
	let version = 0;
	const accept = async () => {
		({version} = await store.propose(document, {expectedVersion: version, who: 'embedded-fleet'}));
	};

	await accept();
	const daemons: Daemon[] = [];
	for (let index = 0; index < options.daemons; index++) {
		daemons.push(await startDaemon(parseSettings({
			name: `router-${index}`,
			dataCentre,
			platform: {url: platform.url},
			fleetSecret: 'the-secret-of-an-embedded-fleet',
			drainMs: 1,
			fewestWarmUpMs: 0,
			logLevel: 'error',
			...options.settings,
		}, 'embedded settings')));
	}

	await delay(options.listLagMs ?? 0);
	platform.memory.setVms([
		...daemons.map(({name, peerAddress}) => describeVm(name, 'entry', peerAddress)),
		...(document.endpoints ?? []).map(({vm}) => describeVm(vm, 'endpoint', '')),
	]);
	await Promise.all(daemons.map(async daemon => daemon.ready()));

	return {
		platform,
		engines,
		services,
		daemons,
		keys,
		async change(edit) {
			edit(document);
			await accept();
		},
		async stop() {
			await Promise.all(daemons.map(async daemon => daemon.stop()));
			await client.close();
			await Promise.all([...engines, ...services, platform].map(async standin => standin.close()));
		},
	};
}

function describeFleet(engines: EngineStandin[], services: ServiceStandin[], names: string[], keys: Record<string, string>): DocumentInput {
	const models = [...new Set(engines.map(engine => engine.state().model))];
	return {
		layout: 1,
		dataCentres: [{name: dataCentre, region: 'tasmania'}],
		workspaces: embeddedWorkspaces.map(name => ({
			name,
			keys: [{id: `${name}-a`, digest: createHash('sha256').update(keys[name]).digest('hex')}],
			tokensPerSecond: 100_000,
			burstTokens: 1_000_000,
			services: [...models, ...names],
		})),
		services: [
			...models.map(model => ({
				kind: 'model' as const, name: model, model, version: 'w1',
			})),
			...names.map(name => ({kind: 'plain' as const, name})),
		],
		endpoints: [
			...engines.map((engine, index) => describeEndpoint(engine.state().model, index, engine.url)),
			...services.map((service, index) => describeEndpoint(names[index], index, service.url)),
		],
	};
}

function describeVm(name: string, role: 'entry' | 'endpoint', address: string): VmEntry {
	return {
		name, role, dataCentre, address, state: 'live',
	};
}

function describeEndpoint(service: string, index: number, address: string) {
	return {
		name: `${service}-${index}`, service, vm: `vm-${service}-${index}`, dataCentre, address,
	};
}
