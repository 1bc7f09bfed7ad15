/**
 * Guards against harmless parts that are blocked for crashes with another cause: of a rack, of an endpoint
 * that goes down by turns, or of another part of a request that is repeated.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCrashReport } from '../../../tests/support/crashReports/index.js';
import type { CrashReport } from '../../types/breaker/index.js';
import { countCrashes } from './index.js';

function isBlocked(
  reports: readonly CrashReport[],
  part = 'middle',
  successes: Readonly<Record<string, number>> = {},
): boolean {
  const { crashes, limit } = countCrashes({ part, reports, findSuccess: (id) => successes[id] });
  return crashes >= limit;
}

const createReport = (at: number, changes: Partial<CrashReport> = {}): CrashReport =>
  createCrashReport(at, ['head', 'middle'], changes);

test('counts the crashes of two requests, one after the other', () => {
  assert.equal(isBlocked([createReport(1_000)]), false);
  assert.equal(isBlocked([createReport(1_000), createReport(1_300)]), true);
});

test('a request that is repeated adds no evidence on the parts that it shares', () => {
  const first = createReport(1_000);
  const repeat = createReport(1_100, { parts: first.parts, sentAt: 1_001 });
  assert.equal(isBlocked([first, repeat]), false);
  assert.equal(isBlocked([first, repeat], first.parts.at(-1)), true);
});

test('two crashes at the same moment and a repeat count in whichever order they are known', () => {
  const first = createReport(1_000, { sentAt: 900 });
  const second = createReport(1_020, { sentAt: 900 });
  const repeat = createReport(1_300, { parts: second.parts });
  assert.equal(isBlocked([first, second, repeat]), true);
  assert.equal(isBlocked([{ ...first, at: 1_030 }, second, repeat]), true);
});

test('a request of which endpoints answered all shared parts may crash one endpoint more', () => {
  const first = createReport(1_000);
  const own = first.parts.at(-1);
  const repeats = [1_100, 1_200].map((at) => createReport(at, { parts: first.parts }));
  const successes = { head: 500, middle: 500 };
  assert.equal(isBlocked([first, ...repeats.slice(0, 1)], own, successes), false);
  assert.equal(isBlocked([first, ...repeats], own, successes), true);
});

test('crashes of several endpoints at the same moment count as one', () => {
  const reports = [1_000, 1_020, 1_040, 1_060].map((at) => createReport(at, { sentAt: 950 }));
  assert.equal(isBlocked(reports), false);
  assert.equal(isBlocked([...reports, createReport(1_150)]), true);
  assert.equal(isBlocked([createReport(1_000), createReport(1_060, { sentAt: 1_001 })]), true);
});

test('an endpoint that goes down by turns needs one crash more', () => {
  const down = (at: number, startedAt: number) =>
    createReport(at, { endpoint: 'i-flapping', address: '10.0.0.9:80', startedAt });
  assert.equal(isBlocked([down(1_000, 1), down(3_000, 2)]), false);
  assert.equal(isBlocked([down(1_000, 1), down(3_000, 2), down(5_000, 3)]), true);
});

test('a success refutes the crashes before it, and is weighed against those after it', () => {
  const reports = [1_000, 1_300, 1_600].map((at) => createReport(at));
  assert.equal(isBlocked(reports, 'middle', { middle: 1_700 }), false);
  assert.equal(isBlocked(reports, 'middle', { middle: 900 }), false);
  assert.equal(isBlocked([...reports, createReport(1_900)], 'middle', { middle: 900 }), true);
});
