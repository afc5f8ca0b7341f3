/**
 * Generated histories that failed before, unchanged. The first spent 1,084 tokens
 * too many: tokens returned after the end of their holder's lease were issued
 * twice. In the second the full burst never became available again: a claim
 * without a waiting request was repeated forever.
 */
export const failedHistories = [
	{
		seed: -2_147_483_634, trusting: true, steps: [{kind: 'advance', ms: 60}, {kind: 'flood', tokens: 1998, usedShare: 0}, {
			kind: 'ask', name: 'd', tokens: 301, longestWaitMs: 1000, usedShare: 1.5, settleAfterMs: 4141,
		}, {kind: 'advance', ms: 60_000}, {kind: 'table', fault: 'down'}, {kind: 'flood', tokens: 2040, usedShare: 0}, {kind: 'advance', ms: 10_000}, {
			kind: 'ask', name: 'c', tokens: 299, longestWaitMs: 100, usedShare: 1, settleAfterMs: 1781,
		}, {kind: 'flood', tokens: 2885, usedShare: 0}, {kind: 'resume', name: 'b'}, {kind: 'advance', ms: 10_000}, {kind: 'advance', ms: 60}, {
			kind: 'links', lost: 0.5, doubled: 0.3, mostMs: 50,
		}, {kind: 'herd', remaining: ['b', 'c', 'd']}, {
			kind: 'ask', name: 'c', tokens: 4809, longestWaitMs: 5000, usedShare: 0.3, settleAfterMs: 2690,
		}, {kind: 'oversleep', name: 'b', tokens: 1395}, {
			kind: 'ask', name: 'b', tokens: 5793, longestWaitMs: 1000, usedShare: 0, settleAfterMs: 2809,
		}],
	},
	{
		seed: -1_972_967_368, trusting: true, steps: [{kind: 'advance', ms: 60},
			{kind: 'advance', ms: 2500},
			{kind: 'advance', ms: 3},
			{
				kind: 'links', lost: 0.5, doubled: 0, mostMs: 40_000,
			},
			{kind: 'advance', ms: 1},
			{
				kind: 'ask', name: 'd', tokens: 2595, longestWaitMs: 5000, usedShare: 1, settleAfterMs: 7144,
			},
			{kind: 'advance', ms: 400},
			{kind: 'advance', ms: 7},
			{kind: 'flood', tokens: 980, usedShare: 0},
			{kind: 'flood', tokens: 1444, usedShare: 0},
			{kind: 'table', fault: 'down'},
			{kind: 'advance', ms: 400},
			{kind: 'flood', tokens: 1169, usedShare: 0},
			{kind: 'flood', tokens: 1871, usedShare: 0},
			{
				kind: 'ask', name: 'c', tokens: 5255, longestWaitMs: 5000, usedShare: 1, settleAfterMs: 1593,
			},
			{
				kind: 'ask', name: 'a', tokens: 1935, longestWaitMs: 100, usedShare: 0, settleAfterMs: 3998,
			},
			{
				kind: 'ask', name: 'd', tokens: 3150, longestWaitMs: 100, usedShare: 0, settleAfterMs: 1078,
			},
			{kind: 'table', fault: 'none'}],
	},
];
