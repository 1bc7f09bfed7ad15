/**
 * Status of a site as one node knows it, for operators.
 */
import { z } from 'zod';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { describeFreeMemory, formatRanges } from '../../../request/describeFreeMemory/index.js';
import type { RateLimit } from '../../../types/rateLimit/index.js';
import type { NodeRecord, SiteService } from '../../../types/site/index.js';
import { listCandidates } from '../../relay/selectPath/index.js';
import type { RelayContext } from '../../relay/types/index.js';
import type { SiteState } from '../createSiteState/index.js';
import type { PeerExchange } from '../createPeerExchange/index.js';
import type { StoreFollower } from '../createStoreFollower/index.js';
import type { Planner } from '../createPlanner/index.js';

const nodeStatusSchema = z.object({
  node: z.string(),
  availabilityZone: z.string(),
  address: z.string(),
  state: z.enum(['alive', 'leaving']),
});

const endpointStatusSchema = z.object({
  endpoint: z.string(),
  service: z.string(),
  availabilityZone: z.string(),
  layers: z.string(),
  state: z.enum(['usable', 'draining', 'leaving', 'lost', 'resting', 'avoided']),
  /** Requests at the endpoint, of this node and of other nodes as they reported. */
  requests: z.number(),
  pace: z.number(),
  /**
   * Milliseconds since the last report of its layers; -1 when they are known from the registry
   * only.
   */
  reportAge: z.number(),
  /** Requests per second that it accepts from all nodes together; absent without a limit. */
  requestsPerSecond: z.number().optional(),
});

const serviceStatusSchema = z.object({
  service: z.string(),
  endpoints: z.number(),
  usable: z.number(),
  /** Retries that this node may still make now. */
  retriesLeft: z.number(),
});

const freeMemoryStatusSchema = z.object({
  service: z.string(),
  layers: z.string(),
  /**
   * Tokens that fit at the endpoint with the most free memory; -1 when no endpoint hosts the
   * layers.
   */
  tokens: z.number(),
});

const blockedPartStatusSchema = z.object({
  part: z.string(),
  crashes: z.number(),
  /** Endpoints that crashed, separated by spaces. */
  endpoints: z.string(),
  /** Milliseconds until a request with the part may be tried; 0 or less when it may be now. */
  retryMilliseconds: z.number(),
});

const shareStatusSchema = z.object({
  service: z.string(),
  priority: z.number(),
  /** Share of slots and memory that requests of the priority may fill. */
  share: z.number(),
});

/** Schema of {@link SiteStatus}. */
export const siteStatusSchema = z.object({
  node: z.string(),
  /** Version of the active configuration; 0 until there is one. */
  version: z.number(),
  isStoreReachable: z.boolean(),
  storeRevision: z.number(),
  /** How often the store was restored from an older copy; absent from nodes of earlier versions. */
  storeEra: z.number().optional(),
  isPlanner: z.boolean(),
  /** Milliseconds since the last load report of another node. */
  loadAge: z.number(),
  nodes: z.array(nodeStatusSchema),
  endpoints: z.array(endpointStatusSchema),
  services: z.array(serviceStatusSchema),
  room: z.array(freeMemoryStatusSchema),
  /** Shares of services whose requests differ in priority; absent from nodes of earlier versions. */
  shares: z.array(shareStatusSchema).optional(),
  /** Absent from nodes of earlier versions. */
  blockedParts: z.array(blockedPartStatusSchema).optional(),
});

/** Status of a site as one node knows it. */
export type SiteStatus = z.infer<typeof siteStatusSchema>;

/** Options of {@link describeSite}. */
export interface DescribeSiteOptions {
  readonly self: NodeRecord;
  readonly context: RelayContext;
  readonly state: SiteState;
  readonly exchange: PeerExchange;
  readonly follower: StoreFollower;
  readonly planner: Planner;
}

function findState(endpoint: Endpoint, now: number): SiteStatus['endpoints'][number]['state'] {
  if (endpoint.record.isDraining) return 'draining';
  if (endpoint.leavingSince !== undefined) return 'leaving';
  if (endpoint.lostUntil > now) return 'lost';
  if (endpoint.backoffUntil > now) return 'resting';
  return endpoint.avoidedUntil > now ? 'avoided' : 'usable';
}

function describeEndpoint(
  endpoint: Endpoint,
  limit: RateLimit | undefined,
  now: number,
): SiteStatus['endpoints'][number] {
  const { record, layers, layersReportedAt, slowdown } = endpoint;
  return {
    endpoint: record.id,
    service: record.service,
    availabilityZone: record.availabilityZone,
    layers: layers ? formatRanges([layers]) : '',
    state: findState(endpoint, now),
    requests: endpoint.localRequests + Math.round(endpoint.remoteRequests),
    pace: slowdown,
    reportAge: Number.isFinite(layersReportedAt) ? Math.round(now - layersReportedAt) : -1,
    ...(limit && { requestsPerSecond: limit.requestsPerSecond }),
  };
}

function listFreeMemory(context: RelayContext, service: SiteService): SiteStatus['room'] {
  const { model, name } = service;
  if (!model) return [];
  const sections = describeFreeMemory(model, listCandidates(context, service, new Set()));
  return sections.map(({ range, tokens }) => ({
    service: name,
    layers: formatRanges([range]),
    tokens: tokens ?? -1,
  }));
}

/**
 * Returns the current status of the site as a node knows it.
 *
 * @param options - the parts of the node
 * @returns the status
 * @example
 * describeSite(options).services;
 */
export function describeSite(options: DescribeSiteOptions): SiteStatus {
  const { self, context, state, exchange, follower, planner } = options;
  const now = context.clock.now();
  const endpoints = state.endpoints.list();
  const services = state.getCompiled()?.configuration.services ?? [];
  return {
    node: self.name,
    version: state.getVersion(),
    isStoreReachable: follower.isReachable(),
    storeRevision: follower.getRevision(),
    storeEra: follower.getEra(),
    isPlanner: planner.isPlanner(),
    loadAge: Math.round(exchange.readLoadAge()),
    nodes: exchange.peers
      .listAlive()
      .map(({ name, availabilityZone, callerAddress, isLeaving }) => ({
        node: name,
        availabilityZone,
        address: callerAddress,
        state: isLeaving ? 'leaving' : 'alive',
      })),
    endpoints: endpoints.map((endpoint) =>
      describeEndpoint(endpoint, context.permits.findLimit(endpoint.record), now),
    ),
    services: services.map(({ name }) => ({
      service: name,
      endpoints: endpoints.filter(({ record }) => record.service === name).length,
      usable: state.endpoints.listUsable(name, now).length,
      retriesLeft: context.budget.countLeft(name, now),
    })),
    room: services.flatMap((service) => listFreeMemory(context, service)),
    shares: context.admission.listShares(),
    blockedParts: context.partGuard.breakers
      .listBlocked()
      .map(({ part, state: { crashes, retryAt }, reports }) => ({
        part,
        crashes,
        endpoints: reports.map(({ endpoint }) => endpoint).join(' '),
        retryMilliseconds: Math.round(retryAt - now),
      })),
  };
}
