import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { createStartGate } from './index.js';

/** Creates virtual time that counts the pending timers. */
function createCountingClock() {
  const time = createVirtualTime();
  const timers = new Set<object>();
  return {
    run: time.run,
    countTimers: () => timers.size,
    schedule: (milliseconds: number, action: () => void): (() => void) => {
      const timer = {};
      timers.add(timer);
      const cancel = time.schedule(milliseconds, () => {
        timers.delete(timer);
        action();
      });
      return () => {
        timers.delete(timer);
        cancel();
      };
    },
  };
}

async function isSettled(promise: Promise<void>): Promise<boolean> {
  return Promise.race([promise.then(() => true), Promise.resolve().then(() => false)]);
}

test('holds a request until the gate opens', async () => {
  const clock = createCountingClock();
  const gate = createStartGate({ clock });
  const waiting = gate.wait(900);
  await clock.run(500);
  assert.equal(await isSettled(waiting), false);
  gate.open();
  await waiting;
  assert.equal(gate.countWaiting(), 0);
  assert.equal(clock.countTimers(), 0);
});

test('holds a request no longer than the wait limit and the time of its caller', async () => {
  const clock = createCountingClock();
  const gate = createStartGate({ clock, maximumWaitMilliseconds: 600 });
  const longWait = gate.wait(5_000);
  const shortWait = gate.wait(100);
  await clock.run(100);
  await shortWait;
  assert.equal(await isSettled(longWait), false);
  await clock.run(600);
  await longWait;
  assert.equal(gate.countWaiting(), 0);
});

test('lets a request pass when the maximum number of requests already waits', async () => {
  const clock = createCountingClock();
  const gate = createStartGate({ clock, maximumWaiting: 1 });
  const first = gate.wait(900);
  await gate.wait(900);
  assert.equal(await isSettled(first), false);
});

test('lets requests pass without a timer when the gate is open', async () => {
  const clock = createCountingClock();
  const gate = createStartGate({ clock });
  gate.open();
  await gate.wait(900);
  assert.equal(clock.countTimers(), 0);
});
