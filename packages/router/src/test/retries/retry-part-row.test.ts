import {assert} from 'chai';
import {
	emptyRow, type PartClaim, type PartRow, renewPart, returnPart,
} from '../../lib/retries/retry-part-row.js';

const leaseMs = 60_000;
const restMs = 12_000;

const claimOf = (name: string, now: number, more: Partial<PartClaim> = {}): PartClaim => ({
	name, incarnation: 1, held: 0, total: 64, generation: 1, isFirstStart: false, now, latest: now, leaseMs, restMs, ...more,
});

const sum = ({holders, returned}: PartRow): number => [...holders, ...returned].reduce((total, {units}) => total + units, 0);

describe('renewPart', () => {
	it('gives a small part to a daemon of a fleet that starts, and a full one once those are known that started with it', () => {
		const first = renewPart(undefined, claimOf('vm-1', 0, {isFirstStart: true}));
		assert.deepInclude(first, {units: 4, holders: 1, growsAt: 2000});
		const second = renewPart(first.row, claimOf('vm-2', 100, {isFirstStart: true}));
		assert.equal(second.units, 4);
		assert.deepInclude(renewPart(second.row, claimOf('vm-1', 2000, {held: 4})), {units: 27, holders: 2, growsAt: undefined});
	});

	it('gives units out again only once their last holder can\'t have used them within a window', () => {
		// Guards against units that are used twice in a window, by a daemon and by its successor.
		const {row} = renewPart({...emptyRow, generation: 1}, claimOf('vm-1', 0, {held: 50, total: 50}));
		assert.equal(row.holders[0].units, 42);
		assert.deepEqual(row.returned, [{units: 8, at: restMs}]);
		const restarted = renewPart(row, claimOf('vm-1', 5000, {incarnation: 2, total: 50}));
		assert.equal(restarted.units, 0);
		assert.equal(restarted.growsAt, 7000);
		assert.equal(renewPart(restarted.row, claimOf('vm-1', 12_000, {incarnation: 2, total: 50})).units, 8);
		assert.equal(renewPart(restarted.row, claimOf('vm-1', 17_000, {incarnation: 2, total: 50})).units, 42);
	});

	it('keeps the part of a daemon that is silent until its lease and the rest after it have ended', () => {
		const {row} = renewPart({...emptyRow, generation: 1}, claimOf('vm-1', 0, {held: 54}));
		assert.equal(renewPart(row, claimOf('vm-2', leaseMs + restMs - 1)).units, 4);
		assert.equal(renewPart(row, claimOf('vm-2', leaseMs + restMs - 1, {held: 64})).units, 10);
		assert.equal(renewPart(row, claimOf('vm-2', leaseMs + restMs, {held: 64})).units, 54);
	});

	it('counts a unit that is returned from the latest time that the table\'s clock may show', () => {
		const {row} = renewPart({...emptyRow, generation: 1}, claimOf('vm-1', 1000, {latest: 4000, held: 64}));
		assert.deepEqual(row.returned, [{units: 10, at: 4000 + restMs}]);
	});

	for (const [name, row] of [['is missing', undefined], ['came back from an older copy', {...emptyRow, generation: 0}]] as const) {
		it(`gives no unit away for as long as parts may exist that it doesn't tell of, if the row ${name}`, () => {
			// Guards against units that have two holders after the table has lost writes.
			const renewed = renewPart(row, claimOf('vm-1', 0, {held: 3}));
			assert.equal(renewed.units, 3);
			assert.equal(renewed.growsAt, leaseMs + restMs);
			assert.equal(renewPart(renewed.row, claimOf('vm-2', leaseMs + restMs - 1)).units, 0);
			assert.equal(renewPart(renewed.row, claimOf('vm-2', leaseMs + restMs)).units, 4);
		});
	}

	it('doesn\'t give back what a daemon has returned in writes that were lost', () => {
		const {row} = renewPart({...emptyRow, generation: 1}, claimOf('vm-1', 0, {held: 51}));
		const restored = renewPart(row, claimOf('vm-2', 100, {generation: 2}));
		assert.equal(renewPart(restored.row, claimOf('vm-1', 200, {generation: 2, held: 20})).units, 20);
	});

	it('frees what was written by another clock no later than by its own', () => {
		// Guards against units that are lost for as long as the clock of a restored table is behind.
		const row: PartRow = {
			generation: 1, settledAt: 9e12, holders: [{
				name: 'vm-9', incarnation: 1, units: 30, until: 9e12,
			}], returned: [{units: 34, at: 9e12}],
		};
		const restored = renewPart(row, claimOf('vm-1', 0, {generation: 2})).row;
		assert.deepInclude(restored, {settledAt: leaseMs + restMs, returned: [{units: 34, at: restMs}]});
		assert.equal(renewPart(restored, claimOf('vm-2', leaseMs + restMs, {held: 64, generation: 2})).units, 54);
	});

	it('never counts more units than there are, whatever is renewed or returned', () => {
		let row: PartRow | undefined;
		for (let now = 0; now < 300_000; now += 5000) {
			const name = `vm-${now / 5000 % 7}`;
			const held = row?.holders.find(holder => holder.name === name)?.units ?? 0;
			({row} = renewPart(row, claimOf(name, now, {isFirstStart: true, held})));
			assert.isAtMost(sum(row), 64);
			if (now % 35_000 === 0) {
				row = returnPart(row, {
					name, incarnation: 1, held, latest: now, restMs,
				});
				assert.isAtMost(sum(row), 64);
			}
		}
	});
});
