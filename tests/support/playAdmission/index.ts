/**
 * Model of many nodes that admit requests of three priorities to one shared capacity, by stale information.
 */
import { createRandom } from '../../../src/process/createRandom/index.js';
import { sumDemands } from '../../../src/process/site/sumDemands/index.js';
import { computeAdmissionShares } from '../../../src/request/computeAdmissionShares/index.js';
import {
  createDemandMeter,
  type DemandMeter,
} from '../../../src/request/createDemandMeter/index.js';
import type { ServiceDemand } from '../../../src/types/admission/index.js';

/** Way in which nodes limit less urgent requests. */
export type AdmissionStrategy = 'none' | 'fixed' | 'levels' | 'credits' | 'shares';

/** Options of {@link playAdmission}. */
export interface PlayAdmissionOptions {
  readonly nodes: number;
  readonly strategy: AdmissionStrategy;
  readonly seed: number;
  /** Number of the nodes that send no reports, as nodes of earlier versions; 0 by default. */
  readonly silentNodes?: number;
}

/** Requests of one priority while the bursts last. */
export interface PlayedPriority {
  readonly demanded: number;
  readonly served: number;
  /** Share of served requests. */
  readonly share: number;
  /** Lowest share of served requests of an account with enough requests. */
  readonly lowestAccountShare: number;
}

/** Requests in a second by priority, from the most urgent. */
const REQUESTS_PER_SECOND = [110, 58, 36] as const;
/** Factor on the least urgent demand in the first burst, and on the most urgent one in the second. */
const FIRST_BURST = { from: 10_000, to: 16_000, priority: 2, factor: 2.3 } as const;
const SECOND_BURST = { from: 16_000, to: 22_000, priority: 0, factor: 1.7 } as const;
const DURATION_MILLISECONDS = 24_000;
const TICK_MILLISECONDS = 10;
const STAY_MILLISECONDS = 3_000;
/** Capacity in requests: 612 are held on average outside the bursts, 753 and 843 are needed in them. */
const SLOTS = 680;
const TOKEN_LAYERS = 72_000;
const ACCOUNTS = 24;
/** Number of requests from which the share of an account is checked. */
const MINIMUM_ACCOUNT_REQUESTS = 30;
/** Age of information about other nodes: its median in milliseconds, and its spread. */
const AGE = { median: 130, sigma: 0.82 } as const;
const LOSS_SHARE = 0.1;
const ROUND_TICKS = 30;
const FANOUT = 8;
const REPORT_EXPIRY_MILLISECONDS = 2_500;
const ZONES = ['mission', 'abbotsford', 'hope'] as const;
const FIXED_SHARES = [1, 0.85, 0.7] as const;
/** Levels of one priority, and the changes of the admitted part in one second, as in DAGOR. */
const LEVELS_PER_PRIORITY = 128;
const LEVEL_CHANGES = { decrease: 0.05, increase: 0.01, overloadedAt: 0.95, rounds: 3 } as const;
/** Share of the capacity that all credits together stand for. */
const CREDITS_SHARE = 1.2;

interface PlayedNode {
  readonly index: number;
  readonly zone: string;
  readonly meter: DemandMeter;
  readonly reports: Map<number, { at: number; demand: ServiceDemand }>;
  shares: Map<number, number>;
  /** Highest level that is admitted, for the strategy of levels. */
  level: number;
  held: number;
  rounds: number;
}

interface Counts {
  demanded: number;
  served: number;
}

