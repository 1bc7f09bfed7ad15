/**
 * Storage of a booking's outcome.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Journal } from '../createJournal/index.js';
import type { JournalRecord } from '../decideIntent/index.js';

/** Options of {@link storeOutcome}. */
export interface StoreOutcomeOptions {
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
 * Stores an outcome. The caller waits at most one second for the confirmation.
 *
 * @param options - the journal and the record
 * @param done - called once, when the record is stored or the wait time is over
 * @example
 * storeOutcome({ context, journal, key, revision, record }, respond);
 */
export function storeOutcome(options: StoreOutcomeOptions, done: () => void): void {
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
