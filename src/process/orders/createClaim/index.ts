/**
 * Claim of the one node that sends orders: a leased record with a fencing number.
 */
import {
  LEASE_MARGIN_MILLISECONDS,
  LEASE_DURATION_MILLISECONDS,
} from '../../../constants/index.js';
import type { NodeContext } from '../../node/createContext/index.js';

/** An exclusive claim on a task. */
export interface Claim {
  /** Acquires or renews the claim, or lets it expire when it is not wanted; call on every pass. */
  readonly update: (isWanted: boolean) => void;
  /** Fencing number while the claim is certainly valid; undefined otherwise. */
  readonly fencing: () => number | undefined;
  /** Time at which the claim was acquired, in milliseconds. */
  readonly acquiredAt: () => number;
}

/** Options of {@link createClaim}. */
export interface CreateClaimOptions {
  readonly context: NodeContext;
  readonly key: string;
  /** Time before the end of the lease at which the claim expires for its holder, in milliseconds. */
  readonly marginMilliseconds?: number | undefined;
}

/**
 * Creates a claim.
 *
 * The record is created only when absent, under a lease. Its revision in the platform's store is
 * the fencing number, which therefore only increases. The lease is counted from before the call that
 * granted or renewed it, and expires for its holder a margin early.
 *
 * @param options - the context, the platform key and the margin
 * @returns the claim
 * @example
 * const claim = createClaim({ context, key: 'orders/claim' });
 */
export function createClaim(options: CreateClaimOptions): Claim {
  const { context, key, marginMilliseconds = LEASE_MARGIN_MILLISECONDS } = options;
  let fencing = 0;
  let lease = '';
  let validUntil = -Infinity;
  let acquiredAt = 0;
  let isCallPending = false;

  const isHeld = (): boolean => fencing > 0 && context.now() < validUntil - marginMilliseconds;
  const clear = (): void => {
    fencing = 0;
    lease = '';
    validUntil = -Infinity;
  };
  const renew = (): void => {
    const calledAt = context.now();
    isCallPending = true;
    context.callPlatform({ kind: 'renewLease', lease }, (result) => {
      isCallPending = false;
      if (result.kind !== 'renewed') return;
      if (result.live) validUntil = calledAt + LEASE_DURATION_MILLISECONDS;
      else clear();
    });
  };
  const create = (granted: string, calledAt: number): void => {
    const value = JSON.stringify({ node: context.node, incarnation: context.incarnation });
    context.callPlatform(
      { kind: 'compareAndSwap', key, expectedRevision: 0, value, lease: granted },
      (result) => {
        isCallPending = false;
        if (result.kind !== 'swapped') return;
        lease = granted;
        fencing = result.revision;
        validUntil = calledAt + LEASE_DURATION_MILLISECONDS;
        acquiredAt = context.now();
        context.log('info', 'claim-acquired', { key, fencing });
      },
    );
  };
  const acquire = (): void => {
    isCallPending = true;
    const calledAt = context.now();
    context.callPlatform({ kind: 'get', key }, (found) => {
      if (found.kind !== 'entry' || found.entry) {
        isCallPending = false;
        return;
      }
      context.callPlatform(
        { kind: 'grantLease', milliseconds: LEASE_DURATION_MILLISECONDS },
        (result) => {
          if (result.kind === 'lease') create(result.lease, calledAt);
          else isCallPending = false;
        },
      );
    });
  };

  return {
    update: (isWanted) => {
      if (isCallPending) return;
      if (lease !== '' && !isHeld() && context.now() >= validUntil) clear();
      if (!isWanted) return;
      if (lease === '') acquire();
      else if (context.now() > validUntil - LEASE_DURATION_MILLISECONDS * 0.7) renew();
    },
    fencing: () => (isHeld() ? fencing : undefined),
    acquiredAt: () => acquiredAt,
  };
}
