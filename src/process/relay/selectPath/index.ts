/**
 * Choice of a path with the load that this node knows, and the taking of room on it.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import {
  choosePath,
  type ChosenPath,
  type PathCandidate,
} from '../../../request/choosePath/index.js';
import type { PathHop } from '../../../types/site/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** How long a report of an endpoint's memory is believed, in milliseconds. */
const REPORT_BELIEVED_MILLISECONDS = 600;

/** Memory in use: what nodes told, or what the endpoint itself just reported where that is more. */
function countUsed(endpoint: Endpoint, now: number): number {
  const told = endpoint.ownTokenLayers + endpoint.otherTokenLayers;
  const isFresh = now - endpoint.reportedAt < REPORT_BELIEVED_MILLISECONDS;
  return isFresh ? Math.max(told, endpoint.reportedTokenLayers) : told;
}

/** Options of {@link selectPath}. */
export interface SelectPathOptions {
  /** Tokens that have to be read: the prompt, and what was answered so far. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly excluded: ReadonlySet<string>;
  readonly firstHop?: PathHop | undefined;
}

/**
 * Selects a path for a request.
 *
 * @param context - services of the process
 * @param request - the request
 * @param options - its size in tokens, and what the path must keep or avoid
 * @returns the path, or undefined when none has room
 * @example
 * selectPath(context, request, { promptTokens: 700, answerTokens: 200, excluded: new Set() });
 */
export function selectPath(
  context: RelayContext,
  request: RelayedRequest,
  options: SelectPathOptions,
): ChosenPath | undefined {
  const { endpoints, now, random, availabilityZone } = context;
  const { model } = request.service;
  if (!model) return undefined;
  const kinds = new Map(model.kinds.map((kind) => [kind.name, kind]));
  const candidates: PathCandidate[] = [];
  for (const endpoint of endpoints.listUsable(request.service.name, now())) {
    const { record, layers } = endpoint;
    const kind = kinds.get(record.kind ?? '');
    if (!kind || !layers || options.excluded.has(record.id)) continue;
    candidates.push({
      id: record.id,
      address: record.address,
      availabilityZone: record.availabilityZone,
      kind,
      range: layers,
      requests: endpoint.ownRequests + endpoint.otherRequests,
      usedTokenLayers: countUsed(endpoint, now()),
      pace: endpoint.pace,
    });
  }
  const { firstHop, promptTokens, answerTokens } = options;
  const firstZone = firstHop && endpoints.find(firstHop.endpoint)?.record.availabilityZone;
  return choosePath({
    model,
    candidates,
    availabilityZone,
    promptTokens,
    answerTokens,
    random,
    ...(firstHop && {
      firstHop: { hop: firstHop, availabilityZone: firstZone ?? availabilityZone },
    }),
  });
}

/**
 * Takes room for a request on each hop of a path.
 *
 * @param context - services of the process
 * @param hops - the path
 * @param tokens - tokens that the request takes at most
 * @returns a function that gives the room back, once
 * @example
 * const giveBack = takeRoom(context, path.hops, 900);
 */
export function takeRoom(
  context: RelayContext,
  hops: readonly PathHop[],
  tokens: number,
): () => void {
  const taken = hops.flatMap(({ endpoint: id, range }) => {
    const endpoint = context.endpoints.find(id);
    return endpoint ? [{ endpoint, tokenLayers: tokens * (range.to - range.from) }] : [];
  });
  for (const { endpoint, tokenLayers } of taken) {
    endpoint.ownRequests += 1;
    endpoint.ownTokenLayers += tokenLayers;
  }
  let isGivenBack = false;
  return () => {
    if (isGivenBack) return;
    isGivenBack = true;
    for (const { endpoint, tokenLayers } of taken) {
      endpoint.ownRequests = Math.max(0, endpoint.ownRequests - 1);
      endpoint.ownTokenLayers = Math.max(0, endpoint.ownTokenLayers - tokenLayers);
    }
  };
}
