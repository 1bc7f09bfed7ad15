/**
 * Answers of bookings that this node had lately.
 */
import type { BookingState } from '../../types/booking/index.js';

type AnsweredState = Extract<BookingState, { state: 'answered' }>;

/** Answers by journal key. */
export interface RecentAnswers {
  readonly remember: (key: string, status: number, body: string) => void;
  readonly find: (key: string) => AnsweredState | undefined;
}

const RECENT_ANSWERS = 1_024;

/**
 * Creates an empty memory of answers; the oldest is forgotten first.
 *
 * @returns the memory
 * @example
 * createRecentAnswers().find(key)?.status;
 */
export function createRecentAnswers(): RecentAnswers {
  const recent = new Map<string, AnsweredState>();
  return {
    remember: (key, status, body) => {
      recent.set(key, { state: 'answered', status, body });
      const [oldest] = recent.keys();
      if (recent.size > RECENT_ANSWERS && oldest !== undefined) recent.delete(oldest);
    },
    find: (key) => recent.get(key),
  };
}
