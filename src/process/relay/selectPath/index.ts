/**
 * Selection of a path by the load that this node knows, and reservation of memory on the path.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { type ChosenPath, type PathCandidate } from '../../../request/choosePath/index.js';
import { computeZoneLinkTime } from '../../../request/computeZoneLinkTime/index.js';
import {
  describeFreeMemory,
  findLeastFreeMemory,
  formatRanges,
} from '../../../request/describeFreeMemory/index.js';
import type {
  EndpointRecord,
  LayeredModel,
  PathHop,
  SiteRoute,
  SiteService,
} from '../../../types/site/index.js';
import { formatHops } from '../formatHops/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Digits of shares in log lines. */
const SHARE_DIGITS = 3;
/** Time for which an endpoint's report of its memory is used, in milliseconds. */
const REPORT_VALID_MILLISECONDS = 600;

/**
 * Computes the memory in use in token-layers: the sum that the nodes announced, or the recent
 * report of the endpoint if that is larger.
 *
 * A node without a load report counts with the load of this node, since both serve similar callers.
 */
function computeUsedMemory(endpoint: Endpoint, now: number, nodesWithoutLoad: number): number {
  const announced = endpoint.localTokenLayers * (1 + nodesWithoutLoad) + endpoint.remoteTokenLayers;
  const isFresh = now - endpoint.reportedAt < REPORT_VALID_MILLISECONDS;
  return isFresh ? Math.max(announced, endpoint.reportedTokenLayers) : announced;
}

/** Share of a route's latency limits up to which a path within the local zone is used directly. */
const TARGET_SHARE = 0.5;

/**
 * Relative size of the random part of a hop's cost where nodes spread their choices. With a part as large as the cost,
 * most nodes still choose the endpoint that looks best by loads that are half a second old, and overload it.
 */
const SPREAD_COST_SPREAD = 3;

/** Returns whether a path is fast enough that remote zones need not be considered. */
function isWithinTarget(path: ChosenPath, route: SiteRoute): boolean {
  return (
    path.firstEventMilliseconds <= TARGET_SHARE * route.objectiveMilliseconds &&
    path.pauseMilliseconds <= TARGET_SHARE * route.longestPauseMilliseconds
  );
}

/** Options of {@link selectPath}. */
export interface SelectPathOptions {
  /** Number of tokens to read: the prompt and the answer tokens so far. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Number of tokens that memory is reserved for. */
  readonly roomTokens: number;
  /** Identifiers of endpoints that the path must not use. */
  readonly excluded: ReadonlySet<string>;
  /** First hop that the path must keep. */
  readonly firstHop?: PathHop | undefined;
  /** Returns whether a path may begin at an endpoint; all may by default. */
  readonly mayStart?: (endpoint: EndpointRecord) => boolean;
  /** Whether the run continues a stream whose response has begun, so that no share limits it; false by default. */
  readonly isContinuation?: boolean;
}

/**
 * Lists the endpoints that a path may use, with the load that this node knows.
 *
 * @param context - dependencies of the process
 * @param service - the service
 * @param excluded - identifiers of endpoints to leave out
 * @param mayStart - returns whether a path may begin at an endpoint
 * @returns the candidates; none when the service has no layered model
 * @example
 * listCandidates(context, service, new Set());
 */
export function listCandidates(
  context: Pick<RelayContext, 'clock' | 'endpoints' | 'permits' | 'countNodesWithoutLoad'>,
  { name, model }: SiteService,
  excluded: ReadonlySet<string>,
  mayStart: (endpoint: EndpointRecord) => boolean = () => true,
): PathCandidate[] {
  const now = context.clock.now();
  const nodesWithoutLoad = context.countNodesWithoutLoad();
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
      requests: endpoint.localRequests * (1 + nodesWithoutLoad) + endpoint.remoteRequests,
      usedTokenLayers: computeUsedMemory(endpoint, now, nodesWithoutLoad),
      slowdown: endpoint.slowdown,
      startWaitMilliseconds: mayStart(record)
        ? context.permits.estimateWait(record)
        : Number.POSITIVE_INFINITY,
    });
  }
  return candidates;
}

