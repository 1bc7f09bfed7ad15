/**
 * Promise: no node's process ends unless it is stopped or killed.
 */
import type { Check } from '../types/index.js';

/** Checks that each exit of a process was asked for. */
export const checkDeaths: Check = {
  promise: 'no node ends by itself',
  count: ({ processes }) => processes.length,
  find: ({ deaths }) =>
    deaths.map(({ node, birth, at, code }) => ({
      request: undefined,
      detail: `${node} (start ${birth}) exited at ${Math.round(at)} ms with code ${String(code)}`,
    })),
};
