/**
 * Days of a site in the emulator: admission, repair, moves, slow engines, and calls to the store.
 */
import { DECISION_VARIANTS } from '../../emulator/decisionVariants/index.js';
import { playDay, type DayResult } from '../../emulator/playDay/index.js';
import { readDay, readSite, type VirtualDay } from '../../emulator/readScenario/index.js';
import { summarizeDay, type DayFigures } from '../../emulator/summarizeDay/index.js';
import type { Row } from '../../src/commands/printOutput/index.js';
import { round, type Measurement, type Target } from '../types.js';

const FIT_DESK = 'examples/emulator/fit-desk.json';
const RATES = [0.5, 1, 1.5, 2] as const;
const ADMISSION_SECONDS = 15;
const GOODPUT_SHARE = 0.95;
const FAIR_SHARE = 0.9;
const SEEDS = [1, 2, 3] as const;

interface Played {
  readonly result: DayResult;
  readonly figures: DayFigures;
}

/** Plays a day of a site. */
export async function play(options: {
  readonly site?: string;
  readonly day: VirtualDay;
  readonly seed?: number;
  readonly version?: string;
  /** Nodes in each availability zone, if not those of the site. */
  readonly nodes?: readonly number[];
}): Promise<Played> {
  const { site = FIT_DESK, day, seed = 1, version = 'product' } = options;
  const decisions = DECISION_VARIANTS[version];
  const read = readSite(site);
  const played = { ...read, nodes: [...(options.nodes ?? read.nodes)] };
  const result = await playDay({ site: played, day, seed, decisions });
  return { result, figures: summarizeDay(result) };
}

/** Reads a day of the examples. */
export function readNamedDay(name: string): VirtualDay {
  return readDay(`examples/emulator/days/${name}.json`);
}

function describe({ all, engines }: DayFigures): Row {
  const { asked, inTime, late, refused, failed, firstP95, pauseP95 } = all;
  const { preempted, refused: turnedAway, moves } = engines;
  return {
    asked,
    inTime,
    late,
    refused,
    failed,
    firstP95,
    pauseP95,
    preempted,
    turnedAway,
    moves,
  };
}

/** Share of all requests of several days with an outcome in time. */
function countInTime(days: readonly DayFigures[]): number {
  const asked = days.reduce((sum, { all }) => sum + all.asked, 0);
  return days.reduce((sum, { all }) => sum + all.inTime, 0) / Math.max(1, asked);
}

/** At 0.5 to 2 times the load: what callers get, and whether the large and the small are served. */
export async function measureSiteAdmission(): Promise<Measurement> {
  const rows: Row[] = [];
  const goodput: number[] = [];
  let leastFair = 1;
  for (const version of ['product', 'admit-all']) {
    for (const rate of RATES) {
      const day = { name: 'rate', seconds: ADMISSION_SECONDS, rate, troubles: [] };
      const { figures } = await play({ day, version });
      const { fairness, firstAgainstPredicted, pauseAgainstPredicted } = figures;
      const served = figures.all.inTime / ADMISSION_SECONDS;
      rows.push({
        version,
        rate,
        ...describe(figures),
        'in time a second': round(served),
        'largest tenth': fairness.largestTenth,
        'smallest account': fairness.smallestAccount,
        'first / predicted': `${firstAgainstPredicted.p10} ${firstAgainstPredicted.p50} ${firstAgainstPredicted.p90}`,
        'pause / predicted': `${pauseAgainstPredicted.p10} ${pauseAgainstPredicted.p50} ${pauseAgainstPredicted.p90}`,
      });
      if (version !== 'product') continue;
      goodput.push(served);
      const least = Math.min(fairness.largestTenth, fairness.smallestAccount);
      leastFair = Math.min(leastFair, least / Math.max(0.001, fairness.streams));
    }
  }
  const last = goodput.at(-1) ?? 0;
  const peak = Math.max(...goodput);
  const targets: Target[] = [
    {
      name: 'requests in time at twice the load, of the peak',
      target: `at least ${GOODPUT_SHARE}`,
      measured: String(round(last / peak, 3)),
      isMet: last >= GOODPUT_SHARE * peak,
    },
    {
      name: 'largest tenth and smallest account, served against all, least over the loads',
      target: `at least ${FAIR_SHARE}`,
      measured: String(round(leastFair, 3)),
      isMet: leastFair >= FAIR_SHARE,
    },
  ];
  return { rows, targets };
}

