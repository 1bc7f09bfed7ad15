/**
 * Table of the endpoints that a node knows, with their load and health.
 */
import { hashText } from '../../process/hashRendezvous/index.js';
import type { EndpointRecord, LayerRange } from '../../types/site/index.js';

/** Endpoint with the state that this node observed. */
export interface Endpoint {
  record: EndpointRecord;
  /** Start time of the endpoint when its entry last said that it drains; undefined before. */
  drainingStart: number | undefined;
  /** Layers that the endpoint hosts, by the newer of its registration and its reports. */
  layers: LayerRange | undefined;
  /** Time at which the layers were last read from a report, in milliseconds. */
  layersReportedAt: number;
  /** Number of orders that the endpoint has accepted; undefined before its first report. */
  acceptedOrders: number | undefined;
  /** Number of requests of this node that run on the endpoint. */
  localRequests: number;
  /** Memory that the requests of this node use there, in token-layers. */
  localTokenLayers: number;
  /** Number of requests of other nodes, according to their last messages. */
  remoteRequests: number;
  /**
   * Memory that the requests of other nodes use, according to their last messages, in token-layers.
   */
  remoteTokenLayers: number;
  /** Memory in use that the endpoint reported, in token-layers. */
  reportedTokenLayers: number;
  /** Time of that report in milliseconds. */
  reportedAt: number;
  /** Number of running requests according to the last response of the endpoint. */
  running: number;
  /** Number of waiting requests according to the last response of the endpoint. */
  waiting: number;
  /** Time of that response in milliseconds. */
  loadReadAt: number;
  /** Factor on the normal step time; 1 is the normal speed. */
  slowdown: number;
  /** Time until which no requests are sent there, in milliseconds. */
  avoidedUntil: number;
  /** Number of consecutive failures. */
  failures: number;
  /** Time until which the endpoint is marked as lost, in milliseconds. */
  lostUntil: number;
  /** Time at which this node itself last found the endpoint lost; undefined when it did not. */
  lossFoundAt: number | undefined;
  /** Time at which the endpoint was first reported as leaving; undefined when it is not. */
  leavingSince: number | undefined;
  /** Time until which the endpoint requested no traffic from this node, in milliseconds. */
  backoffUntil: number;
}

/** Table of endpoints by identifier. */
export interface EndpointTable {
  /** Whether a record is older than what is known of its endpoint, so that it is not applied. */
  readonly isOutdated: (id: string, record: EndpointRecord) => boolean;
  /** Applies a record of the registry, undefined for a removal; true when the endpoint changed. */
  readonly update: (id: string, record: EndpointRecord | undefined, now: number) => boolean;
  readonly find: (id: string) => Endpoint | undefined;
  readonly findByAddress: (address: string) => Endpoint | undefined;
  /** Returns the endpoint whose identifier has the given hash. */
  readonly findByTag: (tag: number) => Endpoint | undefined;
  readonly list: () => Endpoint[];
  /** Lists the endpoints of a service that accept new requests. */
  readonly listUsable: (service: string, now: number) => Endpoint[];
  /** Counts a failure; returns the time of the ejection in milliseconds, 0 when there is none. */
  readonly recordFailure: (endpoint: Endpoint, now: number) => number;
  /** Resets the count of failures. */
  readonly recordSuccess: (endpoint: Endpoint) => void;
  /** Excludes the endpoint from new requests for a time in milliseconds. */
  readonly avoid: (endpoint: Endpoint, now: number, milliseconds: number) => void;
  /** Marks the endpoint as lost for a time in milliseconds; true when the state changed. */
  readonly markLost: (endpoint: Endpoint, now: number, milliseconds: number) => boolean;
  readonly markFound: (endpoint: Endpoint) => void;
  /** Forgets the failures of all endpoints, and the losses that were found. */
  readonly forgetFailures: () => void;
  /** Withdraws the losses that this node found, so that they are no longer announced. */
  readonly withdrawLosses: () => void;
  /** Marks the endpoint as leaving until it restarts; true when the state changed. */
  readonly markLeaving: (endpoint: Endpoint, now: number) => boolean;
  /** Applies a backoff that the endpoint requested, in milliseconds. */
  readonly backOff: (endpoint: Endpoint, now: number, milliseconds: number) => void;
  /** Applies a restart that the endpoint reported before the registry shows it. */
  readonly recordRestart: (endpoint: Endpoint, startedAt: number) => void;
}

/** Number of consecutive failures after which an endpoint is ejected for a time. */
const FAILURES_BEFORE_EJECTION = 3;
/** Maximum delay of the registry behind the reports of endpoints, in milliseconds. */
const REGISTRY_LAG_MILLISECONDS = 3_000;
const FIRST_EJECTION_MILLISECONDS = 500;
const MAXIMUM_EJECTION_MILLISECONDS = 4_000;

