/**
 * Faults that are injected into a stand-in at run time.
 */
import { z } from 'zod';
import { createRandom } from '../../src/process/createRandom/index.js';

/** Injected fault. Applies with `probability` to requests whose target contains `target`. */
export const faultSchema = z.object({
  kind: z.enum(['delay', 'dropReply', 'refuse', 'stall', 'die', 'down']),
  target: z.string().default(''),
  probability: z.number().min(0).max(1).default(1),
  /** Length of the delay, or duration of the fault, in milliseconds; 0 means until cleared. */
  milliseconds: z.number().default(0),
  /** Maximum number of requests that the fault applies to; 0 means no maximum. */
  count: z.number().int().default(0),
  /** For `die`: number of tokens after which the process exits. */
  afterTokens: z.number().int().default(0),
});
export type Fault = z.infer<typeof faultSchema>;
export type FaultInput = z.input<typeof faultSchema>;

/** Active faults of a stand-in. */
export interface Faults {
  readonly add: (fault: FaultInput) => void;
  readonly clear: () => void;
  /** Returns the fault of a kind that applies to a request, if any, and counts its use. */
  readonly consume: (kind: Fault['kind'], target: string) => Fault | undefined;
}

/**
 * Creates an empty set of faults.
 *
 * @param seed - seed of the random draws for probabilities
 * @returns the faults
 * @example
 * createFaults(1).add({ kind: 'dropReply', target: 'compareAndSwap', count: 1 });
 */
export function createFaults(seed: number): Faults {
  const random = createRandom(seed);
  let active: { fault: Fault; remainingCount: number; expiresAt: number }[] = [];
  return {
    add: (input) => {
      const fault = faultSchema.parse(input);
      const hasDuration = fault.milliseconds > 0 && fault.kind !== 'delay';
      const expiresAt = hasDuration ? performance.now() + fault.milliseconds : Infinity;
      active.push({
        fault,
        remainingCount: fault.count === 0 ? Infinity : fault.count,
        expiresAt,
      });
    },
    clear: () => {
      active = [];
    },
    consume: (kind, target) => {
      active = active.filter(
        ({ remainingCount, expiresAt }) => remainingCount > 0 && performance.now() < expiresAt,
      );
      const entry = active.find(
        ({ fault }) => fault.kind === kind && target.includes(fault.target),
      );
      if (!entry || random() >= entry.fault.probability) return undefined;
      entry.remainingCount -= 1;
      return entry.fault;
    },
  };
}
