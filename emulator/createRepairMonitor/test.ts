import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import { createRepairMonitor } from './index.js';

function createEngine(id: string, availabilityZone: string, from: number, to: number) {
  // The monitor reads only these fields.
  return { id, availabilityZone, layers: { from, to }, isDown: false } as unknown as VirtualEngine;
}

test('measures a repair from the crash to the first run through the lost layers in the same zone', () => {
  const clock = { time: 100 };
  const lost = createEngine('a', 'mission', 0, 4);
  const other = createEngine('b', 'abbotsford', 0, 4);
  const next = createEngine('c', 'mission', 0, 4);
  const monitor = createRepairMonitor({ engines: [lost, other], now: () => clock.time });
  monitor.recordCrash(lost);
  clock.time = 900;
  monitor.recordRun([{ engine: other, range: { from: 0, to: 4 } }]);
  assert.equal(monitor.repairs.length, 0, 'another zone is no repair');
  clock.time = 1_400;
  monitor.recordRun([{ engine: next, range: { from: 0, to: 4 } }]);
  monitor.recordRun([{ engine: next, range: { from: 0, to: 4 } }]);
  assert.deepEqual(monitor.repairs, [
    { availabilityZone: 'mission', at: 100, milliseconds: 1_300 },
  ]);
});

test('records no repair for layers that another engine of the zone hosts', () => {
  const lost = createEngine('a', 'mission', 0, 4);
  const copy = createEngine('b', 'mission', 0, 6);
  const monitor = createRepairMonitor({ engines: [lost, copy], now: () => 0 });
  monitor.recordCrash(lost);
  monitor.recordRun([{ engine: copy, range: { from: 0, to: 4 } }]);
  assert.equal(monitor.repairs.length, 0);
});
