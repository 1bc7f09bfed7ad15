/**
 * Promise: a path runs each layer once and in order.
 */
import type { Check, LayerSpan, SoakRecord } from '../types/index.js';

function isCompletePath(path: readonly LayerSpan[], layers: number): boolean {
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

/** Checks that the path of a request covers all layers without a gap or an overlap. */
export const checkPaths: Check = {
  promise: 'a path holds each layer once and in order',
  count: (record) => listPaths(record).length,
  find: (record, { layers }) =>
    listPaths(record)
      .filter(({ path }) => !isCompletePath(path, layers))
      .map(({ request, path }) => ({
        request,
        detail: `its path is ${path.map(({ from, to }) => `${from}-${to}`).join(',')}`,
      })),
};
