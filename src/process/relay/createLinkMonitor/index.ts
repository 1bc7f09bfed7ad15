/**
 * Monitor of a node's links to endpoints: finds out whether the node itself is cut off from them.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import { createLinkHealth } from '../../../connection/createLinkHealth/index.js';
import type { EndpointPort } from '../../../types/relay/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';

/** Options of {@link createLinkMonitor}. */
export interface CreateLinkMonitorOptions {
  readonly endpoints: Pick<EndpointTable, 'list' | 'find' | 'forgetFailures'>;
  readonly endpointPort: Pick<EndpointPort, 'isListening'>;
  readonly logger: Pick<SiteLogger, 'log'>;
  readonly now: () => number;
  readonly random: () => number;
  /** Called when this node becomes cut off, or is no longer. */
  readonly onChange: (isIsolated: boolean) => void;
}

/** Monitor of one node's links. */
export interface LinkMonitor {
  /** Records whether a connection that was begun at a time in milliseconds was established. */
  readonly record: (endpoint: string, isConnected: boolean, startedAt: number) => void;
  /** Checks the link to an endpoint that did not respond, unless another connection tried it meanwhile. */
  readonly check: (endpoint: string, since: number) => Promise<void>;
  /** Returns whether this node is cut off from nearly all endpoints. */
  readonly isIsolated: () => boolean;
  /** Returns whether this node may be cut off, so that its findings about endpoints are in doubt. */
  readonly isSuspect: () => boolean;
  /** Resolves to whether this node is cut off, after it has tried other endpoints where it is in doubt. */
  readonly confirmIsolated: () => Promise<boolean>;
  /** Returns the milliseconds since a connection to an endpoint was begun that was established. */
  readonly readConnectedAge: (endpoint: string) => number;
  /** Looks for the return of the links while this node is cut off. */
  readonly step: () => void;
}

/** Endpoints that are tried to find out whether this node is cut off, and whether it is no longer. */
const VERIFIED_ENDPOINTS = 6;
const RETRIED_ENDPOINTS = 3;
/** Minimum time between two verifications, in milliseconds. */
const VERIFY_INTERVAL_MILLISECONDS = 300;

/**
 * Creates the monitor of links of which none was tried.
 *
 * @param options - the endpoints, the port that connects to them, and the callback
 * @returns the monitor
 * @example
 * createLinkMonitor(options).isIsolated(); // false
 */
export function createLinkMonitor(options: CreateLinkMonitorOptions): LinkMonitor {
  const { endpoints, endpointPort, logger, now, random, onChange } = options;
  const health = createLinkHealth();
  let isIsolated = false;
  let verifiedAt = Number.NEGATIVE_INFINITY;
  let verification: Promise<void> = Promise.resolve();

  const connect = async ({ record }: Endpoint): Promise<void> => {
    const startedAt = now();
    const isListening = await endpointPort.isListening(record.address);
    // An endpoint that restarted elsewhere meanwhile says nothing about the link.
    if (endpoints.find(record.id)?.record.address === record.address)
      recordLink(record.id, isListening, startedAt);
  };
  const connectToSome = async (
    count: number,
    isChosen: (endpoint: Endpoint) => boolean,
  ): Promise<void> => {
    const chosen = shuffleItems(endpoints.list().filter(isChosen), random).slice(0, count);
    await Promise.all(chosen.map(connect));
  };
  const verify = (): Promise<void> => {
    if (now() - verifiedAt < VERIFY_INTERVAL_MILLISECONDS) return verification;
    verifiedAt = now();
    verification = connectToSome(
      VERIFIED_ENDPOINTS,
      ({ record }) => !health.isKnown(record.id, now()),
    );
    return verification;
  };
  const evaluate = (): void => {
    const known = isIsolated;
    isIsolated = health.isIsolated(now());
    if (isIsolated === known) return;
    logger.log(isIsolated ? 'links-lost' : 'links-back', { endpoints: endpoints.list().length });
    // What failed may have failed because of this node.
    if (!isIsolated) endpoints.forgetFailures();
    onChange(isIsolated);
  };
  function recordLink(endpoint: string, isConnected: boolean, startedAt: number): void {
    health.record(endpoint, isConnected, startedAt);
    evaluate();
    const isDoubtful = isIsolated ? isConnected : !isConnected && health.isSuspect(now());
    if (isDoubtful) void verify();
  }
  return {
    record: recordLink,
    check: async (id, since) => {
      const endpoint = endpoints.find(id);
      if (endpoint && !health.isKnown(id, now(), since)) await connect(endpoint);
    },
    isIsolated: () => isIsolated,
    isSuspect: () => isIsolated || health.isSuspect(now()),
    confirmIsolated: async () => {
      if (!isIsolated && health.isSuspect(now())) await verify();
      return isIsolated;
    },
    readConnectedAge: (endpoint) =>
      now() - (health.findConnectedAt(endpoint) ?? Number.NEGATIVE_INFINITY),
    step: () => {
      if (isIsolated) void connectToSome(RETRIED_ENDPOINTS, () => true);
    },
  };
}
