import process from 'node:process';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	ConfigurationConflictError, ConfigurationMinorityError, ConfigurationOutcomeUnknownError, createConfigurationStore, DocumentTooNewError, SectionCorruptError,
} from '../../configuration.js';
import {createFakePlatform, type Fault} from './fake-platform.js';
import {sampleDocument} from './sample-document.js';

/** How many histories each property is tried on; CI runs a small fixed set. */
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
	it('gives one of two racing operators a conflict with the difference', async () => {
		// Two operators start from version 1 and send different rates through two
		// VMs at once. One is accepted; the other must see what the first changed
		// rather than overwrite it unseen.
		const platform = createFakePlatform({delayMs: () => 1});
		const [one, two] = [createConfigurationStore({platform}), createConfigurationStore({platform})];
		await one.propose(sampleDocument(1000), {expectedVersion: 0, who: 'ana'});
		const results = await Promise.allSettled([
			one.propose(sampleDocument(2000), {expectedVersion: 1, who: 'ana'}),
			two.propose(sampleDocument(3000), {expectedVersion: 1, who: 'ben'}),
		]);
		const lost = results.filter(result => result.status === 'rejected');
		assert.lengthOf(lost, 1);
		const conflict: unknown = lost[0].reason;
		assert.instanceOf(conflict, ConfigurationConflictError);
		const accepted = await one.read();
		const rate = accepted?.document.workspaces[0].tokensPerSecond;
		assert.deepEqual(conflict.theirs, [{path: 'workspaces[school-1].tokensPerSecond', before: 1000, after: rate}]);
		assert.equal(conflict.currentVersion, 2);
	});

	it('settles a lost answer by its own token', async () => {
		// The table takes the write and its answer is lost. Saying "failed" would
		// be untrue, and writing again as a new version would undo others' changes.
		const platform = createFakePlatform();
		let losses = 1;
		const store = createConfigurationStore({platform: {...platform, ...platform.through(kind => kind === 'write' && platform.writes === 3 && losses-- > 0 ? 'lost' : 'none')}});
		const {version} = await store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'});
		assert.equal(version, 1);
		assert.equal(losses, 0);
		assert.lengthOf(await store.listRecords(0, 10), 1);
	});

	it('says that the outcome is unknown when the answer stays lost, and tells it later', async () => {
		const platform = createFakePlatform();
		let down = false;
		const store = createConfigurationStore({
			platform: platform.through(kind => {
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

	it('never says "refused" of a version that was accepted, nor "accepted" of one that was not', async () => {
		// Operators race while answers get lost and the service goes down between
		// any two calls. Each is told the truth or "unknown"; versions have no gap.
		await fc.assert(fc.asyncProperty(
			fc.array(fc.constantFrom<Fault>('none', 'none', 'none', 'lost', 'down'), {maxLength: 60}),
			fc.array(fc.nat(2), {minLength: 2, maxLength: 8}),
			async (faults, rounds) => {
				const platform = createFakePlatform();
				let tokens = 0;
				const told = new Map<string, 'accepted' | 'refused' | 'unknown'>();
				const fault = () => faults.pop() ?? 'none';
				await Promise.all(rounds.map(async (_, index) => {
					let token = '';
					const store = createConfigurationStore({
						platform: platform.through(fault),
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
						told.set(token, error === undefined ? 'accepted' : (error instanceof ConfigurationOutcomeUnknownError ? 'unknown' : 'refused'));
					}
				}));
				const records = await createConfigurationStore({platform: platform.through(() => 'none')}).listRecords(0, 1000);
				const accepted = new Set(records.map(record => record.token));
				assert.deepEqual(records.map(record => record.version), records.map((_, index) => index + 1));
				for (const [token, outcome] of told) {
					if (token !== '' && outcome !== 'unknown') {
						assert.equal(accepted.has(token), outcome === 'accepted', `token ${token}`);
					}
				}
			},
		), {seed: 1, numRuns: histories});
	});

	it('refuses a layout that some daemon does not know, before it is accepted', async () => {
		// During an upgrade one daemon knows more than the others. Accepting a
		// document that the rest can't bring into force would leave them behind.
		const platform = createFakePlatform();
		const store = createConfigurationStore({platform, oldestLayout: () => 0});
		assert.instanceOf(await errorOf(store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'})), DocumentTooNewError);
		assert.equal(platform.writes, 0);
	});

	it('refuses a change through a daemon that hears no majority', async () => {
		// Daemons that hear a majority serve on while the store is out of their
		// reach. That is safe only if nobody commits without a majority.
		const store = createConfigurationStore({platform: createFakePlatform(), reach: () => ({heard: 4, listed: 8, newestVersion: 0})});
		assert.instanceOf(await errorOf(store.propose(sampleDocument(), {expectedVersion: 0, who: 'ana'})), ConfigurationMinorityError);
	});

	it('does not take a damaged object for a version', async () => {
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

	it('loads any version from bases and changes', async () => {
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
