/**
 * Probes of which configuration each node has in force, as callers see it.
 */
import { sleep } from '../../bench/sleep/index.js';
import { findVersionPath } from '../createConfiguration/index.js';
import type { Callers, CallerTarget } from '../runCallers/index.js';
import type { SoakRecord } from '../types/index.js';

/** A node as probes know it. */
export interface ProbedNode extends CallerTarget {
  readonly getBirth: () => number;
}

/** Options of {@link watchVersions}. */
export interface WatchVersionsOptions {
  readonly nodes: readonly ProbedNode[];
  readonly callers: Pick<Callers, 'ask'>;
  readonly record: SoakRecord;
}

const PROBE_MILLISECONDS = 500;
/** Versions before the newest that a probe asks for. */
const MOST_OLDER = 8;
const NO_ROUTE_STATUS = 404;

/**
 * Watches versions until it is stopped.
 *
 * @param options - the nodes, how to ask them, and where to record
 * @returns a function that stops, and resolves when the last probe has ended
 * @example
 * const stop = watchVersions({ nodes, callers, record });
 */
export function watchVersions(options: WatchVersionsOptions): () => Promise<void> {
  const { nodes, callers, record } = options;
  let isStopped = false;
  let probes = 0;
  const probe = async (node: ProbedNode): Promise<void> => {
    const newest = record.writes.at(-1)?.version ?? 0;
    for (let version = newest; version > Math.max(0, newest - MOST_OLDER); version -= 1) {
      probes += 1;
      const birth = node.getBirth();
      const attempt = await callers.ask({
        request: `p${probes}`,
        kind: 'lookUp',
        path: findVersionPath(version),
        target: node,
      });
      const { status, sentAt } = attempt;
      if (status === 200 && birth === node.getBirth()) {
        record.versions.push({ node: node.node, birth, version, at: sentAt });
      }
      if (status !== NO_ROUTE_STATUS) return;
    }
  };
  const watch = async (node: ProbedNode): Promise<void> => {
    while (!isStopped) {
      await probe(node);
      await sleep(PROBE_MILLISECONDS);
    }
  };
  const watching = Promise.all(nodes.map(watch));
  return async () => {
    isStopped = true;
    await watching;
  };
}
