/**
 * Migration of a running stream to another path with the same first endpoint.
 */
import type { TokenEstimate } from '../../../request/estimateTokens/index.js';
import type { OrderOutcome } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { formatHops } from '../formatHops/index.js';
import { reserveMemory } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Migration from one path to another. */
export interface StreamMove {
  readonly path: readonly PathHop[];
  readonly newPath: readonly PathHop[];
  readonly size: Pick<TokenEstimate, 'roomTokens'>;
}

/** Result of a migration. */
export interface MovedStream {
  readonly outcome: OrderOutcome;
  /** Whether the first endpoint accepted the new path. */
  readonly isAccepted: boolean;
  /** Releases the memory that is reserved on the new path. */
  readonly releaseNew: () => void;
  /** Adds the migration to the request's log; `lastEvent` is the last event that was forwarded. */
  readonly logMove: (lastEvent: number) => void;
}

/**
 * Reserves memory on the new path and sends the path to the first endpoint.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param move - both paths, and the size of the request
 * @returns the result of the migration
 * @example
 * const { isAccepted } = await moveStream(context, request, { path, newPath, size });
 */
export async function moveStream(
  context: RelayContext,
  request: RelayedRequest,
  { path, newPath, size }: StreamMove,
): Promise<MovedStream> {
  const releaseNew = reserveMemory(context, request, newPath, size.roomTokens);
  const outcome = await context.endpointPort.movePath(request.caller.attempt, newPath);
  return {
    outcome,
    isAccepted: outcome === 'begun' || outcome === 'done',
    releaseNew,
    logMove: (lastEvent) => {
      request.log.add('run-moved', {
        outcome,
        lastEvent,
        path: formatHops(path),
        newPath: formatHops(newPath),
      });
    },
  };
}
