/**
 * Moving of a running stream to another path that begins at the same endpoint.
 */
import type { RequestSize } from '../../../request/estimateSize/index.js';
import type { OrderOutcome } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { formatHops } from '../formatHops/index.js';
import { reserveMemory } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** A move from one path to another. */
export interface StreamMove {
  readonly path: readonly PathHop[];
  readonly newPath: readonly PathHop[];
  readonly size: Pick<RequestSize, 'roomTokens'>;
}

/** What came of a move. */
export interface MovedStream {
  readonly outcome: OrderOutcome;
  /** Whether the first endpoint has taken the new path. */
  readonly isAccepted: boolean;
  /** Gives back the room on the new path. */
  readonly releaseNew: () => void;
  /** Adds the move to the request's story; `lastEvent` is the last that the caller has. */
  readonly log: (lastEvent: number) => void;
}

/**
 * Takes room on the new path and tells the first endpoint.
 *
 * @param context - services of the process
 * @param request - the request
 * @param move - both paths, and the room that is needed
 * @returns the outcome
 * @example
 * const { isBegun } = await moveStream(context, request, { path, newPath, size });
 */
export async function moveStream(
  context: RelayContext,
  request: RelayedRequest,
  { path, newPath, size }: StreamMove,
): Promise<MovedStream> {
  const releaseNew = reserveMemory(context, request.service.model, newPath, size.roomTokens);
  const outcome = await context.endpointPort.movePath(request.caller.attempt, newPath);
  return {
    outcome,
    isAccepted: outcome === 'begun' || outcome === 'done',
    releaseNew,
    log: (lastEvent) => {
      request.log.add('run-moved', {
        outcome,
        lastEvent,
        path: formatHops(path),
        newPath: formatHops(newPath),
      });
    },
  };
}
