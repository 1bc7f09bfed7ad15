/**
 * Guards against a crash that is attributed to each request that was on the endpoint.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCrashReport } from '../../../tests/support/crashReports/index.js';
import type { CrashReport } from '../../types/breaker/index.js';
import { countCrashes } from '../countCrashes/index.js';
import { computeBreakerStates } from './index.js';

function computeStates(reports: readonly CrashReport[]) {
  const parts = new Set(reports.flatMap((report) => report.parts));
  const counts = [...parts].map((part) =>
    countCrashes({
      part,
      reports: reports.filter((report) => report.parts.includes(part)),
      findSuccess: () => undefined,
    }),
  );
  return computeBreakerStates(counts);
}

test('pauses longer after each further crash, up to ten minutes', () => {
  const reports = [createCrashReport(0, ['dead'])];
  const pauses: number[] = [];
  for (let crash = 1; crash <= 6; crash += 1) {
    reports.push(createCrashReport(crash * 1_000, ['dead']));
    const state = computeStates(reports).get('dead');
    assert.ok(state);
    assert.equal(state.retryAt, crash * 1_000 + state.pauseMilliseconds);
    pauses.push(state.pauseMilliseconds);
  }
  assert.deepEqual(pauses, [8_000, 30_000, 120_000, 480_000, 600_000, 600_000]);
});

test('harmless requests on the endpoints that another part crashed are not blocked', () => {
  const crashing = [1_000, 1_300].map((at) => createCrashReport(at, ['dead']));
  const harmless = crashing.map(({ endpoint, startedAt, at }) =>
    createCrashReport(at, [], { endpoint, startedAt, parts: ['head', 'own'] }),
  );
  assert.ok(computeStates(harmless).has('own'));
  assert.deepEqual([...computeStates([...crashing, ...harmless]).keys()], ['dead']);
});

test('parts that no crash tells apart are both blocked, for a short time', () => {
  const reports = [1_000, 1_300, 1_600].map((at) => createCrashReport(at, ['head', 'dead']));
  const states = computeStates(reports);
  assert.deepEqual([...states.keys()], ['head', 'dead']);
  for (const { pauseMilliseconds } of states.values()) assert.equal(pauseMilliseconds, 1_000);
  const apart = createCrashReport(1_900, ['other', 'dead']);
  assert.deepEqual([...computeStates([...reports, apart]).keys()], ['dead']);
});
