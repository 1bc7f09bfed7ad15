import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DECISION_VARIANTS, VARIANT_LACKS } from '../decisionVariants/index.js';
import { readSite, type InjectedFault, type VirtualDay } from '../readScenario/index.js';
import { summarizeDay, type DayFigures } from '../summarizeDay/index.js';
import { playDay } from './index.js';

const SITE = readSite('examples/emulator/fit-desk.json');

async function play(
  troubles: InjectedFault[],
  changes: { seed?: number; rate?: number; version?: string; isUnframed?: boolean } = {},
): Promise<DayFigures> {
  const { seed = 1, rate = 1, version = 'product', isUnframed = false } = changes;
  const day: VirtualDay = { name: 'short', seconds: 7, rate, isUnframed, troubles };
  const decisions = DECISION_VARIANTS[version];
  return summarizeDay(
    await playDay({ site: SITE, day, seed, decisions, ...VARIANT_LACKS[version] }),
  );
}

function assertNoViolation({ broken }: DayFigures): void {
  const none = {
    events: 0,
    ranTwice: 0,
    refusedThoughRun: 0,
    configuration: 0,
    lateVersions: 0,
    limits: 0,
  };
  assert.deepEqual(broken, none);
}

test('the same seed gives the same figures, another seed different ones', async () => {
  const [first, second, other] = [await play([]), await play([]), await play([], { seed: 2 })];
  assert.deepEqual(first, second);
  assert.notDeepEqual(first, other);
});

test('on a day without faults all requests are served completely and at least 98 % in time', async () => {
  const figures = await play([]);
  assertNoViolation(figures);
  assert.equal(figures.all.served, 1);
  assert.ok(figures.all.inTime >= 0.98 * figures.all.asked);
});

