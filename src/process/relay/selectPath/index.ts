/**
 * Choice of a path with the load that this node knows, and the taking of room on it.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { type ChosenPath, type PathCandidate } from '../../../request/choosePath/index.js';
import { computePipeTime } from '../../../request/computePipeTime/index.js';
import { describeRoom, findTightest, formatRanges } from '../../../request/describeRoom/index.js';
import type { LayeredModel, PathHop, SiteRoute, SiteService } from '../../../types/site/index.js';
import { formatHops } from '../formatHops/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** How long a report of an endpoint's memory is believed, in milliseconds. */
const REPORT_VALID_MILLISECONDS = 600;

/**
 * Memory in use: what nodes told, or what the endpoint itself just reported where that is more.
 *
 * Nodes that have not told their load yet count as this one, which serves callers alike.
 */
function computeUsedMemory(endpoint: Endpoint, now: number, nodesWithoutLoad: number): number {
  const announced = endpoint.ownTokenLayers * (1 + nodesWithoutLoad) + endpoint.otherTokenLayers;
  const isFresh = now - endpoint.reportedAt < REPORT_VALID_MILLISECONDS;
  return isFresh ? Math.max(announced, endpoint.reportedTokenLayers) : announced;
}

/** Share of what a route allows that a path within one availability zone may take unquestioned. */
const TARGET_SHARE = 0.5;

/** Tells whether a path is so good that endpoints of other zones need not be looked at. */
function isWithinTarget(path: ChosenPath, route: SiteRoute): boolean {
  return (
    path.firstEventMilliseconds <= TARGET_SHARE * route.objectiveMilliseconds &&
    path.pauseMilliseconds <= TARGET_SHARE * route.longestPauseMilliseconds
  );
}

/** Options of {@link selectPath}. */
export interface SelectPathOptions {
  /** Tokens that have to be read: the prompt, and what was answered so far. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Tokens that room is taken for. */
  readonly roomTokens: number;
  readonly excluded: ReadonlySet<string>;
  readonly firstHop?: PathHop | undefined;
}

/**
 * Lists the endpoints that a path may lead through, with the load that this node knows.
 *
 * @param context - services of the process
 * @param service - the service
 * @param excluded - endpoints to leave out
 * @returns the candidates; none when the service has no layered model
 * @example
 * listCandidates(context, service, new Set());
 */
export function listCandidates(
  context: Pick<RelayContext, 'clock' | 'endpoints' | 'countUnheardNodes'>,
  { name, model }: SiteService,
  excluded: ReadonlySet<string>,
): PathCandidate[] {
  const now = context.clock.now();
  const nodesWithoutLoad = context.countUnheardNodes();
  const kinds = new Map(model?.kinds.map((kind) => [kind.name, kind]));
  const candidates: PathCandidate[] = [];
  for (const endpoint of context.endpoints.listUsable(name, now)) {
    const { record, layers } = endpoint;
    const kind = kinds.get(record.kind ?? '');
    if (!kind || !layers || excluded.has(record.id)) continue;
    candidates.push({
      id: record.id,
      address: record.address,
      availabilityZone: record.availabilityZone,
      kind,
      range: layers,
      requests: endpoint.ownRequests * (1 + nodesWithoutLoad) + endpoint.otherRequests,
      usedTokenLayers: computeUsedMemory(endpoint, now, nodesWithoutLoad),
      pace: endpoint.pace,
    });
  }
  return candidates;
}

function logChoice(
  context: RelayContext,
  request: RelayedRequest,
  candidates: readonly PathCandidate[],
  roomTokens: number,
  path: ChosenPath | undefined,
): void {
  const { model } = request.service;
  const common = {
    roomTokens: Math.round(roomTokens),
    loadAge: Math.round(context.readLoadAge()),
    candidates: candidates.length,
  };
  if (path) {
    request.log.add('path-chosen', {
      ...common,
      path: formatHops(path.hops),
      predictedFirst: Math.round(path.firstEventMilliseconds),
      predictedPause: Math.round(path.pauseMilliseconds),
    });
    return;
  }
  const sections = model ? describeRoom(model, candidates) : [];
  const uncovered = sections.filter(({ tokens }) => tokens === undefined);
  const tightest = findTightest(sections);
  request.log.add('path-missing', {
    ...common,
    uncovered: formatRanges(uncovered.map(({ range }) => range)),
    tightest: tightest ? `${formatRanges([tightest.range])}: ${tightest.tokens ?? 0}` : '',
  });
}

