/**
 * Probes that determine which configuration version each node serves to callers: version 0 if it has the route of none.
 */
import { sleep } from '../../bench/sleep/index.js';
import { findVersionPath } from '../createConfiguration/index.js';
import type { Callers, CallerTarget } from '../createCallers/index.js';
import type { SoakRecord } from '../types/index.js';

/** Node that is probed. */
export interface ProbedNode extends CallerTarget {
  readonly getStartNumber: () => number;
}

/** Options of {@link watchVersions}. */
export interface WatchVersionsOptions {
  readonly nodes: readonly ProbedNode[];
  readonly callers: Pick<Callers, 'sendAttempt'>;
  readonly record: SoakRecord;
  readonly now: () => number;
}

const PROBE_MILLISECONDS = 500;
/** Number of versions up to the newest one that a probe tries. */
const MAXIMUM_PROBED_VERSIONS = 40;
const NO_ROUTE_STATUS = 404;

/**
 * Probes the nodes' configuration versions until it is stopped.
 *
 * @param options - nodes, callers that send the probes, record and clock
 * @returns a function that stops the probes and resolves when the last one has ended
 * @example
 * const stop = watchVersions({ nodes, callers, record });
 */
export function watchVersions(options: WatchVersionsOptions): () => Promise<void> {
  const { nodes, callers, record, now } = options;
  let isStopped = false;
  let probes = 0;
  const getNewest = (): number => record.writes.at(-1)?.version ?? 0;
  /** Probes one version; returns whether the node has no route for it. */
  const probeVersion = async (node: ProbedNode, version: number): Promise<boolean> => {
    probes += 1;
    const birth = node.getStartNumber();
    const attempt = await callers.sendAttempt({
      request: `p${probes}`,
      kind: 'lookUp',
      path: findVersionPath(version),
      target: node,
    });
    const { status, sentAt } = attempt;
    if (status === 200 && birth === node.getStartNumber()) {
      record.versions.push({ node: node.node, birth, version, at: sentAt });
    }
    return status === NO_ROUTE_STATUS;
  };
  /**
   * Records version 0 for a node that has the route of no version. A node that goes from one version to a later one
   * between the probes has the route of one of them, because they ascend, and no later version is written meanwhile.
   */
  const probeAscending = async (node: ProbedNode, newest: number): Promise<void> => {
    const birth = node.getStartNumber();
    for (let version = 1; version <= newest; version += 1) {
      const hasNoRoute = await probeVersion(node, version);
      if (!hasNoRoute || getNewest() !== newest || node.getStartNumber() !== birth) return;
    }
    if (newest > 0) record.versions.push({ node: node.node, birth, version: 0, at: now() });
  };
  const probe = async (node: ProbedNode): Promise<void> => {
    const newest = getNewest();
    for (
      let version = newest;
      version > Math.max(0, newest - MAXIMUM_PROBED_VERSIONS);
      version -= 1
    ) {
      if (!(await probeVersion(node, version))) return;
    }
    await probeAscending(node, newest);
  };
  const probeUntilStopped = async (node: ProbedNode): Promise<void> => {
    while (!isStopped) {
      await probe(node);
      await sleep(PROBE_MILLISECONDS);
    }
  };
  const probing = Promise.all(nodes.map(probeUntilStopped));
  return async () => {
    isStopped = true;
    await probing;
  };
}
