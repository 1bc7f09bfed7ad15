/**
 * Retry budgets of services, of which each node uses its share.
 */

/** Options of {@link createServiceRetryBudget}. */
export interface CreateServiceRetryBudgetOptions {
  /** Number of retries allowed for each request. */
  readonly ratio: number;
  /** Number of retries beyond the ratio that all nodes together may make in a window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
  /** Returns the number of nodes that share the slack. */
  readonly countNodes: () => number;
}

/** Retry budget of each service. */
export interface ServiceRetryBudget {
  readonly recordRequest: (service: string, now: number) => void;
  /** Takes one retry; returns false when the budget is used up. */
  readonly take: (service: string, now: number) => boolean;
  /** Returns the number of retries that this node may still make now. */
  readonly countLeft: (service: string, now: number) => number;
}

/** Share of the budget that is used, so that nodes with different views of it stay within it. */
const USED_SHARE = 0.8;

interface SendTimes {
  readonly requests: number[];
  readonly retries: number[];
}

function dropBefore(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/**
 * Creates a node's share of the retry budget of each service.
 *
 * @param options - the ratio, the slack and the window in milliseconds
 * @returns the budgets
 * @example
 * createServiceRetryBudget({ ratio: 0.2, slack: 10, windowMilliseconds: 10_000, countNodes: () => 6 });
 */
export function createServiceRetryBudget(
  options: CreateServiceRetryBudgetOptions,
): ServiceRetryBudget {
  const { ratio, slack, windowMilliseconds, countNodes } = options;
  const services = new Map<string, SendTimes>();
  const findTimes = (service: string, now: number): SendTimes => {
    const times = services.get(service) ?? { requests: [], retries: [] };
    services.set(service, times);
    dropBefore(times.requests, now - windowMilliseconds);
    dropBefore(times.retries, now - windowMilliseconds);
    return times;
  };
  const countLeft = (service: string, now: number): number => {
    const { requests, retries } = findTimes(service, now);
    const share = slack / Math.max(1, countNodes());
    return Math.floor(USED_SHARE * (ratio * requests.length + share) - retries.length);
  };
  return {
    countLeft,
    recordRequest: (service, now) => {
      findTimes(service, now).requests.push(now);
    },
    take: (service, now) => {
      if (countLeft(service, now) < 1) return false;
      findTimes(service, now).retries.push(now);
      return true;
    },
  };
}
