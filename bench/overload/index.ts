/**
 * Overload: goodput at several times the bound, and a small account beside one that floods.
 */
import { boundThroughput } from '../boundThroughput/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';
import {
  createFortyEngines,
  startVirtualLoad,
  type LoadAccount,
  type VirtualLoad,
} from '../virtualLoad/index.js';

const LAYERS = 48;
const RUN_MILLISECONDS = 20_000;
const DRAIN_MILLISECONDS = 8_000;
const FACTORS = [0.5, 1, 2, 5];
const SLOW_LAYERS_PER_SECOND = 1_000;
const MEAN_ANSWER_TOKENS = 23.5;
const KEPT_GOODPUT = 0.95;
const FLOOD_FACTOR = 3;
const LARGEST_SLOWDOWN = 2;

/** Requests a second that the fleet can answer at the most. */
function boundRequests(): number {
  const engines = createFortyEngines(SLOW_LAYERS_PER_SECOND).map(({ report }) => report);
  return boundThroughput(engines, LAYERS) / MEAN_ANSWER_TOKENS;
}

function runLoad(accounts: readonly LoadAccount[]): VirtualLoad {
  const load = startVirtualLoad({
    accounts,
    engines: createFortyEngines(SLOW_LAYERS_PER_SECOND),
    deadlineMilliseconds: 5_000,
    seed: 21,
  });
  load.offer(RUN_MILLISECONDS);
  load.system.run(DRAIN_MILLISECONDS);
  return load;
}

function measureFactor(factor: number, bound: number) {
  const rate = (factor * bound) / 4;
  const names = ['a', 'b', 'c', 'd'];
  const load = runLoad(names.map((name) => ({ name, rate })));
  const whole = load.requests.filter(load.isWhole);
  const refused = load.requests.filter(
    ({ id }) => (load.system.responses.get(id)?.status ?? 0) >= 400,
  );
  const waits = refused.map(({ sentAt, endedAt }) => endedAt - sentAt);
  return {
    factor,
    offered: round(load.requests.length / (RUN_MILLISECONDS / 1_000)),
    goodput: round(whole.length / (RUN_MILLISECONDS / 1_000)),
    'of the bound %': round((100 * whole.length) / ((RUN_MILLISECONDS / 1_000) * bound)),
    'refused %': round((100 * refused.length) / load.requests.length),
    'refusal p95 ms': summarizeValues(waits).p95,
    'first token p95 ms': summarizeValues(whole.map(({ sentAt, firstAt }) => firstAt - sentAt)).p95,
  };
}

/** Measures goodput at 0.5, 1, 2 and 5 times the bound. */
export function measureOverload(): Measurement {
  const bound = boundRequests();
  const rows = FACTORS.map((factor) => measureFactor(factor, bound));
  const peak = Math.max(...rows.map(({ goodput }) => goodput));
  const atFive = rows.at(-1)?.goodput ?? 0;
  return {
    rows,
    targets: [
      {
        name: 'goodput at 5 times the bound, of its peak',
        target: `${(KEPT_GOODPUT * 100).toString()}%`,
        measured: `${round((100 * atFive) / peak).toString()}%`,
        isMet: atFive >= KEPT_GOODPUT * peak,
      },
    ],
  };
}

function summarizeSmall(load: VirtualLoad) {
  const small = load.requests.filter(({ account }) => account === 'small');
  const times = small.filter(load.isWhole).map(({ sentAt, endedAt }) => endedAt - sentAt);
  return { ...summarizeValues(times), whole: times.length, asked: small.length };
}

/** Measures a small account's latency when quiet and beside an account that floods. */
export function measureFairness(): Measurement {
  const bound = boundRequests();
  const small = { name: 'small', rate: 3 };
  const quiet = summarizeSmall(runLoad([small]));
  const flooded = summarizeSmall(runLoad([small, { name: 'large', rate: FLOOD_FACTOR * bound }]));
  const row = (beside: string, summary: typeof quiet) => ({
    beside,
    asked: summary.asked,
    whole: summary.whole,
    'p50 ms': summary.p50,
    'p95 ms': summary.p95,
  });
  return {
    rows: [row('nobody', quiet), row('a flood of 3 times the bound', flooded)],
    targets: [
      {
        name: 'whole answer of a small account beside a flood, p95 against quiet',
        target: `within ${LARGEST_SLOWDOWN.toString()} times`,
        measured: `${round(flooded.p95 / quiet.p95, 2).toString()} times`,
        isMet: flooded.p95 <= LARGEST_SLOWDOWN * quiet.p95 && flooded.whole === flooded.asked,
      },
    ],
  };
}
