/**
 * Probes that determine which configuration version each node serves to callers.
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
}

const PROBE_MILLISECONDS = 500;
/** Number of versions up to the newest one that a probe tries. */
const MAXIMUM_PROBED_VERSIONS = 40;
const NO_ROUTE_STATUS = 404;

/**
 * Probes the nodes' configuration versions until it is stopped.
 *
 * @param options - nodes, callers that send the probes, and record
 * @returns a function that stops the probes and resolves when the last one has ended
 * @example
 * const stop = watchVersions({ nodes, callers, record });
 */
export function watchVersions(options: WatchVersionsOptions): () => Promise<void> {
  const { nodes, callers, record } = options;
  let isStopped = false;
  let probes = 0;
  const probe = async (node: ProbedNode): Promise<void> => {
    const newest = record.writes.at(-1)?.version ?? 0;
    for (
      let version = newest;
      version > Math.max(0, newest - MAXIMUM_PROBED_VERSIONS);
      version -= 1
    ) {
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
      if (status !== NO_ROUTE_STATUS) return;
    }
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
