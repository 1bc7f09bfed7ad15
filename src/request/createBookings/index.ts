/**
 * Bookings: calls that are sent at most once for each client account and idempotency key.
 */
import { MAXIMUM_STORED_RESPONSE_BYTES } from '../../constants/index.js';
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { ResultCodeName } from '../../process/resultCodes/index.js';
import type { Booking, BookingResult, BookingState } from '../../types/booking/index.js';
import type { PlatformResult } from '../../types/platform/index.js';
import { abandonIntent } from '../abandonIntent/index.js';
import { nameJournalKey, type Journal } from '../createJournal/index.js';
import { createJournalRecord, type JournalOutcome } from '../createJournalRecord/index.js';
import { createRecentResponses } from '../createRecentResponses/index.js';
import type { ServiceCalls, ServiceOutcome } from '../createServiceCalls/index.js';
import { decideIntent, type IntentDecision, type JournalRecord } from '../decideIntent/index.js';
import { storeBookingOutcome } from '../storeBookingOutcome/index.js';

/** Options of {@link createBookings}. */
export interface CreateBookingsOptions {
  readonly context: NodeContext;
  readonly journal: Journal;
  readonly services: ServiceCalls;
  /** Requests the state of a booking from the node that wrote its intent; undefined when it is unknown. */
  readonly requestOwnerState: (
    record: JournalRecord,
    bookingKey: string,
    done: (state: BookingState | undefined) => void,
  ) => void;
  readonly decide?: typeof decideIntent | undefined;
}

/** The bookings of one node. */
export interface Bookings {
  readonly run: (booking: Booking, done: (result: BookingResult) => void) => void;
  /** Returns the state of a booking on this node by its journal key. */
  readonly inspect: (bookingKey: string) => BookingState;
  readonly count: () => number;
}

interface RunningBooking {
  readonly key: string;
  readonly booking: Booking;
  readonly attempt: string;
  readonly waiters: ((result: BookingResult) => void)[];
  readBackTries: number;
  /** True once the platform store has confirmed the intent of this attempt. */
  isOwner: boolean;
}

const MAXIMUM_READ_BACK_TRIES = 3;
const READ_BACK_DELAY_MILLISECONDS = 100;
const JOIN_POLL_MILLISECONDS = 200;

/**
 * Creates the component of a node that runs bookings.
 *
 * Before a call is sent, its intent must be durable in the platform's store. Only the attempt that
 * wrote the intent sends the call, and only once. An attempt that will never send replaces its intent
 * with `abandoned`, so that a retry with the same key can run.
 *
 * @param options - the node's context, journal and service calls
 * @returns the bookings
 * @example
 * createBookings(options).run(booking, (result) => respond(result));
 */
