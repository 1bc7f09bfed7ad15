/**
 * Guards against a blocked request that reaches one endpoint after another while it is tried, and against
 * crashes that only the node knows that saw them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCrashReport } from '../../../../tests/support/crashReports/index.js';
import {
  createPartBreakers,
  type PartBreakers,
} from '../../../request/createPartBreakers/index.js';
import type { CrashReport } from '../../../types/breaker/index.js';
import { createRunGate, type RunGate } from './index.js';

const LOG = { id: 'attempt', add: () => undefined, end: () => undefined };
const AFTER_PAUSE = 20_000;

interface Fixture {
  readonly gate: RunGate;
  readonly breakers: PartBreakers;
  readonly announced: CrashReport[];
  readonly set: (now: number) => void;
}

function createFixture(parts: readonly string[]): Fixture {
  let now = 1_000;
  const announced: CrashReport[] = [];
  const breakers = createPartBreakers({ node: 'node-1', onChange: () => undefined });
  const gate = createRunGate({
    breakers,
    clock: { now: () => now },
    log: LOG,
    metrics: { count: () => undefined },
    promptParts: parts.slice(0, -1),
    readParts: () => parts,
    announce: ({ reports = [] }) => {
      announced.push(...reports);
    },
    onChange: () => () => undefined,
  });
  return {
    gate,
    breakers,
    announced,
    set: (time) => {
      now = time;
    },
  };
}

test('a blocked request that an endpoint refuses as it is tried does not run on another one', () => {
  const parts = ['head', 'last', 'own'];
  const { gate, breakers, set } = createFixture(parts);
  const first = createCrashReport(1_000, [], { parts });
  const repeat = createCrashReport(1_400, [], { parts, sentAt: 1_001 });
  breakers.add({ reports: [first, repeat] }, 1_400);
  assert.ok(gate.admitRun());
  set(AFTER_PAUSE);
  assert.equal(gate.admitRun(), undefined);
  assert.equal(gate.check(), undefined);
  set(AFTER_PAUSE + 100);
  assert.ok(gate.admitRun());
});

test('other nodes learn of the only crash of a request that ends without an answer', () => {
  for (const parts of [
    ['call', 'own'],
    ['head', 'last', 'own'],
  ]) {
    const { gate, breakers, announced } = createFixture(parts);
    breakers.recordSuccess(['head', 'last-2', 'own-2'], 500);
    gate.recordCrash(createCrashReport(1_000, [], { parts }));
    assert.equal(announced.length, 0);
    gate.end();
    assert.deepEqual(
      announced.map((report) => report.parts),
      [parts.slice(-2)],
    );
  }
});

test('other nodes do not learn of a crash of a request that another endpoint answers', () => {
  const { gate, breakers, announced } = createFixture(['head', 'last', 'own']);
  breakers.recordSuccess(['head', 'last-2', 'own-2'], 500);
  gate.recordCrash(createCrashReport(1_000, [], { parts: ['head', 'last', 'own'] }));
  gate.recordAnswer();
  gate.end();
  assert.equal(announced.length, 0);
});
