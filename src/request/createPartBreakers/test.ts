/**
 * Guards against parts that crash endpoints and are passed on, against harmless parts that are blocked with
 * them, and against memory that grows with the crashes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCrashReport } from '../../../tests/support/crashReports/index.js';
import { createPartBreakers, type PartBreakers, type PartChange } from './index.js';

function createFixture(node = 'node-1'): { breakers: PartBreakers; changes: PartChange[] } {
  const changes: PartChange[] = [];
  const breakers = createPartBreakers({ node, onChange: (change) => changes.push(change) });
  return { breakers, changes };
}

function crash(breakers: PartBreakers, at: number, shared: readonly string[]): void {
  breakers.add({ reports: [createCrashReport(at, shared)] }, at);
}

test('blocks the part that crashes have in common, and no part that endpoints answer', () => {
  const { breakers, changes } = createFixture();
  breakers.recordSuccess(['head', 'last', 'own'], 500);
  crash(breakers, 1_000, ['head', 'dead']);
  assert.equal(breakers.decide(['head', 'dead', 'x'], 1_001).kind, 'passed');
  crash(breakers, 1_400, ['head', 'dead']);
  const decision = breakers.decide(['head', 'dead', 'x'], 1_401);
  assert.ok(decision.kind === 'blocked' && decision.part === 'dead');
  assert.equal(breakers.decide(['head', 'x'], 1_401).kind, 'passed');
  assert.deepEqual(
    changes.map(({ kind, part }) => [kind, part]),
    [['opened', 'dead']],
  );
});

test('a harmless part that is in every request that crashes is cleared by its first success', () => {
  const { breakers } = createFixture();
  crash(breakers, 1_000, ['head', 'dead']);
  crash(breakers, 1_400, ['head', 'dead']);
  assert.equal(breakers.decide(['head', 'x'], 1_500).kind, 'blocked');
  assert.deepEqual(breakers.recordSuccess(['head', 'y'], 1_600), [{ part: 'head', at: 1_600 }]);
  assert.equal(breakers.decide(['head', 'x'], 1_601).kind, 'passed');
  assert.equal(breakers.decide(['head', 'dead', 'x'], 1_601).kind, 'blocked');
});

test('a crash that a blocked part explains does not count against the others', () => {
  const { breakers } = createFixture();
  crash(breakers, 1_000, ['other', 'dead']);
  crash(breakers, 1_400, ['another', 'dead']);
  for (const at of [1_800, 2_200, 2_600, 3_000]) crash(breakers, at, ['new', 'dead']);
  assert.equal(breakers.decide(['new', 'x'], 3_100).kind, 'passed');
});

test('blocks two parts at once, and the request that crashed two endpoints itself', () => {
  const { breakers } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, [`head-${at}`, 'dead-1']);
  for (const at of [1_100, 1_500]) crash(breakers, at, [`head-${at}`, 'dead-2']);
  for (const part of ['dead-1', 'dead-2'])
    assert.equal(breakers.decide([part, 'x'], 1_600).kind, 'blocked');
  const first = createCrashReport(5_000, ['new']);
  const repeat = { ...createCrashReport(5_100, []), parts: first.parts, sentAt: 5_001 };
  breakers.add({ reports: [first, repeat] }, 5_101);
  assert.equal(breakers.decide(first.parts, 5_200).kind, 'blocked');
  assert.equal(breakers.decide(['new', 'y'], 5_200).kind, 'passed');
});

test('answers to other requests of a session, or of the same call, do not clear the one that crashes', () => {
  const { breakers } = createFixture();
  let crashes = 0;
  for (let at = 1_000; at < 9_000; at += 400) {
    breakers.recordSuccess(['head', 'session', 'harmless'], at + 200);
    const parts = ['head', 'session', 'crashing'];
    if (breakers.decide(parts, at).kind === 'blocked') continue;
    crashes += 1;
    breakers.add({ reports: [createCrashReport(at, [], { parts })] }, at);
  }
  assert.ok(crashes <= 3, `${crashes} crashes`);
  assert.equal(breakers.decide(['head', 'session', 'harmless'], 9_000).kind, 'passed');
});

test('one node tries one request after the pause, the others wait for its outcome', () => {
  const { breakers } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, [`head-${at}`, 'dead']);
  assert.equal(breakers.decide(['dead', 'x'], 9_300).kind, 'blocked');
  assert.equal(breakers.decide(['dead', 'x'], 15_000).kind, 'trial');
  assert.equal(breakers.add({ trials: [{ part: 'dead', at: 15_000 }] }, 15_000).trials.length, 1);
  assert.equal(breakers.decide(['dead', 'x'], 15_100).kind, 'blocked');
  crash(breakers, 15_200, ['head', 'dead']);
  const decision = breakers.decide(['dead', 'x'], 15_300);
  assert.ok(decision.kind === 'blocked' && decision.retryMilliseconds > 29_000);
  assert.equal(breakers.decide(['dead', 'x'], 45_100).kind, 'blocked');
  assert.equal(breakers.decide(['dead', 'x'], 51_000).kind, 'trial');
  breakers.recordSuccess(['dead', 'x'], 51_200);
  assert.equal(breakers.decide(['dead', 'x'], 51_300).kind, 'passed');
});

test('trials that endpoints refuse become rare, as each of them may crash an endpoint', () => {
  const { breakers } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, [`head-${at}`, 'dead']);
  const trials: number[] = [];
  for (let at = 1_500; at < 61_500; at += 100) {
    if (breakers.decide(['dead', 'x'], at).kind !== 'trial') continue;
    breakers.add({ trials: [{ part: 'dead', at }] }, at);
    trials.push(at);
  }
  assert.ok(trials.length <= 3, `trials at ${trials.join(' ')}`);
});

test('a request with two blocked parts is no trial of either', () => {
  const { breakers } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, ['head', 'dead']);
  assert.equal(breakers.decide(['head', 'dead', 'x'], 60_000).kind, 'blocked');
  assert.equal(breakers.decide(['head', 'x'], 60_000).kind, 'trial');
});

test('nodes that learn the same facts in another order block the same part', () => {
  const facts = [1_000, 1_400, 1_800].map((at) => createCrashReport(at, [`head-${at}`, 'dead']));
  const successes = [{ part: 'head-1000', at: 900 }];
  const { breakers: forward } = createFixture('node-1');
  const { breakers: backward } = createFixture('node-2');
  forward.add({ successes, reports: facts }, 2_000);
  backward.add({ reports: [...facts].reverse() }, 2_000);
  backward.add({ successes }, 2_000);
  const listStates = (breakers: PartBreakers) =>
    breakers.listBlocked().map(({ part, state }) => [part, state.crashes, state.retryAt]);
  assert.deepEqual(listStates(forward), listStates(backward));
  assert.deepEqual(listStates(forward), [['dead', 3, 31_800]]);
  assert.equal(forward.add({ reports: facts }, 2_000).reports.length, 0);
});

test('crashes of many harmless requests displace no report of a blocked part', () => {
  const { breakers } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, [`head-${at}`, 'dead']);
  for (let index = 0; index < 2_000; index += 1)
    crash(breakers, 2_000 + index, [`harmless-${index}`]);
  assert.equal(breakers.decide(['dead', 'x'], 4_000).kind, 'blocked');
  assert.ok(breakers.listFacts(4_000).reports.length <= 512);
});

test('forgets reports after twenty minutes, and refuses those with overlong identifiers', () => {
  const { breakers, changes } = createFixture();
  for (const at of [1_000, 1_400]) crash(breakers, at, [`head-${at}`, 'dead']);
  assert.deepEqual(breakers.listFacts(1_300_000).reports, []);
  assert.equal(breakers.decide(['dead', 'x'], 1_300_000).kind, 'passed');
  assert.equal(changes.at(-1)?.kind, 'closed');
  crash(breakers, 1_300_000, ['x'.repeat(65)]);
  assert.equal(breakers.hasReports(), false);
});
