/**
 * Finds nodes that apply an accepted configuration too late.
 */
import type { SiteCore } from '../../src/process/site/createSiteNode/index.js';
import type { VirtualNode } from '../createVirtualNodes/index.js';
import type { VirtualOperator } from '../createVirtualOperator/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { InjectedFault, VirtualDay } from '../readScenario/index.js';

/** Options of {@link watchVersions}. */
export interface WatchVersionsOptions {
  readonly time: VirtualTime;
  readonly nodes: readonly VirtualNode[];
  readonly operator: Pick<VirtualOperator, 'getVersion'>;
  readonly day: VirtualDay;
  /** Virtual time of the first request, in milliseconds. */
  readonly firstAt: number;
}

/** Watch of the nodes' versions. */
export interface VersionWatch {
  /** Returns how many processes had an older version later than allowed, counted once for each version. */
  readonly countLate: () => number;
}

/** Time in which nodes in contact with the store apply an accepted version, in milliseconds. */
const APPLY_MILLISECONDS = 2_000;
/** Time after its start, and after a disruption of the store, from which a node counts as in contact. */
const CONTACT_MILLISECONDS = 3_000;
const CHECK_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;
/** Faults that disrupt the store or the connections to it. */
const STORE_FAULTS: ReadonlySet<InjectedFault['kind']> = new Set([
  'storeAway',
  'restoreStore',
  'silenceConnections',
]);

/**
 * Watches the versions of the running nodes.
 *
 * @param options - virtual time, nodes, operator and day
 * @returns the watch
 * @example
 * watchVersions({ time, nodes, operator, day, firstAt: 12_000 }).countLate();
 */
export function watchVersions(options: WatchVersionsOptions): VersionWatch {
  const { time, nodes, operator, day, firstAt } = options;
  const acceptedAt = new Map<number, number>();
  const startedAt = new Map<SiteCore, number>();
  const late = new Set<string>();
  const disruptions = day.troubles
    .filter(({ kind }) => STORE_FAULTS.has(kind))
    .map((fault) => {
      const from = firstAt + fault.at * MILLISECONDS_PER_SECOND;
      const seconds = 'seconds' in fault ? fault.seconds : 0;
      return { from, until: from + seconds * MILLISECONDS_PER_SECOND + CONTACT_MILLISECONDS };
    });
  const isDisrupted = (): boolean =>
    disruptions.some(({ from, until }) => from <= time.now() && time.now() <= until);
  const findDueVersion = (): number => {
    const due = [...acceptedAt].filter(([, at]) => time.now() - at > APPLY_MILLISECONDS);
    return Math.max(0, ...due.map(([version]) => version));
  };
  const checkNode = (node: VirtualNode, dueVersion: number): void => {
    const core = node.getCore();
    if (!core) return;
    const start = startedAt.get(core) ?? time.now();
    startedAt.set(core, start);
    if (time.now() - start <= CONTACT_MILLISECONDS) return;
    if (core.state.getVersion() < dueVersion) late.add(`${node.name} ${start} ${dueVersion}`);
  };
  const check = (): void => {
    const version = operator.getVersion();
    if (!acceptedAt.has(version)) acceptedAt.set(version, time.now());
    const dueVersion = isDisrupted() ? 0 : findDueVersion();
    for (const node of nodes) checkNode(node, dueVersion);
    time.schedule(CHECK_MILLISECONDS, check);
  };
  time.schedule(0, check);
  return { countLate: () => late.size };
}
