import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DECISIONS } from '../naive/index.js';
import { readSite, type Trouble, type VirtualDay } from '../readScenario/index.js';
import { summarizeDay, type DayFigures } from '../summarizeDay/index.js';
import { playDay } from './index.js';

const SITE = readSite('examples/emulator/fit-desk.json');

async function play(
  troubles: Trouble[],
  changes: { seed?: number; rate?: number; version?: string } = {},
): Promise<DayFigures> {
  const { seed = 1, rate = 1, version = 'product' } = changes;
  const day: VirtualDay = { name: 'short', seconds: 7, rate, troubles };
  const decisions = DECISIONS[version];
  return summarizeDay(await playDay({ site: SITE, day, seed, decisions }));
}

function assertUnbroken({ broken }: DayFigures): void {
  assert.deepEqual(broken, { events: 0, ranTwice: 0, refusedThoughRun: 0 });
}

test('the same seed plays the same day, and another seed another one', async () => {
  const [first, second, other] = [await play([]), await play([]), await play([], { seed: 2 })];
  assert.deepEqual(first, second);
  assert.notDeepEqual(first, other);
});

test('on a calm day all are served whole, and nearly all in time', async () => {
  const figures = await play([]);
  assertUnbroken(figures);
  assert.equal(figures.all.served, 1);
  assert.ok(figures.all.inTime >= 0.98 * figures.all.asked);
});

test('crashes, dark ones too, break no promise, and few callers notice', async () => {
  const figures = await play([
    { kind: 'crashEngines', at: 1, seconds: 3, count: 1, isDark: false },
    { kind: 'crashEngines', at: 3, seconds: 3, count: 1, isDark: true },
  ]);
  assertUnbroken(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
  assert.ok(figures.engines.moves > 0);
});

test('engines that leave in turn break no promise, and all callers are served', async () => {
  const figures = await play([
    { kind: 'drainEngines', at: 0.5, seconds: 4, count: 1 },
    { kind: 'drainEngines', at: 3, seconds: 4, count: 1 },
  ]);
  assertUnbroken(figures);
  assert.equal(figures.all.served, 1);
});

test('the end of all nodes and the absence of the store break no promise', async () => {
  const figures = await play([
    { kind: 'storeAway', at: 1, seconds: 2, share: 1 },
    { kind: 'loseNodes', at: 4, seconds: 1, share: 1 },
    { kind: 'greyServices', at: 1, seconds: 5, count: 1, share: 0.3 },
  ]);
  assertUnbroken(figures);
  assert.ok(figures.all.served > 0.5);
});

test('orders that are carried out late leave every layer held in the end', async () => {
  const figures = await play([
    { kind: 'lateOrders', at: 0, seconds: 7, share: 0.5 },
    { kind: 'crashEngines', at: 1, seconds: 3, count: 2, isDark: false },
  ]);
  assertUnbroken(figures);
  assert.ok(figures.all.served >= 0.95, String(figures.all.served));
});

test('at twice the load callers are refused rather than left to wait in vain', async () => {
  const figures = await play([], { rate: 2 });
  assertUnbroken(figures);
  const { all, fairness } = figures;
  assert.ok(all.failed <= 0.02 * all.asked, `${all.failed} of ${all.asked} failed`);
  assert.ok(all.refused > 0);
  assert.ok(fairness.largestTenth >= 0.5 * fairness.streams);
});

test('paths chosen with no regard to load serve worse, as the emulator has to show', async () => {
  const figures = await play([], { version: 'any-path' });
  assert.ok(figures.all.inTime < 0.5 * figures.all.asked);
});
