/**
 * Report of a soak run, for people.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { formatTable } from '../../src/commands/printOutput/index.js';
import { CHECKS } from '../listChecks/index.js';
import type { SoakResult } from '../runSoak/index.js';
import type { SoakRecord, Violation } from '../types/index.js';

/** Violations of one promise that are told in full. */
const MOST_TOLD = 3;
const MOST_LOG_LINES = 40;

function listAttempts({ attempts }: SoakRecord, request: string): string[] {
  return attempts
    .filter((attempt) => attempt.request === request)
    .map(({ attempt, node, sentAt, endedAt, outcome, status, endpoint, body }) =>
      [
        `${Math.round(sentAt)} to ${Math.round(endedAt)} ms: ${attempt} at ${node}: ${outcome}`,
        `${status} of ${endpoint ?? 'none'}, ${JSON.stringify(body.slice(0, 200))}`,
      ].join(', '),
    );
}

function listSends({ sends }: SoakRecord, request: string): string[] {
  return sends
    .filter((send) => send.request === request)
    .map(
      ({ attempt, endpoint, birth, at, hasRun }) =>
        `${Math.round(at)} ms: ${attempt} reached ${endpoint} (start ${birth}), ran: ${String(hasRun)}`,
    );
}

/** Lines of all nodes that name an attempt of a request. */
function listLogLines(folder: string, request: string): string[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith('.log'))
    .flatMap((name) => readFileSync(join(folder, name), 'utf8').split('\n'))
    .filter((line) => line.includes(`"request":"${request}-`))
    .slice(0, MOST_LOG_LINES);
}

function tellViolation(
  record: SoakRecord,
  folder: string,
  { promise, request, detail }: Violation,
): string[] {
  const head = `BROKEN: ${promise}: ${request ?? ''} ${detail}`;
  if (request === undefined) return [head];
  const story = [
    ...listAttempts(record, request),
    ...listSends(record, request),
    ...listLogLines(folder, request),
  ];
  return [head, ...story.map((line) => `  ${line}`)];
}

/**
 * Describes what came of a run: how much was checked, and each promise that was broken with the
 * story of its request.
 *
 * @param result - the run
 * @param folder - folder with the nodes' logs
 * @returns lines of text
 * @example
 * console.log(describeRun(result, folder).join('\n'));
 */
export function describeRun({ record, violations, faults }: SoakResult, folder: string): string[] {
  const checks = CHECKS.map(({ promise, count }) => ({
    promise,
    checked: count(record),
    broken: violations.filter((violation) => violation.promise === promise).length,
  }));
  const injected = [...faults].sort(([left], [right]) => left.localeCompare(right));
  const told = CHECKS.flatMap(({ promise }) =>
    violations.filter((violation) => violation.promise === promise).slice(0, MOST_TOLD),
  );
  return [
    formatTable(checks, false),
    '',
    `faults: ${injected.map(([kind, count]) => `${kind} ${count}`).join(', ')}`,
    ...told.flatMap((violation) => tellViolation(record, folder, violation)),
  ];
}
