/**
 * Measures how closely account rate limits hold over several nodes, and the load that retries add.
 */
import { round, type Measurement } from '../types.js';
import { createEngines, startVirtualLoad, type VirtualLoad } from '../startVirtualLoad/index.js';

const LIMIT = 30;
const WARM_UP_MILLISECONDS = 10_000;
const RUN_MILLISECONDS = 30_000;
const TOLERANCE = 0.1;
const MAXIMUM_EXTRA_LOAD = 0.1;

function countAdmitted(load: VirtualLoad, since: number): number {
  return load.requests.filter(
    ({ id, sentAt }) => sentAt >= since && load.system.responses.get(id)?.status === 200,
  ).length;
}

/** Measures how closely a limit of 30 requests per second holds over one, three and six nodes. */
export function measureLimits(): Measurement {
  const rows = [1, 3, 6].map((nodesUsed) => {
    const load = startVirtualLoad({
      accounts: [{ name: 'a', rate: LIMIT * 4, limit: LIMIT }],
      nodesUsed,
      seed: 31,
    });
    load.sendLoad(WARM_UP_MILLISECONDS + RUN_MILLISECONDS);
    const since = load.system.queue.now() - RUN_MILLISECONDS;
    const admitted = countAdmitted(load, since) / (RUN_MILLISECONDS / 1_000);
    return {
      nodes: nodesUsed,
      limit: LIMIT,
      'admitted a second': round(admitted, 2),
      'off %': round(100 * (admitted / LIMIT - 1)),
    };
  });
  const worst = Math.max(...rows.map((row) => Math.abs(row['off %'])));
  return {
    rows,
    targets: [
      {
        name: 'limit over one, three and six nodes',
        target: `within ${(TOLERANCE * 100).toString()}%`,
        measured: `${worst.toString()}%`,
        isMet: worst <= TOLERANCE * 100,
      },
    ],
  };
}

/** Measures the load that retries add when one engine in ten fails every run that it receives. */
export function measureRetryBudget(): Measurement {
  const rows = [0, 1].map((faulty) => {
    const load = startVirtualLoad({
      accounts: [{ name: 'a', rate: 40 }],
      engines: createEngines(),
      seed: 32,
    });
    load.sendLoad(5_000);
    for (const from of ['0', '12', '24', '36'].slice(0, faulty * 4)) {
      const engine = load.fleet.engines.get(`e-${from}-0`);
      if (engine) engine.isDown = true;
    }
    const before = load.effects.length;
    const sentBefore = load.requests.length;
    load.sendLoad(RUN_MILLISECONDS);
    load.system.run(5_000);
    const runs = load.effects.length - before;
    const asked = load.requests.length - sentBefore;
    return {
      'stages down': faulty * 4,
      asked,
      runs,
      'extra load %': round(100 * (runs / asked - 1), 2),
      whole: load.requests.filter(load.isComplete).length - sentBefore,
    };
  });
  const extra = rows[1]?.['extra load %'] ?? Infinity;
  return {
    rows,
    targets: [
      {
        name: 'load added by retries, one stage in ten down',
        target: `at most ${(MAXIMUM_EXTRA_LOAD * 100).toString()}%`,
        measured: `${extra.toString()}%`,
        isMet: extra <= MAXIMUM_EXTRA_LOAD * 100,
      },
    ],
  };
}
