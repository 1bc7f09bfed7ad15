/**
 * Planner of a site: one node at a time orders endpoints to load the layers that the plan assigns.
 *
 * The node is chosen by rendezvous hashing over the live nodes. Two nodes that both count themselves
 * as the planner are harmless: an order names the complete range of layers, and it is valid only while
 * the endpoint has accepted no other order since the plan was made.
 */
import { isLeavingEndpoint, type Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { EndpointControl } from '../../../types/relay/index.js';
import type { LayeredModel, LayerRange } from '../../../types/site/index.js';
import type { PlacementCandidate } from '../../../types/placement/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import type { EndpointProber } from '../../relay/createEndpointProber/index.js';
import { createOrderBook, isSameRange } from '../createOrderBook/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { SiteDecisions } from '../siteDecisions/index.js';
import type { SiteState } from '../createSiteState/index.js';

/** Options of {@link createPlanner}. */
export interface CreatePlannerOptions {
  readonly self: string;
  readonly state: SiteState;
  readonly endpointPort: Pick<EndpointControl, 'sendOrder'>;
  readonly logger: SiteLogger;
  readonly now: () => number;
  readonly listAlive: () => readonly string[];
  readonly prober: EndpointProber;
  readonly planPlacement: SiteDecisions['planPlacement'];
}

/** Planner of one node, which sends orders while the node is chosen. */
export interface Planner {
  /** Runs one round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Lists recent layer changes that resulted from orders of this node, for other nodes. */
  readonly listLayerUpdates: () => [string, number, number, number, number][];
  /** Whether this node currently sends orders. */
  readonly isPlanner: () => boolean;
  /** Lists endpoints that are or recently were slow, with the factor on the normal step time. */
  readonly listSlowdowns: () => [string, number][];
}

const ROUND_MILLISECONDS = 300;
const IDLE_ROUND_MILLISECONDS = 500;
/** Time for which the list of endpoints has to stay unchanged before the first plan. */
const SETTLE_MILLISECONDS = 700;
/** Maximum time for which the first plan waits for the list to settle. */
const MAXIMUM_SETTLE_MILLISECONDS = 4_000;
/** Interval between two report requests to an endpoint without an order in progress. */
const REPORT_INTERVAL_MILLISECONDS = 3_000;
const ANNOUNCE_MILLISECONDS = 5_000;
const LOST_MILLISECONDS = 3_000;
const FAILED_REPORTS_BEFORE_LOST = 2;
/** Minimum share of the known endpoints that have to respond before a node plans. */
const MINIMUM_LIVE_SHARE = 0.5;

/**
 * Creates the planner of one node.
 *
 * @param options - the node's state, the port to endpoints, and the live nodes
 * @returns the planner
 * @example
 * createPlanner(options).step();
 */
export function createPlanner(options: CreatePlannerOptions): Planner {
  const { self, state, endpointPort, logger, now, listAlive, prober, planPlacement } = options;
  const orders = createOrderBook({ endpoints: state.endpoints, endpointPort, logger, now });
  const changedAt = new Map<string, number>();
  const slowAt = new Map<string, number>();
  const fetchedAt = new Map<string, number>();
  const failedReports = new Map<string, number>();
  /** Services that are not planned because too few of their endpoints respond. */
  const waiting = new Set<string>();
  let isPlanner = false;
  let seenIds = '';
  let settledAt = Number.POSITIVE_INFINITY;
  let firstSeenAt: number | undefined;

  const fetchReport = async (endpoint: Endpoint): Promise<void> => {
    const { id } = endpoint.record;
    fetchedAt.set(id, now());
    const before = endpoint.layers;
    const report = await prober.refreshReport(endpoint);
    if (state.endpoints.find(id) !== endpoint) return;
    if (report) {
      failedReports.delete(id);
      if (!isSameRange(before, report.layers)) changedAt.set(id, now());
      if (endpoint.slowdown > 1) slowAt.set(id, now());
      orders.applyReport(endpoint, report);
      return;
    }
    const failures = (failedReports.get(id) ?? 0) + 1;
    failedReports.set(id, failures);
    if (failures < FAILED_REPORTS_BEFORE_LOST) return;
    if (endpoint.lostUntil <= now()) prober.reportLost(id, 'no report');
    else state.endpoints.markLost(endpoint, now(), LOST_MILLISECONDS);
  };

  const fetchDueReports = async (endpoints: readonly Endpoint[]): Promise<void> => {
    const due = endpoints.filter(({ record }) => {
      const pause =
        orders.has(record.id) || failedReports.has(record.id)
          ? ROUND_MILLISECONDS
          : REPORT_INTERVAL_MILLISECONDS;
      return now() - (fetchedAt.get(record.id) ?? Number.NEGATIVE_INFINITY) >= pause;
    });
    await Promise.all(due.map(fetchReport));
  };

  const sendOrder = async (endpoint: Endpoint, range: LayerRange): Promise<void> => {
    await orders.send(endpoint, range);
    fetchedAt.delete(endpoint.record.id);
  };

  const hasSettled = (endpoints: readonly Endpoint[]): boolean => {
    const ids = endpoints
      .map(({ record }) => record.id)
      .sort()
      .join(' ');
    if (ids === '') return false;
    firstSeenAt ??= now();
    if (ids !== seenIds) {
      seenIds = ids;
      settledAt = now() + SETTLE_MILLISECONDS;
    }
    const isLoaded = endpoints.some(({ layers }) => layers);
    return isLoaded || now() >= Math.min(settledAt, firstSeenAt + MAXIMUM_SETTLE_MILLISECONDS);
  };

  const listCandidates = (endpoint: Endpoint, model: LayeredModel): PlacementCandidate[] => {
    const { record, layers } = endpoint;
    const kind = model.kinds.find(({ name }) => name === record.kind);
    if (!kind) return [];
    const ordered = orders.findRange(record.id);
    return [
      {
        id: record.id,
        availabilityZone: record.availabilityZone,
        kind,
        range: ordered ?? layers,
        isBusy: ordered !== undefined,
      },
    ];
  };

  /**
   * Returns whether this node reaches so few endpoints of a service that it is more likely isolated
   * itself; it then must not plan.
   */
  const isLikelyIsolated = (service: string, living: number, known: number): boolean => {
    const isIsolated = living < known * MINIMUM_LIVE_SHARE;
    if (isIsolated && !waiting.has(service)) {
      waiting.add(service);
      logger.log('planner-waits', { service, living, known });
    } else if (!isIsolated) waiting.delete(service);
    return isIsolated;
  };

  const planService = async (service: string, model: LayeredModel): Promise<void> => {
    const endpoints = state.endpoints
      .list()
      .filter((endpoint) => endpoint.record.service === service && !isLeavingEndpoint(endpoint));
    if (!hasSettled(endpoints)) return;
    await fetchDueReports(endpoints);
    const live = endpoints.filter((endpoint) => endpoint.lostUntil <= now());
    if (isLikelyIsolated(service, live.length, endpoints.length)) return;
    const placement = planPlacement(
      model,
      live.flatMap((endpoint) => listCandidates(endpoint, model)),
    );
    const orderCalls = [...placement].flatMap(([id, range]) => {
      const endpoint = state.endpoints.find(id);
      return endpoint ? [sendOrder(endpoint, range)] : [];
    });
    await Promise.all(orderCalls);
  };

  return {
    step: async () => {
      const alive = listAlive();
      const isOwner = findOwner('planner', alive) === self;
      if (isOwner !== isPlanner) {
        isPlanner = isOwner;
        orders.clear();
        failedReports.clear();
        logger.log(isOwner ? 'planner-begins' : 'planner-ends', { nodes: alive.length });
      }
      if (!isOwner) return IDLE_ROUND_MILLISECONDS;
      orders.dropStale();
      for (const { name, model } of state.getCompiled()?.configuration.services ?? []) {
        if (model) await planService(name, model);
      }
      return ROUND_MILLISECONDS;
    },
    isPlanner: () => isPlanner,
    listSlowdowns: () => {
      const list: [string, number][] = [];
      for (const [id, at] of slowAt) {
        const endpoint = state.endpoints.find(id);
        if (endpoint && now() - at <= ANNOUNCE_MILLISECONDS) list.push([id, endpoint.slowdown]);
        else slowAt.delete(id);
      }
      return list;
    },
    listLayerUpdates: () => {
      const list: [string, number, number, number, number][] = [];
      for (const [id, at] of changedAt) {
        const endpoint = state.endpoints.find(id);
        if (!endpoint || now() - at > ANNOUNCE_MILLISECONDS) {
          changedAt.delete(id);
          continue;
        }
        const { record, layers } = endpoint;
        list.push([
          id,
          record.startedAt,
          endpoint.acceptedOrders ?? 0,
          layers?.from ?? 0,
          layers?.to ?? 0,
        ]);
      }
      return list;
    },
  };
}
