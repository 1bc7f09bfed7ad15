/**
 * Bookings: calls that may not be repeated.
 */
import type { RequestOutcome, ResultCodeName } from '../../process/resultCodes/index.js';
import type { ServiceCall } from '../../request/createServiceCalls/index.js';

/** How a booking ended, as the caller is told. */
export type BookingEnd =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | {
      readonly kind: 'error';
      readonly code: ResultCodeName;
      /** Outcome when it differs from the code's own. */
      readonly outcome?: RequestOutcome;
    };

/** A booking as a caller asks for it. */
export interface Booking {
  readonly account: string;
  readonly idempotencyKey: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  readonly call: ServiceCall;
  /** The caller's number of this try; above 1 an earlier one may have run. */
  readonly tryNumber: number;
}

/** State of a booking on the node that runs it. */
export type BookingState =
  | { readonly state: 'running' | 'absent' }
  | { readonly state: 'answered'; readonly status: number; readonly body: string };
