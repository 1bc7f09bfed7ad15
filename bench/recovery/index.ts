/**
 * Measures recovery, the time from a fault to the next token, and false alarms without a fault.
 */
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';
import {
  startVirtualLoad,
  type StartVirtualLoadOptions,
  type VirtualLoad,
} from '../startVirtualLoad/index.js';

const JITTER = 0.35;
const SEEDS = [41, 42, 43, 44, 45];
const RATE = 30;
const RUN_MILLISECONDS = 20_000;
const FAULT_AT_MILLISECONDS = 8_000;
const CRASH_TARGET_MILLISECONDS = 1_000;
const STALL_TARGET_GAPS = 3;
const MAXIMUM_FALSE_ALARM_SHARE = 1 / 10_000;

type Weigh = NonNullable<StartVirtualLoadOptions['weigh']>;

/** Injected faults with the number of affected engines, of forty. */
const FAULTS = {
  none: { engines: 0, isCrash: false },
  'death of 4': { engines: 4, isCrash: true },
  'stall of 1': { engines: 1, isCrash: false },
  'stall of 4': { engines: 4, isCrash: false },
} as const;

type Fault = keyof typeof FAULTS;

function runWithFault(kind: Fault, weigh: Weigh, seed: number): VirtualLoad {
  const load = startVirtualLoad({
    accounts: [{ name: 'a', rate: RATE }],
    fleetOptions: { jitter: JITTER },
    weigh,
    seed,
  });
  load.system.queue.schedule(FAULT_AT_MILLISECONDS, () => {
    const { engines, isCrash } = FAULTS[kind];
    for (const from of ['0', '12', '24', '36'].slice(0, engines)) {
      const engine = load.fleet.engines.get(`e-${from}-1`);
      if (!engine) continue;
      engine.isDown = isCrash;
      engine.isStalled = !isCrash;
    }
  });
  load.sendLoad(RUN_MILLISECONDS);
  load.system.run(10_000);
  return load;
}

function measureFault(kind: Fault, weigh: Weigh) {
  const loads = SEEDS.map((seed) => runWithFault(kind, weigh, seed));
  const requests = loads.flatMap((load) => load.requests);
  const recoveries = loads
    .flatMap((load) => load.observations)
    .filter(({ metric }) => metric === 'recovery');
  const times = summarizeValues(recoveries.map(({ milliseconds }) => milliseconds));
  const gaps = summarizeValues(requests.flatMap((request) => request.gaps));
  const firsts = requests
    .map(({ firstAt, sentAt }) => firstAt - sentAt)
    .filter((time) => time >= 0);
  return {
    fault: kind,
    weighs: weigh,
    asked: requests.length,
    whole: loads.reduce((sum, load) => sum + load.requests.filter(load.isComplete).length, 0),
    recoveries: times.count,
    'p50 ms': times.p50,
    'p95 ms': times.p95,
    'longest ms': times.maximum,
    'usual gap ms': gaps.p50,
    'first token p50 ms': summarizeValues(firsts).p50,
  };
}

/**
 * Measures recovery from crashed and stalled engines under both settings of a selector's `weigh`.
 */
export function measureRecovery(): Measurement {
  const rows = (['recovery', 'throughput'] as const).flatMap((weigh) =>
    (['death of 4', 'stall of 1', 'stall of 4'] as const).map((kind) => measureFault(kind, weigh)),
  );
  const [crash, singleStall, multipleStalls] = rows;
  const stallTarget =
    STALL_TARGET_GAPS * (singleStall?.['usual gap ms'] ?? 0) +
    (singleStall?.['first token p50 ms'] ?? 0);
  return {
    rows,
    targets: [
      {
        name: 'next token after the death of a stage, p95',
        target: `within ${CRASH_TARGET_MILLISECONDS.toString()} ms`,
        measured: `${(crash?.['p95 ms'] ?? 0).toString()} ms`,
        isMet: (crash?.['p95 ms'] ?? Infinity) <= CRASH_TARGET_MILLISECONDS,
      },
      {
        name: 'next token after the stall of one stage, p95, against 3 usual gaps and a first token',
        target: `within ${round(stallTarget).toString()} ms`,
        measured: `${(singleStall?.['p95 ms'] ?? 0).toString()} ms`,
        isMet: (singleStall?.['p95 ms'] ?? Infinity) <= stallTarget,
      },
      {
        name: 'the same with one stage in ten stalled at once',
        target: `within ${round(stallTarget).toString()} ms`,
        measured: `${(multipleStalls?.['p95 ms'] ?? 0).toString()} ms`,
        isMet: (multipleStalls?.['p95 ms'] ?? Infinity) <= stallTarget,
      },
    ],
  };
}

/** Measures false alarms on healthy engines whose token times vary. */
export function measureFalseAlarms(): Measurement {
  const rows = (['recovery', 'throughput'] as const).map((weigh) => {
    const loads = SEEDS.map((seed) => runWithFault('none', weigh, seed));
    const tokens = loads
      .flatMap((load) => load.requests)
      .reduce((sum, { gaps }) => sum + gaps.length + 1, 0);
    const alarms = loads.reduce(
      (sum, load) => sum + (load.counters.get('attempts_stalled') ?? 0),
      0,
    );
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
        isMet: worst < MAXIMUM_FALSE_ALARM_SHARE * 10_000,
      },
    ],
  };
}
