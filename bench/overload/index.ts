/**
 * Measures goodput under overload, and the latency of a small account while another account
 * overloads the site.
 */
import { computeThroughputBound } from '../computeThroughputBound/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';
import {
  createEngines,
  startVirtualLoad,
  type LoadAccount,
  type VirtualLoad,
} from '../startVirtualLoad/index.js';

const LAYERS = 48;
const RUN_MILLISECONDS = 20_000;
const DRAIN_MILLISECONDS = 8_000;
const FACTORS = [0.5, 1, 2, 5];
const SLOW_LAYERS_PER_SECOND = 1_000;
const MEAN_ANSWER_TOKENS = 23.5;
const MINIMUM_GOODPUT_SHARE = 0.95;
const OVERLOAD_FACTOR = 3;
const MAXIMUM_SLOWDOWN = 2;

/** Returns the upper bound on the requests per second that the fleet can answer. */
function computeRequestBound(): number {
  const engines = createEngines(SLOW_LAYERS_PER_SECOND).map(({ report }) => report);
  return computeThroughputBound(engines, LAYERS) / MEAN_ANSWER_TOKENS;
}

function runVirtualLoad(accounts: readonly LoadAccount[]): VirtualLoad {
  const load = startVirtualLoad({
    accounts,
    engines: createEngines(SLOW_LAYERS_PER_SECOND),
    deadlineMilliseconds: 5_000,
    seed: 21,
  });
  load.sendLoad(RUN_MILLISECONDS);
  load.system.run(DRAIN_MILLISECONDS);
  return load;
}

function measureFactor(factor: number, bound: number) {
  const rate = (factor * bound) / 4;
  const names = ['a', 'b', 'c', 'd'];
  const load = runVirtualLoad(names.map((name) => ({ name, rate })));
  const complete = load.requests.filter(load.isComplete);
  const refused = load.requests.filter(
    ({ id }) => (load.system.responses.get(id)?.status ?? 0) >= 400,
  );
  const waits = refused.map(({ sentAt, endedAt }) => endedAt - sentAt);
  return {
    factor,
    offered: round(load.requests.length / (RUN_MILLISECONDS / 1_000)),
    goodput: round(complete.length / (RUN_MILLISECONDS / 1_000)),
    'of the bound %': round((100 * complete.length) / ((RUN_MILLISECONDS / 1_000) * bound)),
    'refused %': round((100 * refused.length) / load.requests.length),
    'refusal p95 ms': summarizeValues(waits).p95,
    'first token p95 ms': summarizeValues(complete.map(({ sentAt, firstAt }) => firstAt - sentAt))
      .p95,
  };
}

/** Measures goodput at 0.5, 1, 2 and 5 times the throughput bound. */
export function measureOverload(): Measurement {
  const bound = computeRequestBound();
  const rows = FACTORS.map((factor) => measureFactor(factor, bound));
  const peak = Math.max(...rows.map(({ goodput }) => goodput));
  const atFive = rows.at(-1)?.goodput ?? 0;
  return {
    rows,
    targets: [
      {
        name: 'goodput at 5 times the bound, of its peak',
        target: `${(MINIMUM_GOODPUT_SHARE * 100).toString()}%`,
        measured: `${round((100 * atFive) / peak).toString()}%`,
        isMet: atFive >= MINIMUM_GOODPUT_SHARE * peak,
      },
    ],
  };
}

function summarizeSmallAccount(load: VirtualLoad) {
  const small = load.requests.filter(({ account }) => account === 'small');
  const times = small.filter(load.isComplete).map(({ sentAt, endedAt }) => endedAt - sentAt);
  return { ...summarizeValues(times), whole: times.length, asked: small.length };
}

/**
 * Measures the latency of a small account alone and next to an account that sends 3 times the
 * bound.
 */
export function measureFairness(): Measurement {
  const bound = computeRequestBound();
  const small = { name: 'small', rate: 3 };
  const alone = summarizeSmallAccount(runVirtualLoad([small]));
  const overloaded = summarizeSmallAccount(
    runVirtualLoad([small, { name: 'large', rate: OVERLOAD_FACTOR * bound }]),
  );
  const row = (competitor: string, summary: typeof alone) => ({
    beside: competitor,
    asked: summary.asked,
    whole: summary.whole,
    'p50 ms': summary.p50,
    'p95 ms': summary.p95,
  });
  return {
    rows: [row('nobody', alone), row('a flood of 3 times the bound', overloaded)],
    targets: [
      {
        name: 'whole answer of a small account beside a flood, p95 against quiet',
        target: `within ${MAXIMUM_SLOWDOWN.toString()} times`,
        measured: `${round(overloaded.p95 / alone.p95, 2).toString()} times`,
        isMet:
          overloaded.p95 <= MAXIMUM_SLOWDOWN * alone.p95 && overloaded.whole === overloaded.asked,
      },
    ],
  };
}
