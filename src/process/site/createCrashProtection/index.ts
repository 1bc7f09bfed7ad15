/**
 * Protection of endpoints against requests that crash them: its parts, connected with each other.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { EndpointPort } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { createCrashRecorder, type CrashRecorder } from '../../relay/createCrashRecorder/index.js';
import type { EndpointProber } from '../../relay/createEndpointProber/index.js';
import type { LinkMonitor } from '../../relay/createLinkMonitor/index.js';
import { createPartGuard, type PartGuard } from '../../relay/createPartGuard/index.js';
import type { RelayMetrics } from '../../relay/createRelayMetrics/index.js';
import { createPartExchange, type PartExchange } from '../createPartExchange/index.js';
import type { PeerPort } from '../createPeerExchange/index.js';
import { encodePartFacts } from '../partFactsCodec/index.js';
import { encodePartFactsMessage } from '../peerMessageCodec/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';

/** Options of {@link createCrashProtection}. */
export interface CreateCrashProtectionOptions {
  readonly self: NodeRecord;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly endpoints: EndpointTable;
  readonly prober: Pick<EndpointProber, 'probe'>;
  readonly endpointPort: Pick<EndpointPort, 'isListening'>;
  readonly links: Pick<LinkMonitor, 'record' | 'confirmIsolated'>;
  readonly peerPort: Pick<PeerPort, 'send'>;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
}

/** Protection of one node. */
export interface CrashProtection {
  readonly crashes: CrashRecorder;
  readonly partGuard: PartGuard;
  readonly partExchange: PartExchange;
}

/**
 * Creates the protection of one node.
 *
 * @param options - the node, its endpoints, and the ways to other nodes
 * @returns the recorder of crashes, the guard of requests, and the exchange with other nodes
 * @example
 * createCrashProtection(options).partGuard.createGate(request);
 */
export function createCrashProtection(options: CreateCrashProtectionOptions): CrashProtection {
  const { self, clock, random, logger, metrics, endpoints, prober, endpointPort } = options;
  const partGuard = createPartGuard({
    node: self.name,
    clock,
    logger,
    metrics,
    announce: (facts) => {
      partExchange.announce(facts);
    },
  });
  const partExchange = createPartExchange({
    breakers: partGuard.breakers,
    clock,
    random,
    self,
    listAlive: options.listAlive,
    send: (address, facts) => {
      const encoded = encodePartFacts(facts, clock.now());
      options.peerPort.send(address, encodePartFactsMessage(encoded));
    },
  });
  const crashes = createCrashRecorder({
    endpoints,
    prober,
    endpointPort,
    links: options.links,
    clock,
    logger,
    metrics,
  });
  return { crashes, partGuard, partExchange };
}
