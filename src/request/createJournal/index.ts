/**
 * Journal of calls that may be sent at most once, stored in the platform's store.
 */
import { BOOKING_RETENTION_MILLISECONDS } from '../../constants/index.js';
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { PlatformResult } from '../../types/platform/index.js';
import { digestText } from '../../version/digestText/index.js';
import type { JournalRecord } from '../decideIntent/index.js';

/** Options of {@link Journal.swap}. */
export interface SwapRecordOptions {
  readonly key: string;
  readonly record: JournalRecord;
  readonly expectedRevision: number;
  readonly done: (result: PlatformResult) => void;
}

/** Journal of bookings. */
export interface Journal {
  readonly swap: (options: SwapRecordOptions) => void;
  readonly read: (key: string, done: (result: PlatformResult) => void) => void;
  /** Writes an outcome and repeats the write until the platform has confirmed it. */
  readonly swapUntilConfirmed: (
    options: Omit<SwapRecordOptions, 'done'> & { readonly done: () => void },
  ) => void;
  /** Number of outcomes that the platform has not confirmed yet. */
  readonly backlog: () => number;
}

const LEASE_REUSE_MILLISECONDS = 3_600_000;
const INITIAL_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 8_000;

/**
 * Returns the journal key of a call.
 *
 * @param account - name of the client account
 * @param idempotencyKey - the caller's key
 * @returns the key in the platform store
 * @example
 * nameJournalKey('kiosk', 'booking-1');
 */
export function nameJournalKey(account: string, idempotencyKey: string): string {
  return `journal/${account}/${digestText(idempotencyKey)}`;
}

/**
 * Creates the journal.
 *
 * Records are written under a lease that is never renewed, so that the platform removes them after
 * the retention time. One lease is used for an hour; then a new one is requested.
 *
 * @param context - the node's context
 * @returns the journal
 * @example
 * createJournal(context).read(key, (result) => decide(result));
 */
export function createJournal(context: NodeContext): Journal {
  let lease = '';
  let leaseUntil = 0;
  let backlog = 0;

  const withLease = (done: (lease: string) => void, failed: () => void): void => {
    if (lease !== '' && context.now() < leaseUntil) {
      done(lease);
      return;
    }
    const milliseconds = BOOKING_RETENTION_MILLISECONDS + LEASE_REUSE_MILLISECONDS;
    context.callPlatform({ kind: 'grantLease', milliseconds }, (result) => {
      if (result.kind !== 'lease') {
        failed();
        return;
      }
      ({ lease } = result);
      leaseUntil = context.now() + LEASE_REUSE_MILLISECONDS;
      done(lease);
    });
  };
  const swap = ({ key, record, expectedRevision, done }: SwapRecordOptions): void => {
    withLease(
      (granted) => {
        const value = JSON.stringify(record);
        context.callPlatform(
          { kind: 'compareAndSwap', key, expectedRevision, value, lease: granted },
          done,
        );
      },
      () => {
        done({ kind: 'refused' });
      },
    );
  };
  const swapWithRetries = (
    options: Omit<SwapRecordOptions, 'done'> & { readonly done: () => void },
    delay: number,
  ): void => {
    swap({
      ...options,
      done: (result) => {
        if (result.kind === 'swapped' || result.kind === 'conflict') {
          backlog -= 1;
          options.done();
          return;
        }
        const next = Math.min(delay * 2, MAXIMUM_RETRY_MILLISECONDS);
        context.schedule(delay, () => {
          swapWithRetries(options, next);
        });
      },
    });
  };

  return {
    swap,
    read: (key, done) => {
      context.callPlatform({ kind: 'get', key }, done);
    },
    swapUntilConfirmed: (options) => {
      backlog += 1;
      swapWithRetries(options, INITIAL_RETRY_MILLISECONDS);
    },
    backlog: () => backlog,
  };
}
