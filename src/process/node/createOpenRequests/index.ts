/**
 * Requests of callers without a final response.
 */
import { createErrorResponse } from '../../../request/createErrorResponse/index.js';
import type { NodeEffect } from '../../../types/node/index.js';

/** The open requests of one node. */
export interface OpenRequests {
  readonly add: (request: string) => void;
  /** Removes a request whose caller has gone. */
  readonly remove: (request: string) => void;
  /** Emits an effect; the final response of a request closes it. */
  readonly emit: (effect: NodeEffect) => void;
  /** Responds to every open request that its outcome is unknown, and drops its later response. */
  readonly interruptAll: () => void;
}

/**
 * Creates the set of open requests.
 *
 * @param emit - receiver of the effects
 * @returns the open requests
 * @example
 * createOpenRequests(control.context.emit).add('request-1');
 */
export function createOpenRequests(emit: (effect: NodeEffect) => void): OpenRequests {
  const open = new Set<string>();
  const interrupted = new Set<string>();

  return {
    add: (request) => {
      open.add(request);
    },
    remove: (request) => {
      open.delete(request);
    },
    emit: (effect) => {
      if ('request' in effect && interrupted.has(effect.request)) return;
      if (effect.kind === 'answer' || effect.kind === 'streamEnd') open.delete(effect.request);
      emit(effect);
    },
    interruptAll: () => {
      for (const request of open) {
        interrupted.add(request);
        emit(createErrorResponse({ request, code: 'outcomeUnknown' }));
      }
      open.clear();
    },
  };
}
