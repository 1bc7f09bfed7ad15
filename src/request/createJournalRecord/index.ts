/**
 * Records of bookings in the journal.
 */
import type { Booking } from '../../types/booking/index.js';
import type { JournalRecord } from '../decideIntent/index.js';

/** How far a booking came; an answer's fields are empty where there is none. */
export type JournalOutcome = Pick<JournalRecord, 'state'> &
  Partial<Pick<JournalRecord, 'status' | 'contentType' | 'body'>>;

/** Options of {@link createJournalRecord}. */
export interface CreateJournalRecordOptions {
  readonly booking: Pick<Booking, 'digest' | 'tryNumber'>;
  readonly attempt: string;
  /** Node that runs the booking, and its start. */
  readonly owner: Pick<JournalRecord, 'node' | 'incarnation'>;
  readonly outcome: JournalOutcome;
}

/**
 * Creates a record of a booking.
 *
 * @param options - the booking, its attempt, its node, and how far it came
 * @returns the record
 * @example
 * createJournalRecord({ booking, attempt, owner, outcome: { state: 'intent' } });
 */
export function createJournalRecord(options: CreateJournalRecordOptions): JournalRecord {
  const { booking, attempt, owner, outcome } = options;
  const { digest, tryNumber } = booking;
  const { node, incarnation } = owner;
  return {
    attempt,
    node,
    incarnation,
    digest,
    tryNumber,
    status: 0,
    contentType: '',
    body: '',
    ...outcome,
  };
}