export function createBookings(options: CreateBookingsOptions): Bookings {
  const { context, journal, services, decide = decideIntent } = options;
  const running = new Map<string, RunningBooking>();
  const recent = createRecentResponses();

  const createRecord = (
    { booking, attempt }: RunningBooking,
    outcome: JournalOutcome,
  ): JournalRecord => createJournalRecord({ booking, attempt, owner: context, outcome });
  const end = (active: RunningBooking, result: BookingResult): void => {
    if (running.get(active.key) === active) running.delete(active.key);
    for (const waiter of active.waiters.splice(0)) waiter(result);
  };
  /** Reports outcome `unknown` for a retry that could not read the journal: an earlier try may have run. */
  const endWithError = (active: RunningBooking, code: ResultCodeName): void => {
    const isOutcomeUnknown =
      active.booking.tryNumber > 1 && !active.isOwner && code !== 'keyReused';
    context.count(`bookings_${code}`);
    end(active, { kind: 'error', code, ...(isOutcomeUnknown && { outcome: 'unknown' }) });
  };
  const createDecision = (
    { attempt, booking }: RunningBooking,
    result: PlatformResult,
  ): IntentDecision => {
    const { digest, tryNumber } = booking;
    return decide({ result, attempt, digest, tryNumber });
  };
  const isExpired = (active: RunningBooking): boolean =>
    context.now() >= active.booking.call.deadlineAt;

  const refuse = (active: RunningBooking, code: ResultCodeName): void => {
    const { key, attempt } = active;
    const record = createRecord(active, { state: 'abandoned' });
    abandonIntent({ context, journal, key, attempt, record });
    endWithError(active, code);
  };

  const handleOutcome = (
    active: RunningBooking,
    revision: number,
    outcome: ServiceOutcome,
  ): void => {
    if (outcome.kind === 'notSent') {
      refuse(active, 'noEndpoint');
      return;
    }
    if (outcome.kind === 'unknown') {
      const record = createRecord(active, { state: 'unknown' });
      storeBookingOutcome({ context, journal, key: active.key, revision, record }, () => {
        endWithError(active, 'outcomeUnknown');
      });
      return;
    }
    const { status, contentType, body } = outcome;
    const isStored = Buffer.byteLength(body) <= MAXIMUM_STORED_RESPONSE_BYTES;
    const stored = { status, contentType, body: isStored ? body : '' };
    recent.add(active.key, status, stored.body);
    const record = createRecord(active, { state: 'answered', ...stored });
    storeBookingOutcome({ context, journal, key: active.key, revision, record }, () => {
      context.count('bookings_answered');
      end(active, { kind: 'answer', status, contentType, body });
    });
  };
  const send = (active: RunningBooking, revision: number): void => {
    active.isOwner = true;
    if (isExpired(active)) {
      refuse(active, 'overloaded');
      return;
    }
    services.send(active.booking.call, (outcome) => {
      handleOutcome(active, revision, outcome);
    });
  };
  const readBack = (active: RunningBooking): void => {
    active.readBackTries += 1;
    if (active.readBackTries > MAXIMUM_READ_BACK_TRIES || isExpired(active)) {
      refuse(active, 'storeUnavailable');
      return;
    }
    context.schedule(READ_BACK_DELAY_MILLISECONDS * active.readBackTries, () => {
      journal.read(active.key, (result) => {
        applyDecision(active, result);
      });
    });
  };
  const join = (active: RunningBooking, record: JournalRecord): void => {
    options.requestOwnerState(record, active.key, (state) => {
      if (state?.state === 'answered') {
        const { status, body } = state;
        end(active, { kind: 'answer', status, contentType: 'application/json', body });
        return;
      }
      if (state?.state !== 'running' || isExpired(active)) {
        readOnce(active);
        return;
      }
      context.schedule(JOIN_POLL_MILLISECONDS, () => {
        join(active, record);
      });
    });
  };
  /** Decides by the stored record when the owner has no state; the outcome of a stored intent is unknown. */
  const readOnce = (active: RunningBooking): void => {
    journal.read(active.key, (result) => {
      const decision = createDecision(active, result);
      if (decision.kind === 'replay') replay(active, decision.record);
      else if (decision.kind === 'claim') claim(active, decision.expectedRevision);
      else endWithError(active, 'outcomeUnknown');
    });
  };
  const replay = (active: RunningBooking, record: JournalRecord): void => {
    context.count('bookings_replayed');
    const { status, contentType, body } = record;
    end(active, { kind: 'answer', status, contentType, body });
  };
  const HANDLERS: {
    [Kind in IntentDecision['kind']]: (
      active: RunningBooking,
      decision: Extract<IntentDecision, { kind: Kind }>,
    ) => void;
  } = {
    send: (active, { revision }) => {
      send(active, revision);
    },
    claim: (active, { expectedRevision }) => {
      claim(active, expectedRevision);
    },
    readBack: (active) => {
      readBack(active);
    },
    keyReused: (active) => {
      endWithError(active, 'keyReused');
    },
    replay: (active, { record }) => {
      replay(active, record);
    },
    join: (active, { record }) => {
      join(active, record);
    },
    unknown: (active) => {
      endWithError(active, 'outcomeUnknown');
    },
    notRun: (active) => {
      if (active.readBackTries === 0) endWithError(active, 'storeUnavailable');
      else readBack(active);
    },
  };
  const applyDecision = (active: RunningBooking, result: PlatformResult): void => {
    const decision = createDecision(active, result);
    const handler = HANDLERS[decision.kind] as (
      running: RunningBooking,
      next: IntentDecision,
    ) => void;
    handler(active, decision);
  };
  const claim = (active: RunningBooking, expectedRevision: number): void => {
    if (isExpired(active)) {
      refuse(active, 'overloaded');
      return;
    }
    journal.swap({
      key: active.key,
      record: createRecord(active, { state: 'intent' }),
      expectedRevision,
      done: (result) => {
        applyDecision(active, result);
      },
    });
  };

  return {
    run: (booking, done) => {
      const key = nameJournalKey(booking.account, booking.idempotencyKey);
      const existing = running.get(key);
      if (existing) {
        if (existing.booking.digest === booking.digest) existing.waiters.push(done);
        else done({ kind: 'error', code: 'keyReused' });
        return;
      }
      const attempt = context.nextId('booking');
      const active: RunningBooking = {
        key,
        booking,
        attempt,
        waiters: [done],
        readBackTries: 0,
        isOwner: false,
      };
      running.set(key, active);
      claim(active, 0);
    },
    inspect: (bookingKey) => {
      const answered = recent.find(bookingKey);
      if (answered) return answered;
      return { state: running.has(bookingKey) ? 'running' : 'absent' };
    },
    count: () => running.size,
  };
}
