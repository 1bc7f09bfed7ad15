/**
 * Endpoints that a node knows, with their load and health.
 */
import { hashText } from '../../process/hashRendezvous/index.js';
import type { EndpointRecord, LayerRange } from '../../types/site/index.js';

/** One endpoint with what this node observed of it. */
export interface Endpoint {
  record: EndpointRecord;
  /** Layers that the endpoint holds, from the newer of its registration and its reports. */
  layers: LayerRange | undefined;
  /** When the layers were last read from a report, in milliseconds. */
  layersReportedAt: number;
  /** Orders that the endpoint has accepted; undefined until it reported. */
  acceptedOrders: number | undefined;
  /** Requests of this node that run there. */
  ownRequests: number;
  /** Memory that requests of this node take there, in tokens times layers. */
  ownTokenLayers: number;
  /** The same two of other nodes, by their last messages. */
  otherRequests: number;
  otherTokenLayers: number;
  /** Memory in use that the endpoint reported, in tokens times layers, and when. */
  reportedTokenLayers: number;
  reportedAt: number;
  /** Requests that the endpoint said are running and waiting, when it last answered. */
  running: number;
  waiting: number;
  loadReadAt: number;
  /** Factor on the usual time of its work. */
  pace: number;
  /** Until when nothing is sent there, in milliseconds. */
  avoidedUntil: number;
  failures: number;
  /** Until when the endpoint is believed to be lost, in milliseconds. */
  lostUntil: number;
  /** When this node itself last found the endpoint to be lost; undefined when it did not. */
  lossFoundAt: number | undefined;
  /** When this node learnt that the endpoint says that it is leaving; undefined when it does not. */
  leavingSince: number | undefined;
  /** Until when the endpoint wants no requests of this node, in milliseconds. */
  restsUntil: number;
}

/** Endpoints by identifier. */
export interface EndpointTable {
  /** Takes the registry's word on an endpoint; undefined removes it. */
  readonly update: (id: string, record: EndpointRecord | undefined, now: number) => boolean;
  readonly find: (id: string) => Endpoint | undefined;
  readonly findByAddress: (address: string) => Endpoint | undefined;
  /** The endpoint whose identifier has a hash. */
  readonly findByTag: (tag: number) => Endpoint | undefined;
  readonly list: () => Endpoint[];
  /** Endpoints of a service that take new requests. */
  readonly listUsable: (service: string, now: number) => Endpoint[];
  /** Returns how long the endpoint is left alone now, in milliseconds; 0 when it is not. */
  readonly recordFailure: (endpoint: Endpoint, now: number) => number;
  readonly recordSuccess: (endpoint: Endpoint) => void;
  /** Sends nothing there for a time in milliseconds. */
  readonly avoid: (endpoint: Endpoint, now: number, milliseconds: number) => void;
  /** Believes that the endpoint is lost, for a time in milliseconds; true when this is news. */
  readonly markLost: (endpoint: Endpoint, now: number, milliseconds: number) => boolean;
  readonly markFound: (endpoint: Endpoint) => void;
  /** Believes that the endpoint is leaving, until it starts again; true when this is news. */
  readonly markLeaving: (endpoint: Endpoint, now: number) => boolean;
  /** Sends nothing there for a time in milliseconds that the endpoint asked for. */
  readonly backOff: (endpoint: Endpoint, now: number, milliseconds: number) => void;
  /** Takes an endpoint's own word that it has started again, before the registry says so. */
  readonly recordRestart: (endpoint: Endpoint, startedAt: number) => void;
}

/** Failures in a row after which an endpoint is left alone for a time. */
const FAILURES_BEFORE_EJECTION = 3;
/** How far the registry may be behind a report, in milliseconds. */
const REGISTRY_LAG_MILLISECONDS = 3_000;
const FIRST_EJECTION_MILLISECONDS = 500;
const MAXIMUM_EJECTION_MILLISECONDS = 4_000;

function createEndpoint(record: EndpointRecord): Endpoint {
  return {
    record,
    layers: record.layers,
    layersReportedAt: Number.NEGATIVE_INFINITY,
    acceptedOrders: undefined,
    ownRequests: 0,
    ownTokenLayers: 0,
    otherRequests: 0,
    otherTokenLayers: 0,
    reportedTokenLayers: 0,
    reportedAt: Number.NEGATIVE_INFINITY,
    running: 0,
    waiting: 0,
    loadReadAt: Number.NEGATIVE_INFINITY,
    pace: 1,
    avoidedUntil: Number.NEGATIVE_INFINITY,
    failures: 0,
    lostUntil: Number.NEGATIVE_INFINITY,
    lossFoundAt: undefined,
    leavingSince: undefined,
    restsUntil: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Tells whether an endpoint is leaving, by the registry or by its own word.
 *
 * @param endpoint - the endpoint
 * @returns whether it is
 * @example
 * isLeavingEndpoint(endpoint); // false
 */
export function isLeavingEndpoint({ record, leavingSince }: Endpoint): boolean {
  return record.isDraining || leavingSince !== undefined;
}

/**
 * Creates an empty table.
 *
 * An endpoint that started again, or moved to another address, is a new endpoint: nothing that was
 * observed before holds for it.
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
  const isOlder = (known: EndpointRecord, record: EndpointRecord): boolean =>
    record.address === known.address &&
    record.startedAt !== 0 &&
    record.startedAt < known.startedAt;
  return {
    update: (id, record, now) => {
      if (!record) {
        idsByTag.delete(hashText(id));
        return endpoints.delete(id);
      }
      const known = endpoints.get(id);
      // A report may have told of a new start before the registry does.
      if (known && isOlder(known.record, record)) return false;
      if (!known || !isSame(known.record, record)) {
        endpoints.set(id, createEndpoint(record));
        idsByTag.set(hashText(id), id);
        return true;
      }
      if (now - known.layersReportedAt > REGISTRY_LAG_MILLISECONDS) known.layers = record.layers;
      known.record = record;
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
        if (endpoint.restsUntil > now) continue;
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
    markLeaving: (endpoint, now) => {
      if (endpoint.leavingSince !== undefined) return false;
      endpoint.leavingSince = now;
      return true;
    },
    backOff: (endpoint, now, milliseconds) => {
      endpoint.restsUntil = Math.max(endpoint.restsUntil, now + milliseconds);
    },
    recordRestart: (endpoint, startedAt) => {
      endpoint.record = { ...endpoint.record, startedAt };
      endpoint.leavingSince = undefined;
      endpoint.restsUntil = Number.NEGATIVE_INFINITY;
    },
    avoid: (endpoint, now, milliseconds) => {
      endpoint.avoidedUntil = Math.max(endpoint.avoidedUntil, now + milliseconds);
    },
  };
}
