import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import { createRepairWatch } from './index.js';

function createEngine(id: string, availabilityZone: string, from: number, to: number) {
  // Only what the watch reads is needed here.
  return { id, availabilityZone, layers: { from, to }, isDown: false } as unknown as VirtualEngine;
}

test('a repair lasts from the crash to the first run through the lost layers in their zone', () => {
  const clock = { time: 100 };
  const lost = createEngine('a', 'mission', 0, 4);
  const other = createEngine('b', 'abbotsford', 0, 4);
  const next = createEngine('c', 'mission', 0, 4);
  const watch = createRepairWatch({ engines: [lost, other], now: () => clock.time });
  watch.noteCrash(lost);
  clock.time = 900;
  watch.noteRun([{ engine: other, range: { from: 0, to: 4 } }]);
  assert.equal(watch.repairs.length, 0, 'another zone is no repair');
  clock.time = 1_400;
  watch.noteRun([{ engine: next, range: { from: 0, to: 4 } }]);
  watch.noteRun([{ engine: next, range: { from: 0, to: 4 } }]);
  assert.deepEqual(watch.repairs, [{ availabilityZone: 'mission', at: 100, milliseconds: 1_300 }]);
});

test('layers of which the zone has another copy need no repair', () => {
  const lost = createEngine('a', 'mission', 0, 4);
  const copy = createEngine('b', 'mission', 0, 6);
  const watch = createRepairWatch({ engines: [lost, copy], now: () => 0 });
  watch.noteCrash(lost);
  watch.noteRun([{ engine: copy, range: { from: 0, to: 4 } }]);
  assert.equal(watch.repairs.length, 0);
});