function logChoice(
  context: RelayContext,
  request: RelayedRequest,
  candidates: readonly PathCandidate[],
  { roomTokens, fillableShare }: { readonly roomTokens: number; readonly fillableShare: number },
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
  const sections = model ? describeFreeMemory(model, candidates) : [];
  const uncovered = sections.filter(({ tokens }) => tokens === undefined);
  const tightest = findLeastFreeMemory(sections);
  request.log.add('path-missing', {
    ...common,
    ...(fillableShare < 1 && { fillableShare: Number(fillableShare.toFixed(SHARE_DIGITS)) }),
    uncovered: formatRanges(uncovered.map(({ range }) => range)),
    tightest: tightest ? `${formatRanges([tightest.range])}: ${tightest.tokens ?? 0}` : '',
  });
}

/**
 * Selects a path for a request.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param options - the size in tokens, the first hop to keep and the endpoints to avoid
 * @returns the path, or undefined when none has enough free memory
 * @example
 * selectPath(context, request, { ...estimateTokens(options), excluded: new Set() });
 */
export function selectPath(
  context: RelayContext,
  request: RelayedRequest,
  options: SelectPathOptions,
): ChosenPath | undefined {
  const { endpoints, random, availabilityZone } = context;
  const { model, spreadsChoices = false } = request.service;
  if (!model) return undefined;
  const nodes = context.countNodes();
  const { firstHop, promptTokens, answerTokens, roomTokens, excluded, mayStart } = options;
  const { isContinuation = false } = options;
  const { name } = request.service;
  const fillableShare = isContinuation ? 1 : context.admission.findShare(name, request.priority);
  const candidates = listCandidates(context, request.service, excluded, mayStart);
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
      nodes,
      fillableShare,
      ...(context.spreadsChoices &&
        spreadsChoices &&
        nodes > 1 && { costSpread: SPREAD_COST_SPREAD }),
      estimateZoneLinkWait: (from, to) =>
        context.zoneLinks.estimateWait(from, to, context.clock.now()),
      ...(firstHop && { firstHop: { hop: firstHop, availabilityZone: startZone } }),
    });
  const localCandidates = candidates.filter(
    (candidate) => candidate.availabilityZone === startZone,
  );
  const triesLocalFirst =
    context.decisions.prefersLocalZone && localCandidates.length < candidates.length;
  const localPath = triesLocalFirst ? choose(localCandidates) : undefined;
  const path =
    localPath && isWithinTarget(localPath, request.route) ? localPath : choose(candidates);
  if (!path && fillableShare < 1)
    context.metrics.count('share_refusals', `${name}/${request.priority}`);
  logChoice(context, request, candidates, { roomTokens, fillableShare }, path);
  return path;
}

/** Records the transfers of a prompt over the links between availability zones. */
function recordTransfers(
  { endpoints, zoneLinks, clock }: RelayContext,
  model: LayeredModel,
  hops: readonly PathHop[],
  tokens: number,
): void {
  const zones = hops.map(({ endpoint }) => endpoints.find(endpoint)?.record.availabilityZone);
  zones.forEach((zone, index) => {
    const before = zones[index - 1];
    if (zone === undefined || before === undefined || zone === before) return;
    zoneLinks.recordTransfer(before, zone, computeZoneLinkTime(model, tokens), clock.now());
  });
}

/**
 * Reserves memory for a request on each hop of a path.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param hops - the path
 * @param tokens - maximum number of tokens of the request
 * @returns a function that releases the memory; further calls have no effect
 * @example
 * const release = reserveMemory(context, request, path.hops, 900);
 */
export function reserveMemory(
  context: RelayContext,
  { service, priority }: Pick<RelayedRequest, 'service' | 'priority'>,
  hops: readonly PathHop[],
  tokens: number,
): () => void {
  const { name, model } = service;
  if (model) recordTransfers(context, model, hops, tokens);
  const reserved = hops.flatMap(({ endpoint: id, range }) => {
    const endpoint = context.endpoints.find(id);
    return endpoint ? [{ endpoint, tokenLayers: tokens * (range.to - range.from) }] : [];
  });
  for (const { endpoint, tokenLayers } of reserved) {
    endpoint.localRequests += 1;
    endpoint.localTokenLayers += tokenLayers;
  }
  const tokenLayers = reserved.reduce((sum, reservation) => sum + reservation.tokenLayers, 0);
  const endHold =
    reserved.length > 0 ? context.admission.hold(name, { priority, tokenLayers }) : undefined;
  let isReleased = false;
  return () => {
    if (isReleased) return;
    isReleased = true;
    endHold?.();
    for (const { endpoint, tokenLayers } of reserved) {
      endpoint.localRequests = Math.max(0, endpoint.localRequests - 1);
      endpoint.localTokenLayers = Math.max(0, endpoint.localTokenLayers - tokenLayers);
    }
  };
}
