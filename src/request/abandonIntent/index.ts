/**
 * Abandons the intent of a booking that this node will never send.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Journal } from '../createJournal/index.js';
import { readJournalRecord, type JournalRecord } from '../decideIntent/index.js';

/** Options of {@link abandonIntent}. */
export interface AbandonIntentOptions {
  readonly context: NodeContext;
  readonly journal: Journal;
  /** Journal key of the booking. */
  readonly key: string;
  readonly attempt: string;
  /** Record that replaces the intent. */
  readonly record: JournalRecord;
}

const RETRY_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_TRIES = 300;

/**
 * Replaces the stored intent of an attempt that will not send, so that a retry with the same key can run.
 *
 * The journal may be unreachable, or the intent may not be stored yet; the function then tries again
 * after a delay, a limited number of times.
 *
 * @param options - the journal, the attempt and the record that replaces its intent
 * @param tries - number of tries before this one
 * @example
 * abandonIntent({ context, journal, key, attempt, record });
 */
export function abandonIntent(options: AbandonIntentOptions, tries = 0): void {
  const { context, journal, key, attempt, record } = options;
  const scheduleRetry = (): void => {
    if (tries >= MAXIMUM_TRIES) return;
    context.schedule(RETRY_DELAY_MILLISECONDS, () => {
      abandonIntent(options, tries + 1);
    });
  };
  const replaceIntent = (expectedRevision: number): void => {
    journal.swap({
      key,
      record,
      expectedRevision,
      done: (result) => {
        if (result.kind !== 'swapped') scheduleRetry();
      },
    });
  };
  journal.read(key, (result) => {
    if (result.kind !== 'entry') {
      scheduleRetry();
      return;
    }
    if (!result.entry) {
      replaceIntent(0);
      return;
    }
    const stored = readJournalRecord(result.entry.value);
    if (stored?.attempt !== attempt || stored.state !== 'intent') return;
    replaceIntent(result.entry.revision);
  });
}
