/**
 * Issuer of permits to send requests to endpoints with a rate limit.
 */
import { MILLISECONDS_PER_SECOND } from '../../constants/index.js';
import type { PermitDecision } from '../../types/rateLimit/index.js';

/** Options of {@link createPermitIssuer}. */
export interface CreatePermitIssuerOptions {
  /** Rate that is granted where the limit is lower, in permits per second; 0 by default. */
  readonly minimumPerSecond?: number;
}

/** Permit that is asked for. */
export interface PermitDemand {
  /** Name of what is limited: an endpoint and its start. */
  readonly key: string;
  readonly permitsPerSecond: number;
  readonly maximumWaitMilliseconds: number;
  /** Time from which permits count that this issuer has not granted, in milliseconds; now by default. */
  readonly since?: number;
}

/** Issuer of permits. */
export interface PermitIssuer {
  /** Grants the next permit if it is due within the wait limit. */
  readonly reserve: (demand: PermitDemand, now: number) => PermitDecision;
}

/** Time for which permits that nobody asked for stay available, in milliseconds. */
const UNUSED_PERMIT_MILLISECONDS = 500;
/** Time after which an issuer forgets a key that nobody asked for, in milliseconds. */
const FORGET_MILLISECONDS = 60_000;
const MAXIMUM_KEYS = 4_096;

/**
 * Creates an issuer that has granted nothing.
 *
 * Permits are reserved one after the other, each for its own time, so that requests are sent at the limited
 * rate in the order in which they asked. Another issuer may have granted permits before; the first one of a key is
 * therefore due after a whole interval.
 *
 * @param options - the minimum rate
 * @returns the issuer
 * @example
 * createPermitIssuer().reserve({ key: 'i-1/0', permitsPerSecond: 2, maximumWaitMilliseconds: 900 }, now);
 */
export function createPermitIssuer({
  minimumPerSecond = 0,
}: CreatePermitIssuerOptions = {}): PermitIssuer {
  /** Time of the next permit by key, in milliseconds. */
  const dueAt = new Map<string, number>();
  const forgetOld = (now: number): void => {
    for (const [key, at] of dueAt) if (now - at > FORGET_MILLISECONDS) dueAt.delete(key);
    if (dueAt.size > MAXIMUM_KEYS) dueAt.clear();
  };
  return {
    reserve: ({ key, permitsPerSecond, maximumWaitMilliseconds, since }, now) => {
      const interval = MILLISECONDS_PER_SECOND / Math.max(minimumPerSecond, permitsPerSecond);
      const known = dueAt.get(key);
      if (known === undefined) forgetOld(now);
      const next = known ?? (since ?? now) + interval;
      const at = Math.max(next, now - UNUSED_PERMIT_MILLISECONDS);
      const waitMilliseconds = Math.max(0, at - now);
      const isGranted = waitMilliseconds <= maximumWaitMilliseconds;
      dueAt.set(key, isGranted ? at + interval : next);
      return { isGranted, waitMilliseconds };
    },
  };
}