test('crashes, with and without closed connections, violate no guarantee and at least 95 % of requests are served', async () => {
  const figures = await play([
    { kind: 'crashEngines', at: 1, seconds: 3, count: 1, isDark: false },
    { kind: 'crashEngines', at: 3, seconds: 3, count: 1, isDark: true },
  ]);
  assertNoViolation(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
  assert.ok(figures.engines.moves > 0);
});

test('engines that drain one after the other violate no guarantee and all requests are served', async () => {
  const figures = await play([
    { kind: 'drainEngines', at: 0.5, seconds: 4, count: 1 },
    { kind: 'drainEngines', at: 3, seconds: 4, count: 1 },
  ]);
  assertNoViolation(figures);
  assert.equal(figures.all.served, 1);
});

/** Engines crash with an ordinary end of their connections, and others drain; with this seed, streams begin at them. */
const ENDING_ENGINES: InjectedFault[] = [
  { kind: 'crashEngines', at: 1, seconds: 3, count: 4, isDark: false },
  { kind: 'drainEngines', at: 3.5, seconds: 3, count: 4 },
];
const ENDING_SEED = 3;

test('streams without framing are complete on a day without faults', async () => {
  const figures = await play([], { isUnframed: true });
  assertNoViolation(figures);
  assert.equal(figures.all.served, 1);
});

test('streams without framing whose engines end violate no guarantee and at least 95 % of requests are served', async () => {
  const figures = await play(ENDING_ENGINES, { seed: ENDING_SEED, isUnframed: true });
  assertNoViolation(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
});

test('shows that nodes which trust the end of a connection complete truncated streams', async () => {
  const { broken } = await play(ENDING_ENGINES, {
    seed: ENDING_SEED,
    isUnframed: true,
    version: 'trust-ends',
  });
  assert.ok(broken.events > 0);
});

test('the loss of all nodes and an unreachable store violate no guarantee', async () => {
  const figures = await play([
    { kind: 'storeAway', at: 1, seconds: 2, share: 1 },
    { kind: 'loseNodes', at: 4, seconds: 1, share: 1 },
    { kind: 'greyServices', at: 1, seconds: 5, count: 1, share: 0.3 },
  ]);
  assertNoViolation(figures);
  assert.ok(figures.all.served > 0.5);
});

/** The store loses the second version, and accepts the third one before it has all registrations again. */
const RESTORED_STORE: InjectedFault[] = [
  { kind: 'changeConfiguration', at: 1.5 },
  { kind: 'restoreStore', at: 2, seconds: 0.5, ageSeconds: 1 },
  { kind: 'changeConfiguration', at: 2.2 },
  { kind: 'drainEngines', at: 1.6, seconds: 4, count: 1 },
];

test('a store that was restored from an older copy violates no guarantee and at least 95 % of requests are served', async () => {
  const figures = await play(RESTORED_STORE);
  assertNoViolation(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
});

test('shows that nodes which ignore the era of a restored store miss a configuration', async () => {
  const { broken } = await play(RESTORED_STORE, { version: 'ignore-era' });
  assert.ok(broken.configuration > 0);
});

/** A change, a silence before the next watches end, and changes that the silent watches do not return. */
const SILENT_CONNECTIONS: InjectedFault[] = [
  { kind: 'changeConfiguration', at: 1 },
  { kind: 'silenceConnections', at: 1.25 },
  { kind: 'changeConfiguration', at: 1.3 },
  { kind: 'changeConfiguration', at: 1.8 },
];

test('open connections to the store that go silent violate no guarantee and all requests are served', async () => {
  const figures = await play(SILENT_CONNECTIONS);
  assertNoViolation(figures);
  assert.equal(figures.all.served, 1);
});

test('shows that nodes which wait for the store without a limit apply a version too late', async () => {
  const { broken } = await play(SILENT_CONNECTIONS, { version: 'wait-without-limit' });
  assert.ok(broken.lateVersions > 0);
});

/** Some first endpoints of paths and two of three plain endpoints announce a rate limit. */
const RATE_LIMITS: InjectedFault[] = [
  { kind: 'limitEndpoints', at: 0, seconds: 7, engines: 2, plain: 2, requestsPerSecond: 1 },
];

test('rate limits of some endpoints are kept and at least 98 % of requests are served', async () => {
  const figures = await play(RATE_LIMITS);
  assertNoViolation(figures);
  assert.ok(figures.all.served >= 0.98, String(figures.all.served));
});

test('rate limits are kept while all nodes are replaced by others that know nothing', async () => {
  const figures = await play([...RATE_LIMITS, { kind: 'replaceNodes', at: 1, gapSeconds: 1 }]);
  assertNoViolation(figures);
});

test('shows that nodes which ignore rate limits exceed them', async () => {
  const { broken } = await play(RATE_LIMITS, { version: 'ignore-limits' });
  assert.ok(broken.limits > 0);
});

for (const how of ['hang', 'reset', 'refuse'] as const) {
  const cut: InjectedFault = { kind: 'cutNodes', at: 1, seconds: 4, share: 0.5, how };

  test(`half of the nodes lose all links to endpoints (${how}): no guarantee is violated, at least 95 % are served`, async () => {
    const figures = await play([cut]);
    assertNoViolation(figures);
    assert.ok(figures.all.served >= 0.95, String(figures.all.served));
  });
}

test('shows that nodes which hand nothing over serve less than 90 % while half of them are cut off', async () => {
  const cut = { kind: 'cutNodes', at: 1, seconds: 4, share: 0.5, how: 'hang' } as const;
  const figures = await play([cut], { version: 'no-neighbours' });
  assert.ok(figures.all.served < 0.9, String(figures.all.served));
});

test('layer orders that are carried out late leave at least 95 % of requests served', async () => {
  const figures = await play([
    { kind: 'lateOrders', at: 0, seconds: 7, share: 0.5 },
    { kind: 'crashEngines', at: 1, seconds: 3, count: 2, isDark: false },
  ]);
  assertNoViolation(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
});

test('at twice the load requests are refused and at most 2 % fail', async () => {
  const figures = await play([], { rate: 2 });
  assertNoViolation(figures);
  const { all, fairness } = figures;
  assert.ok(all.failed <= 0.02 * all.asked, `${all.failed} of ${all.asked} failed`);
  assert.ok(all.refused > 0);
  assert.ok(fairness.largestTenth >= 0.5 * fairness.streams);
});

test('shows that paths chosen regardless of load serve less than half of the requests in time', async () => {
  const figures = await play([], { version: 'any-path' });
  assert.ok(figures.all.inTime < 0.5 * figures.all.asked);
});

test('serves the most urgent streams after a burst of the least urgent ones, and shows that they are refused without shares', async () => {
  const site = readSite('examples/emulator/strathbrae-priorities.json');
  const day: VirtualDay = {
    name: 'short',
    seconds: 12,
    rate: 2,
    troubles: [
      { kind: 'burst', at: 2, seconds: 5, factor: 2.3, priority: 2 },
      { kind: 'burst', at: 7, seconds: 5, factor: 1.7, priority: 0 },
    ],
  };
  /** Plays the day; returns the served shares by priority in the second burst. */
  const playVersion = async (version: string): Promise<number[]> => {
    const decisions = DECISION_VARIANTS[version];
    const result = await playDay({ site, day, seed: 1, decisions });
    assertNoViolation(summarizeDay(result));
    const records = result.records.filter(({ at }) => at >= result.firstAt + 7_000);
    const { priorities } = summarizeDay({ ...result, records });
    return [0, 1, 2].map((priority) => priorities[priority]?.served ?? 0);
  };
  const served = await playVersion('product');
  const servedWithout = await playVersion('no-shares');
  const [first = 0, second = 0, third = 0] = served;
  const figures = `${served.join(', ')}; without shares ${servedWithout.join(', ')}`;
  assert.ok(first >= second - 0.05 && second >= third - 0.05, figures);
  assert.ok(first >= 0.9 && first > (servedWithout[0] ?? 1) + 0.1, figures);
});
