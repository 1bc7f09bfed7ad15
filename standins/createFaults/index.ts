/**
 * Faults that a stand-in takes at run time.
 */
import { z } from 'zod';
import { createRandom } from '../../src/process/createRandom/index.js';

/** One fault. It applies to requests whose target contains `target`, with `probability`. */
export const faultSchema = z.object({
  kind: z.enum(['delay', 'dropReply', 'refuse', 'stall', 'die', 'down']),
  target: z.string().default(''),
  probability: z.number().min(0).max(1).default(1),
  /** Delay, or length of the fault; 0 means until cleared, in milliseconds. */
  milliseconds: z.number().default(0),
  /** Number of requests that the fault hits; 0 means any number. */
  count: z.number().int().default(0),
  /** For `die`: number of tokens after which the process dies. */
  afterTokens: z.number().int().default(0),
});
export type Fault = z.infer<typeof faultSchema>;
export type FaultInput = z.input<typeof faultSchema>;

/** The faults of one stand-in. */
export interface Faults {
  readonly add: (fault: FaultInput) => void;
  readonly clear: () => void;
  /** Returns the fault of a kind that hits a request now, if any. */
  readonly hit: (kind: Fault['kind'], target: string) => Fault | undefined;
}

/**
 * Creates an empty set of faults.
 *
 * @param seed - seed of the probabilities
 * @returns the faults
 * @example
 * createFaults(1).add({ kind: 'dropReply', target: 'compareAndSwap', count: 1 });
 */
export function createFaults(seed: number): Faults {
  const random = createRandom(seed);
  let active: { fault: Fault; left: number; until: number }[] = [];
  return {
    add: (input) => {
      const fault = faultSchema.parse(input);
      const lasts = fault.milliseconds > 0 && fault.kind !== 'delay';
      const until = lasts ? performance.now() + fault.milliseconds : Infinity;
      active.push({ fault, left: fault.count === 0 ? Infinity : fault.count, until });
    },
    clear: () => {
      active = [];
    },
    hit: (kind, target) => {
      active = active.filter(({ left, until }) => left > 0 && performance.now() < until);
      const entry = active.find(
        ({ fault }) => fault.kind === kind && target.includes(fault.target),
      );
      if (!entry || random() >= entry.fault.probability) return undefined;
      entry.left -= 1;
      return entry.fault;
    },
  };
}
