/**
 * Promise: each layer once and in order.
 */
import type { Check, LayerSpan, SoakRecord } from '../types/index.js';

function isWholePath(path: readonly LayerSpan[], layers: number): boolean {
  let next = 0;
  for (const { from, to } of path) {
    if (from !== next || to <= from) return false;
    next = to;
  }
  return next === layers;
}

function listPaths({ sends }: SoakRecord) {
  return sends.flatMap(({ request, path }) => (path ? [{ request, path }] : []));
}

/** The path that a request names covers all layers without a gap or an overlap. */
export const checkPaths: Check = {
  promise: 'a path holds each layer once and in order',
  count: (record) => listPaths(record).length,
  find: (record, { layers }) =>
    listPaths(record)
      .filter(({ path }) => !isWholePath(path, layers))
      .map(({ request, path }) => ({
        request,
        detail: `its path is ${path.map(({ from, to }) => `${from}-${to}`).join(',')}`,
      })),
};
