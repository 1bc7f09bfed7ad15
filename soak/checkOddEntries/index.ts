/**
 * Promise: no request reaches an endpoint that only odd entries of the registry name.
 */
import type { Check } from '../types/index.js';
import { ODD_ENTRIES_FAULT } from '../writeOddEntries/index.js';

/** Checks that the address that odd entries name receives nothing. */
export const checkOddEntries: Check = {
  promise: 'no request reaches the address of an odd entry',
  count: ({ disturbances }) =>
    disturbances.filter(({ kind }) => kind === ODD_ENTRIES_FAULT.kind).length,
  find: ({ strays }) =>
    strays.map(({ request, method, url, at }) => ({
      request,
      detail: `${method} ${url} reached the address at ${Math.round(at)} ms`,
    })),
};
