/**
 * Emulated node that only chooses paths: its endpoint table, the loads that other nodes reported, and its choices.
 */
import {
  createEndpointTable,
  type EndpointTable,
} from '../../src/connection/createEndpointTable/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { hashText } from '../../src/process/hashRendezvous/index.js';
import { reserveMemory, selectPath } from '../../src/process/relay/selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../../src/process/relay/types/index.js';
import { createPeers } from '../../src/process/site/createPeers/index.js';
import { createRemoteLoads } from '../../src/process/site/createRemoteLoads/index.js';
import type { EndpointLoadUpdate } from '../../src/process/site/peerMessages/index.js';
import type { SiteDecisions } from '../../src/process/site/siteDecisions/index.js';
import type { ChosenPath } from '../../src/request/choosePath/index.js';
import { createZoneLinkMonitor } from '../../src/request/createZoneLinkMonitor/index.js';
import type { TokenEstimate } from '../../src/request/estimateTokens/index.js';
import { compileSiteConfiguration } from '../../src/version/compileSiteConfiguration/index.js';
import { MODEL_SERVICE } from '../createEngineFleet/index.js';
import type {
  EndpointRecord,
  LayeredModel,
  NodeRecord,
  SiteRoute,
} from '../../src/types/site/index.js';

/** Options of {@link createChooser}. */
export interface CreateChooserOptions {
  readonly self: NodeRecord;
  /** All nodes of the site, this one included. */
  readonly nodes: readonly NodeRecord[];
  readonly records: readonly EndpointRecord[];
  readonly model: LayeredModel;
  /** Routes to the service; the first one is that of all requests. */
  readonly routes: readonly [SiteRoute, ...SiteRoute[]];
  readonly now: () => number;
  readonly seed: number;
  readonly decisions: Pick<SiteDecisions, 'choosePath' | 'movesRuns' | 'prefersLocalZone'>;
}

/** Node that chooses paths. */
export interface Chooser {
  readonly self: NodeRecord;
  readonly endpoints: EndpointTable;
  /** Chooses a path for a request without the excluded endpoints. */
  readonly select: (size: TokenEstimate, excluded: ReadonlySet<string>) => ChosenPath | undefined;
  /** Reserves memory on a path; returns its release. */
  readonly reserve: (path: ChosenPath, roomTokens: number) => () => void;
  /** Applies the received loads, and returns the addresses and the loads of this round's message. */
  readonly startRound: () => {
    readonly targets: readonly string[];
    readonly loads: readonly EndpointLoadUpdate[] | undefined;
  };
  readonly receiveLoads: (node: string, loads: readonly EndpointLoadUpdate[]) => void;
  /** Milliseconds since the last load report of another node. */
  readonly readLoadAge: () => number;
}

/** Share of the messages that carry loads in a large availability zone, as in `createPeerExchange`. */
const LARGE_ZONE_LOADS_SHARE = 0.34;
const HEALTH_PATH = '/';
/** Limits on callers' requests, which choices do not depend on. */
const LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMilliseconds: 1_000,
  idleTimeoutMilliseconds: 5_000,
} as const;

/**
 * Creates a node that chooses paths, without sockets, requests and messages of its own.
 *
 * @param options - this node, the other nodes, the endpoints and the decisions
 * @returns the node
 * @example
 * createChooser(options).select(size, new Set())?.hops;
 */
export function createChooser(options: CreateChooserOptions): Chooser {
  const { self, nodes, records, model, routes, now, decisions } = options;
  const [route] = routes;
  const random = createRandom(hashText(`${self.name}/${options.seed}`));
  const endpoints = createEndpointTable();
  for (const record of records) endpoints.update(record.id, record, 0);
  const peers = createPeers({ self, now, random, onChange: () => undefined });
  peers.addNodes(nodes);
  const remoteLoads = createRemoteLoads({ self, endpoints, listAlive: peers.listAlive, now });
  const zoneNodes = nodes.filter(
    ({ availabilityZone }) => availabilityZone === self.availabilityZone,
  );
  const context = {
    availabilityZone: self.availabilityZone,
    endpoints,
    clock: { now },
    random,
    countNodes: peers.countAlive,
    countNodesWithoutLoad: remoteLoads.countNodesWithoutLoad,
    readLoadAge: remoteLoads.readAge,
    permits: { estimateWait: () => 0 },
    spreadsChoices: true,
    admission: { findShare: () => 1, hold: () => () => undefined },
    zoneLinks: createZoneLinkMonitor({ countSendingNodes: () => zoneNodes.length }),
    decisions,
  } as unknown as RelayContext;
  const { findService } = compileSiteConfiguration({
    version: 1,
    routes,
    services: [{ name: MODEL_SERVICE, healthPath: HEALTH_PATH, maximumConnections: 1_000, model }],
    limits: LIMITS,
  });
  const service = findService(MODEL_SERVICE);
  const request = {
    service,
    route,
    priority: route.priority,
    log: { add: () => undefined },
  } as unknown as RelayedRequest;
  const listLoads = (): EndpointLoadUpdate[] =>
    endpoints
      .list()
      .filter(({ localRequests }) => localRequests > 0)
      .map((entry) => [entry.record.id, entry.localRequests, Math.round(entry.localTokenLayers)]);
  return {
    self,
    endpoints,
    select: (size, excluded) => selectPath(context, request, { ...size, excluded }),
    reserve: (path, roomTokens) => reserveMemory(context, request, path.hops, roomTokens),
    startRound: () => {
      remoteLoads.apply();
      const hasLoads = !peers.isLargeZone() || random() < LARGE_ZONE_LOADS_SHARE;
      return { targets: peers.pickTargets(), loads: hasLoads ? listLoads() : undefined };
    },
    receiveLoads: (node, loads) => {
      remoteLoads.record(node, [...loads]);
    },
    readLoadAge: remoteLoads.readAge,
  };
}
