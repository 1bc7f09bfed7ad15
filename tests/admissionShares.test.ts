/**
 * Guards against a burst of the least urgent streams that fills the capacity which the most urgent ones need a second
 * later: each node admits what it sees room for, and none knows the demand of all.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playAdmission, type PlayedPriority } from './support/playAdmission/index.js';

const NODES = [1, 6, 36, 86, 350] as const;
const SEED = 5;
/** Difference by which a priority may be served less often than a less urgent one. */
const TOLERANCE = 0.05;
/** Lowest share of the requests of an account that is served, compared with that of its priority. */
const ACCOUNT_SHARE = 0.5;

function listShares(played: readonly PlayedPriority[]): number[] {
  return played.map(({ share }) => share);
}

function isInOrder(shares: readonly number[]): boolean {
  return shares.every(
    (share, index) => index === 0 || (shares[index - 1] ?? 0) >= share - TOLERANCE,
  );
}

function countServed(played: readonly PlayedPriority[]): number {
  return played.reduce((sum, { served }) => sum + served, 0);
}

for (const nodes of NODES) {
  test(`${nodes} nodes serve the most urgent requests and let none of them starve`, () => {
    const played = playAdmission({ nodes, strategy: 'shares', seed: SEED });
    const shares = listShares(played);
    assert.ok(isInOrder(shares), `served by priority: ${shares.join(', ')}`);
    assert.ok((shares[0] ?? 0) > 0.95, `served by priority: ${shares.join(', ')}`);
    for (const { share, lowestAccountShare } of played) {
      assert.ok(share > 0.3, `served by priority: ${shares.join(', ')}`);
      assert.ok(lowestAccountShare > ACCOUNT_SHARE * share, `an account got ${lowestAccountShare}`);
    }
  });
}

test('without shares, the most urgent requests are refused as often as the others', () => {
  for (const nodes of NODES) {
    const shares = listShares(playAdmission({ nodes, strategy: 'none', seed: SEED }));
    assert.ok((shares[0] ?? 1) < 0.92, `${nodes} nodes, served by priority: ${shares.join(', ')}`);
  }
});

test('shares leave little capacity unused', () => {
  for (const nodes of [6, 86] as const) {
    const served = countServed(playAdmission({ nodes, strategy: 'shares', seed: SEED }));
    const servedWithout = countServed(playAdmission({ nodes, strategy: 'none', seed: SEED }));
    assert.ok(served > 0.94 * servedWithout, `${served} served, ${servedWithout} without shares`);
  }
});

test('the most urgent requests are served while half of the nodes or most of them report no demand', () => {
  for (const silentNodes of [43, 78]) {
    const played = playAdmission({ nodes: 86, strategy: 'shares', seed: SEED, silentNodes });
    const shares = listShares(played);
    assert.ok(isInOrder(shares), `${silentNodes} silent: ${shares.join(', ')}`);
    assert.ok((shares[0] ?? 0) > 0.93, `${silentNodes} silent: ${shares.join(', ')}`);
  }
});