function createEndpoint(record: EndpointRecord): Endpoint {
  return {
    record,
    drainingStart: record.isDraining ? record.startedAt : undefined,
    layers: record.layers,
    layersReportedAt: Number.NEGATIVE_INFINITY,
    acceptedOrders: undefined,
    localRequests: 0,
    localTokenLayers: 0,
    remoteRequests: 0,
    remoteTokenLayers: 0,
    reportedTokenLayers: 0,
    reportedAt: Number.NEGATIVE_INFINITY,
    running: 0,
    waiting: 0,
    loadReadAt: Number.NEGATIVE_INFINITY,
    slowdown: 1,
    avoidedUntil: Number.NEGATIVE_INFINITY,
    failures: 0,
    lostUntil: Number.NEGATIVE_INFINITY,
    lossFoundAt: undefined,
    leavingSince: undefined,
    backoffUntil: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Returns whether an endpoint is draining by the registry or reported as leaving.
 *
 * @param endpoint - the endpoint
 * @returns true when it is leaving
 * @example
 * isLeavingEndpoint(endpoint); // false
 */
export function isLeavingEndpoint({ record, leavingSince }: Endpoint): boolean {
  return record.isDraining || leavingSince !== undefined;
}

/**
 * Creates an empty table.
 *
 * An endpoint that restarted, changed its address or changed its service is a new endpoint; earlier
 * observations are discarded. Endpoints drain until they restart, and restart later than before: a
 * record that says otherwise is older than what is known, as from an older copy of the registry.
 *
 * @returns the table
 * @example
 * createEndpointTable().update('i-1', record, now);
 */
export function createEndpointTable(): EndpointTable {
  const endpoints = new Map<string, Endpoint>();
  const idsByTag = new Map<number, string>();
  const isSame = (left: EndpointRecord, right: EndpointRecord): boolean =>
    left.startedAt === right.startedAt &&
    left.address === right.address &&
    left.service === right.service;
  const isOutdated = (id: string, record: EndpointRecord): boolean => {
    const known = endpoints.get(id);
    if (!known || record.startedAt === 0) return false;
    if (record.startedAt < known.record.startedAt) return true;
    return record.startedAt === known.drainingStart && !record.isDraining;
  };
  return {
    isOutdated,
    update: (id, record, now) => {
      if (!record) {
        idsByTag.delete(hashText(id));
        return endpoints.delete(id);
      }
      const known = endpoints.get(id);
      // A report may have announced a restart before the registry shows it.
      if (isOutdated(id, record)) return false;
      if (!known || !isSame(known.record, record)) {
        endpoints.set(id, createEndpoint(record));
        idsByTag.set(hashText(id), id);
        return true;
      }
      if (now - known.layersReportedAt > REGISTRY_LAG_MILLISECONDS) known.layers = record.layers;
      known.record = record;
      if (record.isDraining) known.drainingStart = record.startedAt;
      return false;
    },
    find: (id) => endpoints.get(id),
    findByAddress: (address) => {
      for (const endpoint of endpoints.values()) {
        if (endpoint.record.address === address) return endpoint;
      }
      return undefined;
    },
    findByTag: (tag) => endpoints.get(idsByTag.get(tag) ?? ''),
    list: () => [...endpoints.values()],
    listUsable: (service, now) => {
      const usable: Endpoint[] = [];
      for (const endpoint of endpoints.values()) {
        const { record } = endpoint;
        if (record.service !== service || isLeavingEndpoint(endpoint)) continue;
        if (endpoint.avoidedUntil > now || endpoint.lostUntil > now) continue;
        if (endpoint.backoffUntil > now) continue;
        usable.push(endpoint);
      }
      return usable;
    },
    recordFailure: (endpoint, now) => {
      endpoint.failures += 1;
      if (endpoint.failures < FAILURES_BEFORE_EJECTION) return 0;
      const doublings = endpoint.failures - FAILURES_BEFORE_EJECTION;
      const pause = Math.min(
        MAXIMUM_EJECTION_MILLISECONDS,
        FIRST_EJECTION_MILLISECONDS * 2 ** doublings,
      );
      endpoint.avoidedUntil = Math.max(endpoint.avoidedUntil, now + pause);
      return pause;
    },
    recordSuccess: (endpoint) => {
      endpoint.failures = 0;
    },
    markLost: (endpoint, now, milliseconds) => {
      const hasChanged = endpoint.lostUntil <= now;
      endpoint.lostUntil = Math.max(endpoint.lostUntil, now + milliseconds);
      return hasChanged;
    },
    markFound: (endpoint) => {
      endpoint.lostUntil = Number.NEGATIVE_INFINITY;
      endpoint.lossFoundAt = undefined;
    },
    forgetFailures: () => {
      for (const endpoint of endpoints.values())
        Object.assign(endpoint, {
          failures: 0,
          avoidedUntil: Number.NEGATIVE_INFINITY,
          lostUntil: Number.NEGATIVE_INFINITY,
          lossFoundAt: undefined,
        });
    },
    withdrawLosses: () => {
      for (const endpoint of endpoints.values()) endpoint.lossFoundAt = undefined;
    },
    markLeaving: (endpoint, now) => {
      if (endpoint.leavingSince !== undefined) return false;
      endpoint.leavingSince = now;
      return true;
    },
    backOff: (endpoint, now, milliseconds) => {
      endpoint.backoffUntil = Math.max(endpoint.backoffUntil, now + milliseconds);
    },
    recordRestart: (endpoint, startedAt) => {
      endpoint.record = { ...endpoint.record, startedAt };
      endpoint.leavingSince = undefined;
      endpoint.backoffUntil = Number.NEGATIVE_INFINITY;
    },
    avoid: (endpoint, now, milliseconds) => {
      endpoint.avoidedUntil = Math.max(endpoint.avoidedUntil, now + milliseconds);
    },
  };
}
