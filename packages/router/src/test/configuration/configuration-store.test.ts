import process from 'node:process';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	ConfigurationConflictError, ConfigurationMinorityError, ConfigurationOutcomeUnknownError, createConfigurationStore, DocumentTooNewError, SectionCorruptError,
} from '../../configuration.js';
import {createFakePlatform, type Fault} from './fake-platform.js';
import {sampleDocument} from './sample-document.js';

/** Number of generated histories per property test; CI runs a small fixed set. */
const histories = Number(process.env.STATE_HISTORIES ?? 150);

async function errorOf(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
	} catch (error) {
		return error;
	}

	return undefined;
}

describe('createConfigurationStore', () => {
	it('rejects one of two concurrent changes with a conflict that lists the difference', async () => {
		// Two operators send different rates based on version 1 through two VMs at
		// once. One is accepted; the other must be shown the first one's change
		// rather than overwrite it unnoticed.
		const platform = createFakePlatform({delayMs: () => 1});
		const [firstStore, secondStore] = [createConfigurationStore({platform}), createConfigurationStore({platform})];
		await firstStore.propose(sampleDocument(1000), {expectedVersion: 0, who: 'ana'});
		const results = await Promise.allSettled([
			firstStore.propose(sampleDocument(2000), {expectedVersion: 1, who: 'ana'}),
			secondStore.propose(sampleDocument(3000), {expectedVersion: 1, who: 'ben'}),
		]);
		const rejected = results.filter(result => result.status === 'rejected');
		assert.lengthOf(rejected, 1);
		const conflict: unknown = rejected[0].reason;
		assert.instanceOf(conflict, ConfigurationConflictError);
		const accepted = await firstStore.read();
		const rate = accepted?.document.workspaces[0].tokensPerSecond;
		assert.deepEqual(conflict.theirs, [{path: 'workspaces[school-1].tokensPerSecond', before: 1000, after: rate}]);
		assert.equal(conflict.currentVersion, 2);
	});

	it('resolves a lost answer by the token of the attempt', async () => {
		// The table applies the write, but its answer is lost. Reporting a failure
		// would be wrong, and writing it again as a new version would undo changes
		// of others.
		const platform = createFakePlatform();
		let losses = 1;
		const store = createConfigurationStore({platform: {...platform, ...platform.withFaults(kind => kind === 'write' && platform.writes === 3 && losses-- > 0 ? 'lost' : 'none')}});
		const {version} = await store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'});
		assert.equal(version, 1);
		assert.equal(losses, 0);
		assert.lengthOf(await store.listRecords(0, 10), 1);
	});

	it('reports an unknown outcome when a lost answer can\'t be resolved, and the outcome on a later query', async () => {
		const platform = createFakePlatform();
		let down = false;
		const store = createConfigurationStore({
			platform: platform.withFaults(kind => {
				const fault = down ? 'down' : (kind === 'write' && platform.writes === 3 ? 'lost' : 'none');
				down ||= fault === 'lost';
				return fault;
			}),
		});
		const error = await errorOf(store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'}));
		assert.instanceOf(error, ConfigurationOutcomeUnknownError);
		down = false;
		assert.equal(await store.outcomeOf(error.version, error.token), 'accepted');
	});

	it('never reports an accepted version as refused, nor a refused one as accepted', async () => {
		// Concurrent operators, while answers are lost and the platform fails on any
		// call. Each result must be correct or unknown, and versions have no gaps.
		await fc.assert(fc.asyncProperty(
			fc.array(fc.constantFrom<Fault>('none', 'none', 'none', 'lost', 'down'), {maxLength: 60}),
			fc.array(fc.nat(2), {minLength: 2, maxLength: 8}),
			async (faults, rounds) => {
				const platform = createFakePlatform();
				let tokens = 0;
				const reported = new Map<string, 'accepted' | 'refused' | 'unknown'>();
				const fault = () => faults.pop() ?? 'none';
				await Promise.all(rounds.map(async (_, index) => {
					let token = '';
					const store = createConfigurationStore({
						platform: platform.withFaults(fault),
						versionsPerBase: 2,
						createToken() {
							token = String(tokens++);
							return token;
						},
					});
					for (let attempt = 0; attempt < 3; attempt++) {
						token = '';
						const expectedVersion = [...platform.rows.keys()].filter(key => key.startsWith('configuration/history/')).length;
						const error = await errorOf(store.propose(sampleDocument(1000 + (index * 10) + attempt), {expectedVersion, who: 'ana'}));
						reported.set(token, error === undefined ? 'accepted' : (error instanceof ConfigurationOutcomeUnknownError ? 'unknown' : 'refused'));
					}
				}));
				const records = await createConfigurationStore({platform: platform.withFaults(() => 'none')}).listRecords(0, 1000);
				const accepted = new Set(records.map(record => record.token));
				assert.deepEqual(records.map(record => record.version), records.map((_, index) => index + 1));
				for (const [token, outcome] of reported) {
					if (token !== '' && outcome !== 'unknown') {
						assert.equal(accepted.has(token), outcome === 'accepted', `token ${token}`);
					}
				}
			},
		), {seed: 1, numRuns: histories});
	});

	it('refuses a layout that some daemon does not support before writing anything', async () => {
		// During an upgrade only some daemons support the newer layout. The others
		// could not bring the document into force and would stay on an old version.
		const platform = createFakePlatform();
		const store = createConfigurationStore({platform, oldestLayout: () => 0});
		assert.instanceOf(await errorOf(store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'})), DocumentTooNewError);
		assert.equal(platform.writes, 0);
	});

	it('refuses a change through a daemon that receives heartbeats from no majority', async () => {
		// Daemons with a majority go on serving while they can't reach the store.
		// That is safe only if no change is accepted without a majority.
		const store = createConfigurationStore({platform: createFakePlatform(), reach: () => ({heard: 4, listed: 8, newestVersion: 0})});
		assert.instanceOf(await errorOf(store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'})), ConfigurationMinorityError);
	});

	it('rejects a damaged object when it loads a version', async () => {
		const platform = createFakePlatform();
		const store = createConfigurationStore({platform});
		await store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'});
		for (const name of platform.blobs.keys()) {
			platform.blobs.set(name, new TextEncoder().encode('{"changed":{},"removed":[]}'));
		}

		const error = await errorOf(createConfigurationStore({platform}).read());
		assert.instanceOf(error, SectionCorruptError);
		assert.match(error.message, /is damaged/v);
	});

	it('loads any version from its base and deltas', async () => {
		const platform = createFakePlatform();
		const store = createConfigurationStore({platform, versionsPerBase: 3});
		for (let version = 0; version < 8; version++) {
			await store.propose(sampleDocument(1000 + version), {expectedVersion: version, who: 'ana'});
		}

		for (const record of await store.listRecords(0, 100)) {
			const {set} = await createConfigurationStore({platform}).load(record);
			assert.equal(set.document.workspaces[0].tokensPerSecond, 999 + record.version);
		}
	});
});
