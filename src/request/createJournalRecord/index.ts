/**
 * Journal records of bookings.
 */
import type { Booking } from '../../types/booking/index.js';
import type { JournalRecord } from '../decideIntent/index.js';

/** State of a booking, with the fields of its response if there is one. */
export type JournalOutcome = Pick<JournalRecord, 'state'> &
  Partial<Pick<JournalRecord, 'status' | 'contentType' | 'body'>>;

/** Options of {@link createJournalRecord}. */
export interface CreateJournalRecordOptions {
  readonly booking: Pick<Booking, 'digest' | 'tryNumber'>;
  readonly attempt: string;
  /** Node that runs the booking, and its incarnation. */
  readonly owner: Pick<JournalRecord, 'node' | 'incarnation'>;
  readonly outcome: JournalOutcome;
}

/**
 * Creates the journal record of a booking.
 *
 * @param options - the booking, its attempt, its node and its state
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
