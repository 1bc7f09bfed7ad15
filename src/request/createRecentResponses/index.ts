/**
 * Responses of bookings that this node completed recently.
 */
import type { BookingState } from '../../types/booking/index.js';

type AnsweredState = Extract<BookingState, { state: 'answered' }>;

/** Responses by journal key. */
export interface RecentResponses {
  readonly add: (key: string, status: number, body: string) => void;
  readonly find: (key: string) => AnsweredState | undefined;
}

const MAXIMUM_RESPONSES = 1_024;

/**
 * Creates an empty store of recent responses, which evicts the oldest first.
 *
 * @returns the store
 * @example
 * createRecentResponses().find(key)?.status;
 */
export function createRecentResponses(): RecentResponses {
  const recent = new Map<string, AnsweredState>();
  return {
    add: (key, status, body) => {
      recent.set(key, { state: 'answered', status, body });
      const [oldest] = recent.keys();
      if (recent.size > MAXIMUM_RESPONSES && oldest !== undefined) recent.delete(oldest);
    },
    find: (key) => recent.get(key),
  };
}
