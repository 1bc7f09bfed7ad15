/**
 * Human-readable report of a soak run.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { formatTable } from '../../src/commands/printOutput/index.js';
import { CHECKS } from '../findViolations/index.js';
import type { SoakResult } from '../runSoak/index.js';
import type { SoakRecord, Violation } from '../types/index.js';

/** Maximum number of violations of one promise that are printed in full. */
const MAXIMUM_DESCRIBED_VIOLATIONS = 3;
const MAXIMUM_LOG_LINES = 40;

function listRequestAttempts({ attempts }: SoakRecord, request: string): string[] {
  return attempts
    .filter((attempt) => attempt.request === request)
    .map(({ attempt, node, sentAt, endedAt, outcome, status, endpoint, body }) =>
      [
        `${Math.round(sentAt)} to ${Math.round(endedAt)} ms: ${attempt} at ${node}: ${outcome}`,
        `${status} of ${endpoint ?? 'none'}, ${JSON.stringify(body.slice(0, 200))}`,
      ].join(', '),
    );
}

function listRequestSends({ sends }: SoakRecord, request: string): string[] {
  return sends
    .filter((send) => send.request === request)
    .map(
      ({ attempt, endpoint, birth, at, hasRun }) =>
        `${Math.round(at)} ms: ${attempt} reached ${endpoint} (start ${birth}), ran: ${String(hasRun)}`,
    );
}

/** Lists the log lines of all nodes that contain an attempt of a request. */
function listLogLines(folder: string, request: string): string[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith('.log'))
    .flatMap((name) => readFileSync(join(folder, name), 'utf8').split('\n'))
    .filter((line) => line.includes(`"request":"${request}-`))
    .slice(0, MAXIMUM_LOG_LINES);
}

function describeViolation(
  record: SoakRecord,
  folder: string,
  { promise, request, detail }: Violation,
): string[] {
  const head = `BROKEN: ${promise}: ${request ?? ''} ${detail}`;
  if (request === undefined) return [head];
  const lines = [
    ...listRequestAttempts(record, request),
    ...listRequestSends(record, request),
    ...listLogLines(folder, request),
  ];
  return [head, ...lines.map((line) => `  ${line}`)];
}

/**
 * Describes the result of a run: the number of checked observations and violations of each promise, and the
 * attempts, sends and log lines of the requests that broke one.
 *
 * @param result - result of the run
 * @param folder - folder of the nodes' logs
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
  const described = CHECKS.flatMap(({ promise }) =>
    violations
      .filter((violation) => violation.promise === promise)
      .slice(0, MAXIMUM_DESCRIBED_VIOLATIONS),
  );
  return [
    formatTable(checks, false),
    '',
    `faults: ${injected.map(([kind, count]) => `${kind} ${count}`).join(', ')}`,
    ...described.flatMap((violation) => describeViolation(record, folder, violation)),
  ];
}
