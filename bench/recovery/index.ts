/**
 * Recovery: the time from a fault to the next token, and alarms without a fault.
 */
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';
import {
  startVirtualLoad,
  type StartVirtualLoadOptions,
  type VirtualLoad,
} from '../virtualLoad/index.js';

const JITTER = 0.35;
const RATE = 30;
const RUN_MILLISECONDS = 20_000;
const FAULT_AT_MILLISECONDS = 8_000;
const DEATH_TARGET_MILLISECONDS = 1_000;
const STALL_GAPS = 3;
const LARGEST_FALSE_ALARMS = 1 / 10_000;

type Weigh = NonNullable<StartVirtualLoadOptions['weigh']>;

function runFault(kind: 'death' | 'stall' | 'none', weigh: Weigh, seed: number): VirtualLoad {
  const load = startVirtualLoad({
    accounts: [{ name: 'a', rate: RATE }],
    fleetOptions: { jitter: JITTER },
    weigh,
    seed,
  });
  load.system.queue.schedule(FAULT_AT_MILLISECONDS, () => {
    for (const from of ['0', '12', '24', '36']) {
      const engine = load.fleet.engines.get(`e-${from}-1`);
      if (!engine) continue;
      engine.isDown = kind === 'death';
      engine.isStalled = kind === 'stall';
    }
  });
  load.offer(RUN_MILLISECONDS);
  load.system.run(10_000);
  return load;
}

function describe(kind: string, weigh: Weigh, load: VirtualLoad) {
  const recoveries = load.observations.filter(({ metric }) => metric === 'recovery');
  const times = summarizeValues(recoveries.map(({ milliseconds }) => milliseconds));
  const gaps = summarizeValues(load.requests.flatMap((request) => request.gaps));
  const firsts = load.requests
    .map(({ firstAt, sentAt }) => firstAt - sentAt)
    .filter((time) => time >= 0);
  return {
    fault: kind,
    weighs: weigh,
    asked: load.requests.length,
    whole: load.requests.filter(load.isWhole).length,
    recoveries: times.count,
    'p50 ms': times.p50,
    'p95 ms': times.p95,
    'longest ms': times.maximum,
    'usual gap ms': gaps.p50,
    'first token p50 ms': summarizeValues(firsts).p50,
  };
}

/** Measures recovery from death and stall under both settings of a selector's `weigh`. */
export function measureRecovery(): Measurement {
  const rows = (['recovery', 'throughput'] as const).flatMap((weigh) =>
    (['death', 'stall'] as const).map((kind) => describe(kind, weigh, runFault(kind, weigh, 41))),
  );
  const [death, stall] = rows;
  const stallTarget =
    STALL_GAPS * (stall?.['usual gap ms'] ?? 0) + (stall?.['first token p50 ms'] ?? 0);
  return {
    rows,
    targets: [
      {
        name: 'next token after the death of a stage, p95',
        target: `within ${DEATH_TARGET_MILLISECONDS.toString()} ms`,
        measured: `${(death?.['p95 ms'] ?? 0).toString()} ms`,
        isMet: (death?.['p95 ms'] ?? Infinity) <= DEATH_TARGET_MILLISECONDS,
      },
      {
        name: 'next token after a stall, p95, against 3 usual gaps and a first token',
        target: `within ${round(stallTarget).toString()} ms`,
        measured: `${(stall?.['p95 ms'] ?? 0).toString()} ms`,
        isMet: (stall?.['p95 ms'] ?? Infinity) <= stallTarget,
      },
    ],
  };
}

/** Measures alarms on healthy links whose token times vary. */
export function measureFalseAlarms(): Measurement {
  const rows = (['recovery', 'throughput'] as const).map((weigh) => {
    const load = runFault('none', weigh, 42);
    const tokens = load.requests.reduce((sum, { gaps }) => sum + gaps.length + 1, 0);
    const alarms = load.counters.get('attempts_stalled') ?? 0;
    return {
      weighs: weigh,
      tokens,
      alarms,
      'in 10,000': round((alarms * 10_000) / tokens, 2),
    };
  });
  const worst = Math.max(...rows.map((row) => row['in 10,000']));
  return {
    rows,
    targets: [
      {
        name: `false alarms on healthy links (deviation of the logarithm ${JITTER.toString()})`,
        target: 'under 1 in 10,000 tokens',
        measured: `${worst.toString()} in 10,000`,
        isMet: worst < LARGEST_FALSE_ALARMS * 10_000,
      },
    ],
  };
}
