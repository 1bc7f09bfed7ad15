import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createStartGate } from './index.js';

interface Timer {
  readonly dueAt: number;
  readonly action: () => void;
}

/** A clock whose time passes only when it is told. */
function createManualClock() {
  const timers = new Set<Timer>();
  let time = 0;
  return {
    schedule: (milliseconds: number, action: () => void): (() => void) => {
      const timer = { dueAt: time + milliseconds, action };
      timers.add(timer);
      return () => timers.delete(timer);
    },
    countTimers: () => timers.size,
    pass: (milliseconds: number): void => {
      time += milliseconds;
      for (const timer of [...timers]) {
        if (timer.dueAt > time || !timers.delete(timer)) continue;
        timer.action();
      }
    },
  };
}

async function isSettled(promise: Promise<void>): Promise<boolean> {
  return Promise.race([promise.then(() => true), Promise.resolve().then(() => false)]);
}

test('a request waits until the gate opens', async () => {
  const clock = createManualClock();
  const gate = createStartGate({ clock });
  const waiting = gate.wait(900);
  clock.pass(500);
  assert.equal(await isSettled(waiting), false);
  gate.open();
  await waiting;
  assert.equal(gate.countWaiting(), 0);
  assert.equal(clock.countTimers(), 0);
});

test('a request waits no longer than it may, nor than its caller has time', async () => {
  const clock = createManualClock();
  const gate = createStartGate({ clock, longestMilliseconds: 600 });
  const patient = gate.wait(5_000);
  const hasty = gate.wait(100);
  clock.pass(100);
  await hasty;
  assert.equal(await isSettled(patient), false);
  clock.pass(500);
  await patient;
  assert.equal(gate.countWaiting(), 0);
});

test('beyond a number of requests nobody waits', async () => {
  const clock = createManualClock();
  const gate = createStartGate({ clock, mostWaiting: 1 });
  const first = gate.wait(900);
  await gate.wait(900);
  assert.equal(await isSettled(first), false);
});

test('nobody waits at an open gate', async () => {
  const clock = createManualClock();
  const gate = createStartGate({ clock });
  gate.open();
  await gate.wait(900);
  assert.equal(clock.countTimers(), 0);
});
