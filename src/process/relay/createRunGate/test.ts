/**
 * Guards against a blocked request that reaches one endpoint after another while it is tried.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCrashReport } from '../../../../tests/support/crashReports/index.js';
import { createPartBreakers } from '../../../request/createPartBreakers/index.js';
import { createRunGate, type RunGate } from './index.js';

const LOG = { id: 'attempt', add: () => undefined, end: () => undefined };
const AFTER_PAUSE = 20_000;

function createFixture(parts: readonly string[]): { gate: RunGate; set: (now: number) => void } {
  let now = 1_000;
  const breakers = createPartBreakers({ node: 'node-1', onChange: () => undefined });
  const first = createCrashReport(1_000, []);
  const repeat = createCrashReport(1_400, [], { parts, sentAt: 1_001 });
  breakers.add({ reports: [{ ...first, parts }, repeat] }, 1_400);
  const gate = createRunGate({
    breakers,
    clock: { now: () => now },
    log: LOG,
    metrics: { count: () => undefined },
    isPrompt: true,
    readParts: () => parts,
    announce: () => undefined,
    onChange: () => () => undefined,
  });
  return {
    gate,
    set: (time) => {
      now = time;
    },
  };
}

test('a blocked request that an endpoint refuses as it is tried does not run on another one', () => {
  const { gate, set } = createFixture(['head', 'own']);
  assert.ok(gate.admitRun());
  set(AFTER_PAUSE);
  assert.equal(gate.admitRun(), undefined);
  assert.equal(gate.check(), undefined);
  set(AFTER_PAUSE + 100);
  assert.ok(gate.admitRun());
});
