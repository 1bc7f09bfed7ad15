/**
 * States of the circuit breakers of parts, weighed against each other: a crash has one cause.
 */
import type { BreakerState } from '../../types/breaker/index.js';
import { identifyCrash, type CrashCount } from '../countCrashes/index.js';

/** Pause while another part may as well be the cause; the first request with one of them shows which. */
const AMBIGUOUS_PAUSE_MILLISECONDS = 1_000;
const FIRST_PAUSE_MILLISECONDS = 8_000;
const SECOND_PAUSE_MILLISECONDS = 30_000;
/** Factor between the pauses that follow. */
const PAUSE_FACTOR = 4;
const MAXIMUM_PAUSE_MILLISECONDS = 600_000;

function isOverLimit({ crashes, limit }: CrashCount): boolean {
  return crashes >= limit;
}

/** Returns whether a part explains the crashes of another one better than that one does. */
function isBetterExplanation(cause: CrashCount, other: CrashCount): boolean {
  if (cause.isOwn || cause === other) return false;
  return other.isOwn ? cause.crashes >= other.crashes : cause.crashes > other.crashes;
}

/** Returns whether so many crashes are left that other blocked parts do not explain. */
function isUnexplained(count: CrashCount, blocked: readonly CrashCount[]): boolean {
  const explained = new Set(
    blocked
      .filter((cause) => isBetterExplanation(cause, count))
      .flatMap(({ reports }) => reports.map(identifyCrash)),
  );
  const left = new Set(count.reports.map(identifyCrash).filter((crash) => !explained.has(crash)));
  return left.size >= count.limit;
}

/** Returns whether each crash has another blocked part that may as well be its cause. */
function isAmbiguous(count: CrashCount, blocked: readonly CrashCount[]): boolean {
  const rivals = blocked.filter((other) => other.part !== count.part && !other.isOwn);
  return count.reports.every(({ parts }) => rivals.some(({ part }) => parts.includes(part)));
}

function computePause(count: CrashCount, blocked: readonly CrashCount[]): number {
  if (!count.isOwn && isAmbiguous(count, blocked)) return AMBIGUOUS_PAUSE_MILLISECONDS;
  const overLimit = Math.max(count.crashes, count.endpoints) - count.limit;
  if (overLimit <= 0) return FIRST_PAUSE_MILLISECONDS;
  const pause = SECOND_PAUSE_MILLISECONDS * PAUSE_FACTOR ** (overLimit - 1);
  return Math.min(MAXIMUM_PAUSE_MILLISECONDS, pause);
}

/**
 * Computes which parts are blocked.
 *
 * A crash that speaks against several parts is attributed to the one with the most crashes. Parts that
 * are equal are all blocked, for a short time, until a success of one of them leaves the others.
 *
 * @param counts - the crashes of each part
 * @returns the states of the blocked parts
 * @example
 * computeBreakerStates([]).size; // 0
 */
export function computeBreakerStates(
  counts: Iterable<CrashCount>,
): ReadonlyMap<string, Extract<BreakerState, { readonly kind: 'open' }>> {
  const overLimit = [...counts].filter(isOverLimit);
  const blocked = overLimit.filter((count) => isUnexplained(count, overLimit));
  return new Map(
    blocked.map((count) => {
      const pauseMilliseconds = computePause(count, blocked);
      const retryAt = count.lastAt + pauseMilliseconds;
      return [count.part, { kind: 'open', crashes: count.crashes, retryAt, pauseMilliseconds }];
    }),
  );
}