/**
 * Selects a path for a request.
 *
 * @param context - services of the process
 * @param request - the request
 * @param options - its size in tokens, and what the path must keep or avoid
 * @returns the path, or undefined when none has room
 * @example
 * selectPath(context, request, { ...estimateSize(size), excluded: new Set() });
 */
export function selectPath(
  context: RelayContext,
  request: RelayedRequest,
  options: SelectPathOptions,
): ChosenPath | undefined {
  const { endpoints, random, availabilityZone } = context;
  const { model } = request.service;
  if (!model) return undefined;
  const { firstHop, promptTokens, answerTokens, roomTokens, excluded } = options;
  const candidates = listCandidates(context, request.service, excluded);
  const firstZone = firstHop && endpoints.find(firstHop.endpoint)?.record.availabilityZone;
  const startZone = firstZone ?? availabilityZone;
  const choose = (subset: readonly PathCandidate[]): ChosenPath | undefined =>
    context.decisions.choosePath({
      model,
      candidates: subset,
      availabilityZone,
      promptTokens,
      answerTokens,
      random,
      nodes: context.countNodes(),
      estimatePipeWait: (from, to) => context.pipes.estimateWait(from, to, context.clock.now()),
      ...(firstHop && { firstHop: { hop: firstHop, availabilityZone: startZone } }),
    });
  const localCandidates = candidates.filter(
    (candidate) => candidate.availabilityZone === startZone,
  );
  const triesLocalFirst =
    context.decisions.prefersOwnZone && localCandidates.length < candidates.length;
  const localPath = triesLocalFirst ? choose(localCandidates) : undefined;
  const path =
    localPath && isWithinTarget(localPath, request.route) ? localPath : choose(candidates);
  logChoice(context, request, candidates, roomTokens, path);
  return path;
}

/** Notes the pipes that a prompt crosses on its way. */
function recordTransfers(
  { endpoints, pipes, clock }: RelayContext,
  model: LayeredModel,
  hops: readonly PathHop[],
  tokens: number,
): void {
  const zones = hops.map(({ endpoint }) => endpoints.find(endpoint)?.record.availabilityZone);
  zones.forEach((zone, index) => {
    const before = zones[index - 1];
    if (zone === undefined || before === undefined || zone === before) return;
    pipes.note(before, zone, computePipeTime(model, tokens), clock.now());
  });
}

/**
 * Takes room for a request on each hop of a path.
 *
 * @param context - services of the process
 * @param model - the model, if the service has one
 * @param hops - the path
 * @param tokens - tokens that the request takes at most
 * @returns a function that gives the room back, once
 * @example
 * const giveBack = reserveMemory(context, model, path.hops, 900);
 */
export function reserveMemory(
  context: RelayContext,
  model: LayeredModel | undefined,
  hops: readonly PathHop[],
  tokens: number,
): () => void {
  if (model) recordTransfers(context, model, hops, tokens);
  const reserved = hops.flatMap(({ endpoint: id, range }) => {
    const endpoint = context.endpoints.find(id);
    return endpoint ? [{ endpoint, tokenLayers: tokens * (range.to - range.from) }] : [];
  });
  for (const { endpoint, tokenLayers } of reserved) {
    endpoint.ownRequests += 1;
    endpoint.ownTokenLayers += tokenLayers;
  }
  let isReleased = false;
  return () => {
    if (isReleased) return;
    isReleased = true;
    for (const { endpoint, tokenLayers } of reserved) {
      endpoint.ownRequests = Math.max(0, endpoint.ownRequests - 1);
      endpoint.ownTokenLayers = Math.max(0, endpoint.ownTokenLayers - tokenLayers);
    }
  };
}
