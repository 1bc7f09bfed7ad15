/**
 * Storage of a booking's outcome.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Journal } from '../createJournal/index.js';
import type { JournalRecord } from '../decideIntent/index.js';

/** Options of {@link storeBookingOutcome}. */
export interface StoreBookingOutcomeOptions {
  readonly context: NodeContext;
  readonly journal: Journal;
  /** Journal key of the booking. */
  readonly key: string;
  /** Revision of the intent that the record replaces. */
  readonly revision: number;
  readonly record: JournalRecord;
}

const MAXIMUM_WAIT_MILLISECONDS = 1_000;

/**
 * Replaces the intent of a booking by its outcome in the journal.
 *
 * The caller waits at most one second for the confirmation.
 *
 * @param options - the journal and the record
 * @param done - called once, when the record is stored or after that second; the write then continues
 * @example
 * storeBookingOutcome({ context, journal, key, revision, record }, respond);
 */
export function storeBookingOutcome(options: StoreBookingOutcomeOptions, done: () => void): void {
  const { context, journal, key, revision, record } = options;
  let isDone = false;
  const finish = (): void => {
    if (isDone) return;
    isDone = true;
    done();
  };
  const timer = context.schedule(MAXIMUM_WAIT_MILLISECONDS, finish);
  journal.swapUntilConfirmed({
    key,
    record,
    expectedRevision: revision,
    done: () => {
      context.cancel(timer);
      finish();
    },
  });
}
