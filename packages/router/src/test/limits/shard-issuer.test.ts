import {assert} from 'chai';
import {create} from '@bufbuild/protobuf';
import FakeTimers from '@sinonjs/fake-timers';
import {
	type ShareGrant, ShareGrantSchema, type ShareWish, ShareWishSchema,
} from '../../links.js';
import {createHeldShare, prepareWish} from '../../lib/limits/held-share.js';
import {defaultLimiterSettings} from '../../lib/limits/limiter-settings.js';
import {createLivenessEvidence} from '../../lib/limits/liveness-evidence.js';
import {createShareHolder} from '../../lib/limits/share-holder.js';
import {createShardIssuer} from '../../lib/limits/shard-issuer.js';

const workspace = 'school-1';

function wish(figures: Partial<{sequence: number; burst: number; claim: number; quiet: boolean; returned: number; applied: number}>) {
	return create(ShareWishSchema, {
		workspace, generation: 1, ...figures, first: figures.claim ?? 0,
	});
}

const nothing = () => undefined;
const silentOutbox = {
	wish: nothing, report: nothing, grant: nothing, notice: nothing, call: nothing, flush: nothing,
};

function startIssuer() {
	const grants: ShareGrant[] = [];
	const issuer = createShardIssuer({
		shard: 0,
		generation: 1,
		name: 'a',
		holders: [],
		inherited: new Map([[workspace, 1000]]),
		leaseEnd: Number.POSITIVE_INFINITY,
		settings: defaultLimiterSettings,
		evidence: createLivenessEvidence(defaultLimiterSettings),
		outbox: {
			...silentOutbox,
			grant(_to, _incarnation, grant) {
				grants.push(grant);
			},
		},
		run: nothing,
	});
	issuer.setLimit({name: workspace, tokensPerSecond: 1000, burstTokens: 1000}, false);
	return {issuer, grants};
}

describe('createShareHolder', () => {
	it('ignores a grant of an issuer that has been replaced', async () => {
		// The daemon reported to the new issuer that it holds nothing; then the old
		// issuer's answer arrives. Its tokens may have been issued again.
		const limit = {name: workspace, tokensPerSecond: 1000, burstTokens: 1000};
		const issuer = {generation: 1, issuer: 'old'};
		const holder = createShareHolder({
			settings: defaultLimiterSettings,
			outbox: silentOutbox,
			limitOf: () => limit,
			issuerOf: () => issuer,
			run: nothing,
		});
		await holder.reserve(workspace, 500, 0);
		holder.tick();
		issuer.generation = 2;
		holder.report(0);
		holder.applyGrant(create(ShareGrantSchema, {
			workspace, generation: 1, sequence: 1, burst: 800, tokens: 800,
		}));
		const result = await holder.reserve(workspace, 500, 0);
		assert.isFalse(result.granted);
		holder.close();
	});
});

describe('createShareHolder after deleting a share', () => {
	it('does not cause spent tokens to be credited again', async () => {
		// Tokens were granted and spent, the lease ended unnoticed by the issuer, and
		// the empty share was deleted. If the next wish reported the grant as not
		// applied, the issuer would return its tokens to the reserve.
		const clock = FakeTimers.install();
		const wishes: ShareWish[] = [];
		const holder = createShareHolder({
			settings: defaultLimiterSettings,
			outbox: {
				...silentOutbox,
				wish(_to, next) {
					wishes.push(next);
				},
			},
			limitOf: () => ({name: workspace, tokensPerSecond: 1000, burstTokens: 1000}),
			issuerOf: () => ({generation: 1, issuer: 'a'}),
			run: nothing,
		});
		const asked = holder.reserve(workspace, 500, 1000);
		holder.applyGrant(create(ShareGrantSchema, {
			workspace, generation: 1, sequence: 1, burst: 500, tokens: 500,
		}));
		const result = await asked;
		if (!result.granted) {
			assert.fail('the grant was not applied');
		}

		result.reservation.settle(500);
		clock.tick(defaultLimiterSettings.leaseMs);
		holder.tick();
		void holder.reserve(workspace, 500, 1000);
		assert.isAbove(wishes.length, 1);
		assert.isAtLeast(wishes.at(-1)?.applied ?? 0, 1);
		holder.close();
		clock.uninstall();
	});
});

describe('createShardIssuer', () => {
	it('ignores an older wish that arrives late', () => {
		// A daemon held nothing, then got 600 tokens. Its earlier wish arrives again:
		// taken for the latest, it would free these tokens for other daemons.
		const clock = FakeTimers.install();
		const {issuer, grants} = startIssuer();
		const origin = {name: 'b', incarnation: 1n};
		issuer.takeWish(origin, wish({sequence: 1, quiet: true}));
		issuer.takeWish(origin, wish({sequence: 2, claim: 600}));
		issuer.takeWish(origin, wish({sequence: 3, burst: 600}));
		issuer.takeWish(origin, wish({sequence: 1, quiet: true}));
		clock.tick(10_000);
		issuer.takeWish({name: 'c', incarnation: 1n}, wish({sequence: 1, claim: 401}));
		assert.deepEqual(grants.map(grant => grant.tokens), [600, 0]);
		issuer.takeWish({name: 'c', incarnation: 1n}, wish({sequence: 2, claim: 400}));
		assert.deepEqual(grants.map(grant => grant.tokens), [600, 0, 400]);
		issuer.stop();
		issuer.takeWish({name: 'd', incarnation: 1n}, wish({sequence: 1}));
		assert.equal(grants.length, 3);
		clock.uninstall();
	});

	it('credits no tokens returned by a holder whose lease has ended', () => {
		// A daemon returns tokens, and the message arrives long after the end of its
		// lease, when the tokens have been issued again and spent. Crediting them
		// would let them be spent twice.
		const clock = FakeTimers.install();
		const {issuer, grants} = startIssuer();
		const origin = {name: 'b', incarnation: 1n};
		issuer.takeWish(origin, wish({sequence: 1, claim: 600}));
		clock.tick(defaultLimiterSettings.leaseMs + defaultLimiterSettings.marginMs);
		issuer.tick();
		clock.tick(1000);
		issuer.takeWish({name: 'c', incarnation: 1n}, wish({sequence: 1, claim: 1000}));
		issuer.takeWish({name: 'c', incarnation: 1n}, wish({sequence: 2, quiet: true, applied: 1}));
		issuer.takeWish(origin, wish({
			sequence: 2, returned: 600, applied: 1, quiet: true,
		}));
		issuer.takeWish({name: 'd', incarnation: 1n}, wish({sequence: 1, claim: 600}));
		assert.deepEqual(grants.map(grant => grant.tokens), [600, 1000]);
		issuer.stop();
		clock.uninstall();
	});

	it('keeps burst capacity for returned tokens in flight', () => {
		// While returned tokens are in flight, the share could grow into their
		// capacity: both could then be spent on top of a full reserve.
		const share = createHeldShare(workspace, 0, 0);
		share.level = {
			rate: 240, burst: 1000, tokens: 1000, at: 0,
		};
		share.demand = 200;
		share.lastAskedAt = 0;
		share.leaseEnd = Number.POSITIVE_INFINITY;
		const figures = prepareWish(share, defaultLimiterSettings, 0);
		assert.isAbove(figures.returned, 0);
		assert.isAtMost(share.level.burst + figures.returned, 1000);
	});
});