/** After crashes: gaps of layers, and moves of running streams against new runs. */
export async function measureSiteRepair(): Promise<Measurement> {
  const rows: Row[] = [];
  const byVersion = new Map<string, DayFigures[]>();
  const gaps: number[] = [];
  const repairs: number[] = [];
  for (const version of ['product', 'run-anew']) {
    for (const seed of SEEDS) {
      const { result, figures } = await play({ day: readNamedDay('crashes'), seed, version });
      byVersion.set(version, [...(byVersion.get(version) ?? []), figures]);
      if (version === 'product') {
        gaps.push(...result.gaps.map(({ milliseconds }) => milliseconds));
        repairs.push(...result.repairs.map(({ milliseconds }) => milliseconds));
      }
      const orders = figures.engines.orders;
      rows.push({ version, seed, ...describe(figures), orders, gaps: figures.gaps.count });
    }
  }
  gaps.sort((left, right) => left - right);
  repairs.sort((left, right) => left - right);
  const { model } = readSite(FIT_DESK);
  const v100 = model.kinds[1]?.memoryMegabytes ?? 0;
  const layers = Math.floor(v100 / model.layerMegabytes);
  const loading = (model.loadSeconds * 1_000 * layers) / model.layers;
  const moved = countInTime(byVersion.get('product') ?? []);
  const anew = countInTime(byVersion.get('run-anew') ?? []);
  const median = gaps[Math.floor(gaps.length / 2)] ?? 0;
  const firstRun = repairs[Math.floor(repairs.length / 2)] ?? 0;
  return {
    rows,
    targets: [
      {
        name: 'gap of layers in a zone after a crash, median',
        target: `at most 1,000 ms more than loading ${layers} layers (${Math.round(loading)} ms)`,
        measured: `${median} ms of ${gaps.join(' ')}`,
        isMet: median <= loading + 1_000,
      },
      {
        name: 'from a crash to the first request through the repaired range, median',
        target: `at most 1,500 ms more than loading (${Math.round(loading)} ms)`,
        measured: `${Math.round(firstRun)} ms of ${repairs.map(Math.round).join(' ')}`,
        isMet: repairs.length > 0 && firstRun <= loading + 1_500,
      },
      {
        name: 'in time where running streams are moved, against new runs',
        target: 'at least as many',
        measured: `${round(moved, 4)} against ${round(anew, 4)}`,
        isMet: moved >= anew,
      },
    ],
  };
}

/** Engines that are taken for lost although they are not. */
function countFalseAlarms({ result }: Played, troubled: ReadonlySet<string>): number {
  return result.lines.filter(
    ({ event, fields }) => event === 'endpoint-lost' && !troubled.has(String(fields.endpoint)),
  ).length;
}

/** Slow engines and failing services; false alarms on days without any crash. */
export async function measureSiteSlow(): Promise<Measurement> {
  const rows: Row[] = [];
  let alarms = 0;
  let events = 0;
  for (const name of ['calm', 'burst', 'slow-engines', 'grey-services']) {
    for (const seed of SEEDS) {
      const played = await play({ day: readNamedDay(name), seed });
      const { figures } = played;
      alarms += countFalseAlarms(played, new Set());
      events += figures.engines.events;
      rows.push({
        day: name,
        seed,
        ...describe(figures),
        reports: figures.callsPerSecond.reports ?? 0,
      });
    }
  }
  return {
    rows,
    targets: [
      {
        name: 'engines taken for lost on days without a crash, in 10,000 events',
        target: 'under 1',
        measured: String(round((alarms / Math.max(1, events)) * 10_000, 4)),
        isMet: alarms * 10_000 < events,
      },
    ],
  };
}

const LARGE_SITE = 'examples/emulator/fit-desk-large.json';
/** Sites with their nodes, whose calls are counted. */
const SIZES = [
  { site: FIT_DESK },
  { site: LARGE_SITE, nodes: [8, 8, 8] },
  { site: LARGE_SITE, nodes: [16, 16, 16] },
  { site: LARGE_SITE },
] as const;

/** Calls to the store and between nodes, at 6 to 78 nodes. */
export async function measureSiteStore(): Promise<Measurement> {
  const rows: Row[] = [];
  const perNode: number[] = [];
  for (const size of SIZES) {
    const day = { name: 'calm', seconds: 8, rate: 1, troubles: [] };
    const { result, figures } = await play({ ...size, day });
    const { callsPerSecond, peerBytesPerNodeSecond } = figures;
    rows.push({
      nodes: result.nodes,
      ...callsPerSecond,
      'peer bytes a node': peerBytesPerNodeSecond,
    });
    perNode.push(peerBytesPerNodeSecond);
  }
  return {
    rows,
    targets: [
      {
        name: 'bytes between nodes, a node and second, at 78 nodes',
        target: 'at most 6,144',
        measured: String(perNode.at(-1) ?? 0),
        isMet: (perNode.at(-1) ?? 0) <= 6_144,
      },
    ],
  };
}
