/**
 * Runs days of a site in the emulator: admission, repair, migration of streams, slow engines, and
 * calls to the store.
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
const MINIMUM_GOODPUT_SHARE = 0.95;
const MINIMUM_FAIR_SHARE = 0.9;
const SEEDS = [1, 2, 3] as const;

interface DayRun {
  readonly result: DayResult;
  readonly figures: DayFigures;
}

/** Runs a day of a site in the emulator. */
export async function runExampleDay(options: {
  readonly site?: string;
  readonly day: VirtualDay;
  readonly seed?: number;
  readonly version?: string;
  /** Number of nodes in each availability zone; those of the site by default. */
  readonly nodes?: readonly number[];
}): Promise<DayRun> {
  const { site = FIT_DESK, day, seed = 1, version = 'product' } = options;
  const decisions = DECISION_VARIANTS[version];
  const siteSettings = readSite(site);
  const siteWithNodes = { ...siteSettings, nodes: [...(options.nodes ?? siteSettings.nodes)] };
  const result = await playDay({ site: siteWithNodes, day, seed, decisions });
  return { result, figures: summarizeDay(result) };
}

/** Reads an example day by its name. */
export function readExampleDay(name: string): VirtualDay {
  return readDay(`examples/emulator/days/${name}.json`);
}

function createRow({ all, engines }: DayFigures): Row {
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

/** Returns the share of all requests of several days that were answered in time. */
function computeInTimeShare(days: readonly DayFigures[]): number {
  const requestCount = days.reduce((sum, { all }) => sum + all.asked, 0);
  return days.reduce((sum, { all }) => sum + all.inTime, 0) / Math.max(1, requestCount);
}

/**
 * Measures what callers receive at 0.5 to 2 times the load, and whether large requests and small
 * accounts get a fair share.
 */
export async function measureSiteAdmission(): Promise<Measurement> {
  const rows: Row[] = [];
  const goodput: number[] = [];
  let minimumFairShare = 1;
  for (const version of ['product', 'admit-all']) {
    for (const rate of RATES) {
      const day = { name: 'rate', seconds: ADMISSION_SECONDS, rate, troubles: [] };
      const { figures } = await runExampleDay({ day, version });
      const { fairness, firstAgainstPredicted, pauseAgainstPredicted } = figures;
      const served = figures.all.inTime / ADMISSION_SECONDS;
      rows.push({
        version,
        rate,
        ...createRow(figures),
        'in time a second': round(served),
        'largest tenth': fairness.largestTenth,
        'smallest account': fairness.smallestAccount,
        'first / predicted': `${firstAgainstPredicted.p10} ${firstAgainstPredicted.p50} ${firstAgainstPredicted.p90}`,
        'pause / predicted': `${pauseAgainstPredicted.p10} ${pauseAgainstPredicted.p50} ${pauseAgainstPredicted.p90}`,
      });
      if (version !== 'product') continue;
      goodput.push(served);
      const minimumShare = Math.min(fairness.largestTenth, fairness.smallestAccount);
      minimumFairShare = Math.min(
        minimumFairShare,
        minimumShare / Math.max(0.001, fairness.streams),
      );
    }
  }
  const last = goodput.at(-1) ?? 0;
  const peak = Math.max(...goodput);
  const targets: Target[] = [
    {
      name: 'requests in time at twice the load, of the peak',
      target: `at least ${MINIMUM_GOODPUT_SHARE}`,
      measured: String(round(last / peak, 3)),
      isMet: last >= MINIMUM_GOODPUT_SHARE * peak,
    },
    {
      name: 'largest tenth and smallest account, served against all, least over the loads',
      target: `at least ${MINIMUM_FAIR_SHARE}`,
      measured: String(round(minimumFairShare, 3)),
      isMet: minimumFairShare >= MINIMUM_FAIR_SHARE,
    },
  ];
  return { rows, targets };
}

/**
 * Measures layer gaps after crashes, and compares migrating running streams with restarting them.
 */
export async function measureSiteRepair(): Promise<Measurement> {
  const rows: Row[] = [];
  const byVersion = new Map<string, DayFigures[]>();
  const gaps: number[] = [];
  const repairs: number[] = [];
  for (const version of ['product', 'run-anew']) {
    for (const seed of SEEDS) {
      const { result, figures } = await runExampleDay({
        day: readExampleDay('crashes'),
        seed,
        version,
      });
      byVersion.set(version, [...(byVersion.get(version) ?? []), figures]);
      if (version === 'product') {
        gaps.push(...result.gaps.map(({ milliseconds }) => milliseconds));
        repairs.push(...result.repairs.map(({ milliseconds }) => milliseconds));
      }
      const orders = figures.engines.orders;
      rows.push({ version, seed, ...createRow(figures), orders, gaps: figures.gaps.count });
    }
  }
  gaps.sort((left, right) => left - right);
  repairs.sort((left, right) => left - right);
  const { model } = readSite(FIT_DESK);
  const v100 = model.kinds[1]?.memoryMegabytes ?? 0;
  const layers = Math.floor(v100 / model.layerMegabytes);
  const loading = (model.loadSeconds * 1_000 * layers) / model.layers;
  const moved = computeInTimeShare(byVersion.get('product') ?? []);
  const restarted = computeInTimeShare(byVersion.get('run-anew') ?? []);
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
        measured: `${round(moved, 4)} against ${round(restarted, 4)}`,
        isMet: moved >= restarted,
      },
    ],
  };
}

/** Counts engines that were marked as lost although they did not crash. */
function countFalseAlarms({ result }: DayRun, crashedEngines: ReadonlySet<string>): number {
  return result.lines.filter(
    ({ event, fields }) =>
      event === 'endpoint-lost' && !crashedEngines.has(String(fields.endpoint)),
  ).length;
}

/**
 * Measures days with slow engines and failing services, and false alarms on days without a crash.
 */
export async function measureSiteSlow(): Promise<Measurement> {
  const rows: Row[] = [];
  let alarms = 0;
  let events = 0;
  for (const name of ['calm', 'burst', 'slow-engines', 'grey-services']) {
    for (const seed of SEEDS) {
      const run = await runExampleDay({ day: readExampleDay(name), seed });
      const { figures } = run;
      alarms += countFalseAlarms(run, new Set());
      events += figures.engines.events;
      rows.push({
        day: name,
        seed,
        ...createRow(figures),
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
/** Sites, and nodes per availability zone, whose calls are counted. */
const SIZES = [
  { site: FIT_DESK },
  { site: LARGE_SITE, nodes: [8, 8, 8] },
  { site: LARGE_SITE, nodes: [16, 16, 16] },
  { site: LARGE_SITE },
] as const;

/** Measures calls to the store and traffic between nodes, at 6 to 78 nodes. */
export async function measureSiteStore(): Promise<Measurement> {
  const rows: Row[] = [];
  const perNode: number[] = [];
  for (const size of SIZES) {
    const day = { name: 'calm', seconds: 8, rate: 1, troubles: [] };
    const { result, figures } = await runExampleDay({ ...size, day });
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
