/**
 * Measures the time until a new VM receives runs, and the time until a leaving one receives none.
 */
import { round, type Measurement } from '../types.js';
import { createEngines, startVirtualLoad, type VirtualLoad } from '../startVirtualLoad/index.js';

const RATE = 60;
const TARGET_MILLISECONDS = 3_000;
const WARM_UP_MILLISECONDS = 5_000;
const RUN_MILLISECONDS = 12_000;
const JOINING_ENGINE = 'e-0-9';
const LEAVING_ENGINE = 'e-12-3';
const MAXIMUM_SHARE_FACTOR = 2;

function listRuns(load: VirtualLoad, engine: string, since: number): number[] {
  return load.effects
    .filter(({ effect, at }) => {
      if (effect.kind !== 'run' || at < since) return false;
      return effect.run.route.some((stage) => stage.engine === engine);
    })
    .map(({ at }) => at - since);
}

function measureJoin() {
  const load = startVirtualLoad({
    accounts: [{ name: 'a', rate: RATE }],
    engines: createEngines(),
    seed: 51,
  });
  const all = load.fleet.vms;
  load.system.platform.setVms(all.filter(({ tags }) => tags.name !== JOINING_ENGINE));
  load.sendLoad(WARM_UP_MILLISECONDS);
  const joinedAt = load.system.queue.now();
  load.system.platform.setVms(all);
  load.sendLoad(RUN_MILLISECONDS);
  const runs = listRuns(load, JOINING_ENGINE, joinedAt);
  const seconds = RUN_MILLISECONDS / 1_000;
  const busiestSecond = Math.max(
    ...Array.from(
      { length: seconds },
      (_, second) => runs.filter((at) => Math.floor(at / 1_000) === second).length,
    ),
  );
  return { firstRun: runs[0] ?? Infinity, runs: runs.length, busiestSecond };
}

function measureLeave(signal: 'vm-list' | 'report' | 'label') {
  const load = startVirtualLoad({
    accounts: [{ name: 'a', rate: RATE }],
    engines: createEngines(),
    seed: 52,
  });
  load.sendLoad(WARM_UP_MILLISECONDS);
  const leftAt = load.system.queue.now();
  const engine = load.fleet.engines.get(LEAVING_ENGINE);
  if (signal === 'report' && engine) engine.report = { ...engine.report, leaving: true };
  if (signal === 'vm-list') {
    load.system.platform.setVms(
      load.fleet.vms.map((vm) =>
        vm.tags.name === LEAVING_ENGINE ? { ...vm, state: 'leaving' } : vm,
      ),
    );
  }
  if (signal === 'label') {
    const labels = { state: 'leaving' };
    const operations = [{ kind: 'setLabels', object: 'engine', name: LEAVING_ENGINE, labels }];
    load.system.dispatch('node-2', {
      kind: 'operatorRequest',
      request: 'leave',
      method: 'POST',
      path: '/v1/changes',
      body: JSON.stringify({ change: { id: 'change-leave', baseRevision: 1, operations } }),
    });
  }
  load.sendLoad(RUN_MILLISECONDS);
  const runs = listRuns(load, LEAVING_ENGINE, leftAt);
  return {
    how: signal,
    last: runs.at(-1) ?? 0,
    whole: load.requests.filter(load.isComplete).length,
    asked: load.requests.length,
  };
}

/** Measures joining once, and leaving by VM list, by report and by label. */
export function measureJoining(): Measurement {
  const join = measureJoin();
  const leaves = (['vm-list', 'report', 'label'] as const).map(measureLeave);
  const longest = Math.max(...leaves.map(({ last }) => last));
  const share = (RATE * 1.3) / 10;
  return {
    rows: [
      { what: 'new VM takes its first run', ms: round(join.firstRun), runs: join.runs },
      { what: 'its runs in its busiest second', ms: 1_000, runs: join.busiestSecond },
      ...leaves.map(({ how, last, whole }) => ({
        what: `last new run after leaving by ${how}`,
        ms: round(last),
        runs: whole,
      })),
    ],
    targets: [
      {
        name: 'a new VM takes load',
        target: `within ${TARGET_MILLISECONDS.toString()} ms`,
        measured: `${round(join.firstRun).toString()} ms`,
        isMet: join.firstRun <= TARGET_MILLISECONDS,
      },
      {
        name: 'runs of a new VM in its busiest second, against its even share',
        target: `at most ${MAXIMUM_SHARE_FACTOR.toString()} times ${round(share).toString()}`,
        measured: join.busiestSecond.toString(),
        isMet: join.busiestSecond <= MAXIMUM_SHARE_FACTOR * share,
      },
      {
        name: 'no new work on a leaving endpoint, on any node',
        target: `after ${TARGET_MILLISECONDS.toString()} ms`,
        measured: `${round(longest).toString()} ms`,
        isMet: longest <= TARGET_MILLISECONDS,
      },
    ],
  };
}
