/**
 * Types of bookings: calls that must run at most once.
 */
import type { RequestOutcome, ResultCodeName } from '../../process/resultCodes/index.js';
import type { ServiceCall } from '../../request/createServiceCalls/index.js';

/** Result of a booking, as it is returned to the caller. */
export type BookingResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | {
      readonly kind: 'error';
      readonly code: ResultCodeName;
      /** Outcome, when it differs from the default outcome of the code. */
      readonly outcome?: RequestOutcome;
    };

/** Booking that a caller requests. */
export interface Booking {
  readonly account: string;
  readonly idempotencyKey: string;
  /** Digest of the method, path and body. */
  readonly digest: string;
  readonly call: ServiceCall;
  /** Number of the caller's try; above 1, an earlier try may have run. */
  readonly tryNumber: number;
}

/** State of a booking on the node that runs it. */
export type BookingState =
  | { readonly state: 'running' | 'absent' }
  | { readonly state: 'answered'; readonly status: number; readonly body: string };
