/**
 * Measures how evenly many nodes fill engines of uneven speed while each knows the others' load with a delay.
 */
import type { Row } from '../../src/commands/printOutput/index.js';
import { DECISION_VARIANTS } from '../../emulator/decisionVariants/index.js';
import { readSite } from '../../emulator/readScenario/index.js';
import {
  simulateChoosers,
  type SimulateChoosersOptions,
} from '../../emulator/simulateChoosers/index.js';
import { round, type Measurement, type Target } from '../types.js';

const CHOOSERS = [6, 36, 86, 350] as const;
/** Number of nodes from which refused arrivals have a bound. */
const BOUNDED_CHOOSERS = 86;
const MAXIMUM_REFUSED_SHARE = 0.01;

/** Loads: three kinds of engines at the usual demand and in a burst, and four kinds with demand that rises and falls. */
const LOADS: readonly (Omit<SimulateChoosersOptions, 'choosers' | 'seed'> & {
  readonly name: string;
})[] = [
  {
    name: 'three kinds',
    site: readSite('examples/emulator/fit-desk-large.json'),
    streamsPerSecond: 204,
    priorities: [0, 1, 2],
  },
  {
    name: 'three kinds, burst',
    site: readSite('examples/emulator/fit-desk-large.json'),
    streamsPerSecond: 300,
    priorities: [0, 1, 2],
  },
  {
    name: 'four kinds',
    site: readSite('examples/emulator/uneven.json'),
    streamsPerSecond: 121,
    demand: { amplitude: 0.55, periodSeconds: 13 },
  },
];
const DEFAULT_SEED = '1';

function describePercent(part: number, whole: number): number {
  return round((100 * part) / Math.max(1, whole), 2);
}

/**
 * Measures loads and numbers of nodes; `LOAD_BALANCE_SEED` sets the seed, and `LOAD_BALANCE_VERSION` a version of the decisions.
 *
 * @returns one row for each load and number of nodes
 * @example
 * measureLoadBalance().rows;
 */
export function measureLoadBalance(): Measurement {
  const seed = Number(process.env.LOAD_BALANCE_SEED ?? DEFAULT_SEED);
  const version = process.env.LOAD_BALANCE_VERSION ?? 'product';
  const decisions = DECISION_VARIANTS[version];
  if (!decisions) throw new Error(`unknown version ${version} of the decisions`);
  const rows: Row[] = [];
  const targets: Target[] = [];
  for (const { name, ...load } of LOADS) {
    for (const choosers of CHOOSERS) {
      const result = simulateChoosers({ ...load, choosers, seed, decisions });
      const { slots, memory } = result.refusedArrivals;
      const refused = slots + memory;
      rows.push({
        load: name,
        choosers,
        streams: result.streams,
        'on time %': describePercent(result.onTime, result.streams),
        'late %': describePercent(result.late, result.streams),
        'refused %': describePercent(result.refused, result.streams),
        'arrivals refused %': describePercent(refused, result.arrivals),
        'for slots': slots,
        'for memory': memory,
        spread: round(result.spread, 2),
        'free slots %': describePercent(result.freeSlots, 1),
        'free memory %': describePercent(result.freeMemory, 1),
        'first event real/predicted': result.firstEventRatio
          .map((ratio) => round(ratio, 2))
          .join(' '),
        'load age ms': result.loadAge.map((age) => Math.round(age)).join(' '),
        'choice µs': result.choiceMicroseconds.map((time) => Math.round(time)).join(' '),
      });
      if (choosers < BOUNDED_CHOOSERS) continue;
      targets.push({
        name: `${name}, ${choosers} nodes: arrivals that endpoints refuse`,
        target: `under ${MAXIMUM_REFUSED_SHARE * 100} in 100`,
        measured: `${describePercent(refused, result.arrivals)}`,
        isMet: refused < MAXIMUM_REFUSED_SHARE * result.arrivals,
      });
    }
  }
  return { rows, targets };
}