function countNodesByZone(nodes: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < nodes; index += 1) {
    const zone = ZONES[index % ZONES.length] ?? ZONES[0];
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

function computeRate(priority: number, now: number): number {
  const rate = REQUESTS_PER_SECOND[priority] ?? 0;
  const burst = [FIRST_BURST, SECOND_BURST].find(
    (candidate) => candidate.priority === priority && now >= candidate.from && now < candidate.to,
  );
  return rate * (burst?.factor ?? 1);
}

/** Draws a number of arrivals with a small mean. */
function drawCount(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count += 1;
  return count;
}

function summarize(counts: readonly Counts[]): PlayedPriority {
  const demanded = counts.reduce((sum, count) => sum + count.demanded, 0);
  const served = counts.reduce((sum, count) => sum + count.served, 0);
  const accountShares = counts
    .filter((count) => count.demanded >= MINIMUM_ACCOUNT_REQUESTS)
    .map((count) => count.served / count.demanded);
  return {
    demanded,
    served,
    share: served / demanded,
    lowestAccountShare: Math.min(...accountShares),
  };
}

/**
 * Plays a burst of the least urgent requests and one of the most urgent after it.
 *
 * @param options - the number of nodes, the strategy and the seed
 * @returns the requests of each priority from the start of the first burst to the end of the second
 * @example
 * playAdmission({ nodes: 36, strategy: 'shares', seed: 1 })[0]?.share;
 */
export function playAdmission(options: PlayAdmissionOptions): PlayedPriority[] {
  const { nodes: nodeCount, strategy, seed, silentNodes = 0 } = options;
  const random = createRandom(seed);
  const nodesByZone = countNodesByZone(nodeCount);
  const nodes: PlayedNode[] = Array.from({ length: nodeCount }, (_, index) => ({
    index,
    zone: ZONES[index % ZONES.length] ?? ZONES[0],
    meter: createDemandMeter({ startedAt: 0 }),
    reports: new Map(),
    shares: new Map(),
    level: LEVELS_PER_PRIORITY * REQUESTS_PER_SECOND.length,
    held: 0,
    rounds: 0,
  }));
  const counts = REQUESTS_PER_SECOND.map(() =>
    Array.from({ length: ACCOUNTS }, (): Counts => ({ demanded: 0, served: 0 })),
  );
  const actions = new Map<number, (() => void)[]>();
  /** Capacity in use at each tick. */
  const history: number[] = [];
  let used = 0;

  const schedule = (milliseconds: number, action: () => void): void => {
    const tick = history.length + Math.max(1, Math.round(milliseconds / TICK_MILLISECONDS));
    const list = actions.get(tick);
    if (list) list.push(action);
    else actions.set(tick, [action]);
  };
  const drawAge = (): number => {
    if (nodeCount === 1) return 0;
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return AGE.median * Math.exp(AGE.sigma * normal);
  };
  const readUsed = (): number => {
    const age = Math.round(drawAge() / TICK_MILLISECONDS);
    return age === 0 ? used : (history[Math.max(0, history.length - age)] ?? 0);
  };
  const sendReport = (node: PlayedNode, now: number): void => {
    if (node.index < silentNodes) return;
    const demand = node.meter.read(now);
    for (let sent = 0; sent < Math.min(FANOUT, nodeCount - 1); sent += 1) {
      const other = nodes[Math.floor(random() * nodeCount)];
      if (!other || other === node || random() < LOSS_SHARE) continue;
      schedule(drawAge() / 2, () => other.reports.set(node.index, { at: now, demand }));
    }
  };
  const updateShares = (node: PlayedNode, now: number): void => {
    for (const [index, { at }] of node.reports)
      if (now - at > REPORT_EXPIRY_MILLISECONDS) node.reports.delete(index);
    const reported = [...node.reports].map(([index, { demand }]) => ({
      availabilityZone: nodes[index]?.zone ?? '',
      demand,
    }));
    const own = { availabilityZone: node.zone, demand: node.meter.read(now) };
    const demand = sumDemands([own, ...reported], nodesByZone);
    const capacity = { slots: SLOTS, tokenLayers: SLOTS * TOKEN_LAYERS };
    node.shares = computeAdmissionShares({ demand, capacity, previous: node.shares });
  };
  const updateLevel = (node: PlayedNode): void => {
    node.rounds += 1;
    if (node.rounds % LEVEL_CHANGES.rounds !== 0) return;
    const maximum = LEVELS_PER_PRIORITY * REQUESTS_PER_SECOND.length;
    const isOverloaded = readUsed() >= LEVEL_CHANGES.overloadedAt * SLOTS;
    const change = isOverloaded ? -LEVEL_CHANGES.decrease : LEVEL_CHANGES.increase;
    node.level = Math.max(
      LEVELS_PER_PRIORITY / 4,
      Math.min(maximum, node.level + change * maximum),
    );
  };
  /** Returns whether a node sends a request of a priority to the shared capacity. */
  const mayAdmit: Readonly<
    Record<AdmissionStrategy, (node: PlayedNode, priority: number) => boolean>
  > = {
    none: () => readUsed() < SLOTS,
    fixed: (_, priority) => readUsed() < SLOTS * (FIXED_SHARES[priority] ?? 1),
    levels: (node, priority) =>
      readUsed() < SLOTS && (priority + random()) * LEVELS_PER_PRIORITY < node.level,
    credits: (node) => node.held < (CREDITS_SHARE * SLOTS) / nodeCount && readUsed() < SLOTS,
    shares: (node, priority) => readUsed() < SLOTS * (node.shares.get(priority) ?? 1),
  };
  const arrive = (priority: number, now: number): void => {
    const node = nodes[Math.floor(random() * nodeCount)];
    const count = counts[priority]?.[Math.floor(random() ** 2 * ACCOUNTS)];
    if (!node || !count) return;
    const isCounted = now >= FIRST_BURST.from && now < SECOND_BURST.to;
    if (isCounted) count.demanded += 1;
    const request = { priority, tokenLayers: TOKEN_LAYERS };
    node.meter.record(request, now);
    if (!mayAdmit[strategy](node, priority) || used >= SLOTS) return;
    if (isCounted) count.served += 1;
    used += 1;
    node.held += 1;
    const stay = STAY_MILLISECONDS * (0.7 + 0.6 * random());
    const end = node.meter.hold(request, now);
    schedule(stay, () => {
      used -= 1;
      node.held -= 1;
      end(now + stay);
    });
  };

  for (let now = 0; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
    for (const action of actions.get(history.length) ?? []) action();
    actions.delete(history.length);
    for (const node of nodes) {
      if ((history.length + node.index) % ROUND_TICKS !== 0) continue;
      if (strategy === 'levels') updateLevel(node);
      if (strategy !== 'shares') continue;
      sendReport(node, now);
      updateShares(node, now);
    }
    REQUESTS_PER_SECOND.forEach((_, priority) => {
      const mean = (computeRate(priority, now) * TICK_MILLISECONDS) / 1_000;
      for (let left = drawCount(mean, random); left > 0; left -= 1) arrive(priority, now);
    });
    history.push(used);
  }
  return counts.map(summarize);
}
