/**
 * Limits of what a node sends to endpoints: the rates that endpoints announced, the permits to send within them, and
 * the shares of capacity by priority; connected with the other nodes.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { computeAdmissionShares } from '../../../request/computeAdmissionShares/index.js';
import {
  computeServiceCapacity,
  estimateStay,
  type CapacityEndpoint,
} from '../../../request/computeServiceCapacity/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { LayeredModel, NodeRecord } from '../../../types/site/index.js';
import type { CompiledSiteConfiguration } from '../../../version/compileSiteConfiguration/index.js';
import { listPriorities } from '../../../version/listPriorities/index.js';
import {
  createAdmissionExchange,
  type AdmissionExchange,
} from '../createAdmissionExchange/index.js';
import type { PeerPort } from '../createPeerExchange/index.js';
import type { Peers } from '../createPeers/index.js';
import { createPermits, type Permits } from '../createPermits/index.js';
import { createRateLimits, type RateLimits } from '../createRateLimits/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import { encodeNumbersMessage, tagEndpoint } from '../peerMessageCodec/index.js';
import {
  DEMAND_KIND,
  PERMIT_REPLY_KIND,
  PERMIT_REQUEST_KIND,
  RATE_LIMITS_KIND,
} from '../peerMessageFormat/index.js';
import { encodePermitReply, encodePermitRequest, encodeRateLimits } from '../permitCodec/index.js';

/** Options of {@link createRequestLimits}. */
export interface CreateRequestLimitsOptions {
  readonly self: NodeRecord;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: SiteLogger;
  readonly endpoints: EndpointTable;
  readonly peerPort: Pick<PeerPort, 'send'>;
  readonly getPeers: () => Pick<Peers, 'listAlive' | 'countKnown' | 'findNodeByTag'>;
  readonly getCompiled: () => CompiledSiteConfiguration | undefined;
  readonly computeShares: typeof computeAdmissionShares;
}

/** Limits of one node. */
export interface RequestLimits {
  readonly rateLimits: RateLimits;
  readonly permits: Permits;
  readonly admission: AdmissionExchange;
}

const SHARE_DIGITS = 3;

/** Rounds a share for the log. */
function roundShare(share: number): number {
  return Number(share.toFixed(SHARE_DIGITS));
}

/** Creates a function that lists the priorities of the services whose requests run on paths and differ in priority. */
function createServiceList(
  getCompiled: CreateRequestLimitsOptions['getCompiled'],
): () => ReadonlyMap<string, readonly number[]> {
  let compiled: CompiledSiteConfiguration | undefined;
  let services: ReadonlyMap<string, readonly number[]> = new Map();
  return () => {
    const current = getCompiled();
    if (current === compiled || !current) return services;
    compiled = current;
    services = new Map(
      [...listPriorities(current.configuration)].filter(
        ([name, priorities]) => priorities.length > 1 && current.findService(name)?.model,
      ),
    );
    return services;
  };
}

/**
 * Creates the limits of a node.
 *
 * @param options - the node, its endpoints, and the ways to other nodes
 * @returns the rate limits, the permits and the shares of capacity
 * @example
 * createRequestLimits(options).admission.findShare('assistant', 3);
 */
export function createRequestLimits(options: CreateRequestLimitsOptions): RequestLimits {
  const { self, clock, random, logger, endpoints, peerPort, getPeers, getCompiled } = options;
  const { now } = clock;
  const listAlive = (): readonly NodeRecord[] => getPeers().listAlive();
  const send = (address: string, kind: number, numbers: readonly number[]): void => {
    peerPort.send(address, encodeNumbersMessage(kind, numbers));
  };
  const rateLimits = createRateLimits({
    self,
    clock,
    random,
    logger,
    listAlive,
    send: (address, facts) => {
      send(address, RATE_LIMITS_KIND, encodeRateLimits(facts, now(), tagEndpoint));
    },
  });
  const permits = createPermits({
    self: self.name,
    clock,
    rateLimits,
    listAlive,
    countKnown: () => getPeers().countKnown(),
    sendRequest: (address, request) => {
      send(address, PERMIT_REQUEST_KIND, encodePermitRequest(request, now(), tagEndpoint));
    },
    sendReply: (address, reply) => {
      send(address, PERMIT_REPLY_KIND, encodePermitReply(reply));
    },
  });
  const findModel = (service: string): LayeredModel | undefined =>
    getCompiled()?.findService(service)?.model;
  const listCapacityEndpoints = (service: string, model: LayeredModel): CapacityEndpoint[] =>
    endpoints.listUsable(service, now()).flatMap(({ record, layers: range }) => {
      const kind = model.kinds.find(({ name }) => name === record.kind);
      return kind && range ? [{ kind, range }] : [];
    });
  const admission = createAdmissionExchange({
    self,
    clock,
    random,
    listAlive,
    findNode: (tag) => getPeers().findNodeByTag(tag),
    listServices: createServiceList(getCompiled),
    findCapacity: (service) => {
      const model = findModel(service);
      if (!model) return { slots: 0, tokenLayers: 0 };
      return computeServiceCapacity(model, listCapacityEndpoints(service, model));
    },
    estimateStay: (service) => {
      const model = findModel(service);
      return model ? estimateStay(model, listCapacityEndpoints(service, model)) : 0;
    },
    computeShares: options.computeShares,
    send: (address, numbers) => {
      send(address, DEMAND_KIND, numbers);
    },
    onChange: ({ service, priority, before, share, requestsPerSecond }) => {
      logger.log('admission-share', {
        service,
        priority,
        before: roundShare(before),
        share: roundShare(share),
        requestsPerSecond: Math.round(requestsPerSecond),
      });
    },
  });
  return { rateLimits, permits, admission };
}
