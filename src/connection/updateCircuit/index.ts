/**
 * Circuit breaker of one engine or link.
 */

/** State of a circuit. Times are in milliseconds on the node's clock. */
export interface Circuit {
  readonly state: 'closed' | 'open' | 'halfOpen';
  readonly failures: number;
  /** Time at which a circuit that is not closed admits one probe. */
  readonly retryAt: number;
}

/** Event that changes a circuit. */
export type CircuitEvent = 'success' | 'failure' | 'probe';

const FIRST_BACKOFF_MILLISECONDS = 500;
const MAXIMUM_BACKOFF_MILLISECONDS = 30_000;
const PROBE_TIMEOUT_MILLISECONDS = 2_000;

/** Closed circuit without failures. */
export const CLOSED_CIRCUIT: Circuit = { state: 'closed', failures: 0, retryAt: 0 };

const HANDLERS: Record<CircuitEvent, (circuit: Circuit, now: number) => Circuit> = {
  success: () => CLOSED_CIRCUIT,
  failure: (circuit, now) => {
    const failures = circuit.failures + 1;
    const backoff = Math.min(
      FIRST_BACKOFF_MILLISECONDS * 2 ** (failures - 1),
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    return { state: 'open', failures, retryAt: now + backoff };
  },
  probe: (circuit, now) => ({
    ...circuit,
    state: 'halfOpen',
    retryAt: now + PROBE_TIMEOUT_MILLISECONDS,
  }),
};

/**
 * Updates a circuit after an event.
 *
 * A failure opens it with exponential backoff, one probe is admitted when the backoff ends, and a
 * success closes it.
 *
 * @param circuit - the circuit so far
 * @param event - the event
 * @param nowMilliseconds - the current time in milliseconds
 * @returns the next circuit
 * @example
 * updateCircuit(CLOSED_CIRCUIT, 'failure', 0).state; // 'open'
 */
export function updateCircuit(
  circuit: Circuit,
  event: CircuitEvent,
  nowMilliseconds: number,
): Circuit {
  return HANDLERS[event](circuit, nowMilliseconds);
}

/**
 * Returns whether a circuit admits a call now.
 *
 * @param circuit - the circuit
 * @param nowMilliseconds - the current time in milliseconds
 * @returns true when it is closed or due for a probe
 * @example
 * admitsCall(CLOSED_CIRCUIT, 0); // true
 */
export function admitsCall(circuit: Circuit, nowMilliseconds: number): boolean {
  return circuit.state === 'closed' || nowMilliseconds >= circuit.retryAt;
}
