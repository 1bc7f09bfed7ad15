/**
 * Node of a site with its sockets: listeners, loops and shutdown.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import {
  deriveCallerLimits,
  type ConnectionLimits,
} from '../../../connection/deriveCallerLimits/index.js';
import type { EndpointPort, SiteProtocol } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Store } from '../../../types/store/index.js';
import { createTokenBucket } from '../../../request/createTokenBucket/index.js';
import { describeError } from '../../describeError/index.js';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import type { LeavingPeriod } from '../../relay/admitRequest/index.js';
import { createCallerHandler } from '../../relay/createCallerHandler/index.js';
import { createEndpointPort } from '../../relay/createEndpointPort/index.js';
import { createNeighbourPort } from '../../relay/createNeighbourPort/index.js';
import { createSystemClock } from '../../runtime/createSystemClock/index.js';
import { guardConnections } from '../../runtime/guardConnections/index.js';
import { readProcessResources } from '../../runtime/readProcessResources/index.js';
import { refuseOverloaded } from '../../runtime/refuseOverloaded/index.js';
import { runLoop } from '../../runtime/runLoop/index.js';
import { createPeerPort } from '../createPeerPort/index.js';
import { createSiteLogger } from '../createSiteLogger/index.js';
import {
  createSiteNode,
  type RetryBounds,
  type SiteCore,
  type SiteKeys,
} from '../createSiteNode/index.js';
import {
  applyCallerLimits,
  createCallerServer,
  createPeerServer,
  startListeners,
} from '../createSiteServers/index.js';
import { formatGauges } from '../formatGauges/index.js';
import type { SiteDecoders } from '../createSiteState/index.js';

/** Parts of the site's protocol that are not relayed: the address list and the readiness check. */
export interface SiteQueries {
  /** Creates the handler that responds with the addresses to connect to. */
  readonly createAddressHandler: (
    nodes: readonly NodeRecord[],
    random: () => number,
  ) => RequestListener;
  /** Returns whether a path is that of the readiness check. */
  readonly isReadinessPath: (path: string) => boolean;
}

/** Options of {@link startSiteNode}. */
export interface StartSiteNodeOptions {
  readonly node: Omit<NodeRecord, 'incarnation' | 'isLeaving'>;
  readonly readinessAddress: string;
  readonly directoryAddress: string;
  /** Addresses of nodes to contact first, if any. */
  readonly seeds: readonly string[];
  readonly store: Store;
  readonly protocol: SiteProtocol;
  readonly decoders: SiteDecoders;
  readonly keys: SiteKeys;
  readonly queries: SiteQueries;
  readonly graceMilliseconds: number;
  readonly retries: RetryBounds;
  /** Whether streams wait for a path where their service has several priorities; false by default. */
  readonly hasWaitingRooms?: boolean;
  /** Whether choices of a path are spread where a service has several priorities; false by default. */
  readonly spreadsChoices?: boolean;
  /** Limits of the callers' connections; derived from the memory and descriptors of the process by default. */
  readonly callerLimits?: ConnectionLimits;
  /** Port to endpoints; over HTTP by default. */
  readonly endpointPort?: EndpointPort;
  /** Output stream of log lines; standard output by default. */
  readonly logStream?: NodeJS.WritableStream;
}

/** Running node. */
export interface SiteNode {
  /**
   * Shuts the node down: accepts no new callers, completes open requests, and resolves. The grace period runs
   * from `signalledAt`, in milliseconds on the process's monotonic clock; from now by default. Further calls have
   * no effect.
   */
  readonly leave: (signalledAt?: number) => Promise<void>;
  /**
   * Logs a request to reload, with the version of the active configuration. The settings file is not
   * read again.
   */
  readonly logReload: () => void;
  /** Logs and counts an exception that nothing caught. */
  readonly recordError: (error: unknown, origin: string) => void;
}

/**
 * Minimum time for which a leaving node serves, because callers may still use address lists that
 * contain it.
 */
const LEAVING_SERVE_MILLISECONDS = 3_300;
/**
 * Margin between the end of a leaving node and the end of the grace period of the platform, in
 * milliseconds, and as a share of a short grace period.
 */
const LEAVING_MARGIN_MILLISECONDS = 500;
const LEAVING_MARGIN_SHARE = 1 / 6;
/** Log lines of limited callers, which a burst of them must not fill the log with. */
const LIMIT_LINES_PER_SECOND = 2;
const LIMIT_LINES_BURST = 20;
const LEAVING_CHECK_MILLISECONDS = 10;
/** Share of that margin in which the last responses of a leaving node are sent. */
const LAST_RESPONSES_SHARE = 0.5;

/** Resolves when a condition holds, which is checked every {@link LEAVING_CHECK_MILLISECONDS}. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, LEAVING_CHECK_MILLISECONDS));
  }
}

/** Creates the server for readiness checks and for the pages of operators, by path. */
function createReadinessServer(
  queries: SiteQueries,
  isReady: () => boolean,
  pages: Readonly<Record<string, () => string>>,
): Server {
  return createServer((incoming, response) => {
    const url = incoming.url ?? '';
    const page = pages[url];
    if (queries.isReadinessPath(url)) response.writeHead(isReady() ? 200 : 503).end();
    else if (page) response.end(page());
    else response.writeHead(404).end();
  });
}

/**
 * Starts a node.
 *
 * @param options - identity, addresses, ports to the platform, and limits
 * @returns the node; rejects when a listener's address is in use
 * @example
 * const node = await startSiteNode(options);
 */
export async function startSiteNode(options: StartSiteNodeOptions): Promise<SiteNode> {
  const { queries, store, protocol } = options;
  const clock = createSystemClock();
  const { now } = clock;
  const self: NodeRecord = { ...options.node, incarnation: Date.now(), isLeaving: false };
  const { name: node, availabilityZone } = self;
  const logger = createSiteLogger({ node, availabilityZone, now, stream: options.logStream });
  const lifeCycle = createLifeCycle();
  let leaving: LeavingPeriod | undefined;
  const limits = options.callerLimits ?? deriveCallerLimits(readProcessResources());
  const callerServer = createCallerServer(
    (incoming, response) => {
      if (guard.admit(incoming, response)) handler.handle(incoming, response);
      else refuseOverloaded(response);
    },
    (cause) => {
      metrics.count('closed_connections', cause);
    },
  );
  const limitLines = createTokenBucket({
    tokensPerSecond: LIMIT_LINES_PER_SECOND,
    burst: LIMIT_LINES_BURST,
    now,
  });
  let omittedLimitLines = 0;
  const guard = guardConnections(callerServer, {
    limits,
    now,
    onLimit: ({ cause, address, heldBytes, openRequests }) => {
      metrics.count('caller_limits', cause);
      if (!limitLines.take()) {
        omittedLimitLines += 1;
        return;
      }
      const omitted = omittedLimitLines;
      omittedLimitLines = 0;
      logger.log('caller-limited', { cause, address, heldBytes, open: openRequests, omitted });
    },
  });
  lifeCycle.own({ name: 'callers-guard', close: guard.close });
  const peerPort = await createPeerPort({
    address: self.peerAddress,
    lifeCycle,
    onMessage: (bytes, address) => {
      core.exchange.receive(bytes, address);
    },
    onFailure: (error) => {
      logger.log('loop-failed', { loop: 'messages', reason: error.message });
    },
  });
  const core: SiteCore = createSiteNode({
    self,
    seeds: options.seeds,
    clock,
    store,
    endpointPort: options.endpointPort ?? createEndpointPort(protocol),
    neighbourPort: createNeighbourPort({ node, translator: protocol }),
    peerPort,
    logger,
    decoders: options.decoders,
    keys: options.keys,
    retries: options.retries,
    ...(options.hasWaitingRooms && { hasWaitingRooms: true }),
    ...(options.spreadsChoices && { spreadsChoices: true }),
    onConfiguration: ({ configuration }) => {
      applyCallerLimits(callerServer, configuration.limits);
    },
    getLeaving: () => leaving,
  });
  const { relay, state, exchange, metrics, registration } = core;
  const isLeaving = (): boolean => leaving !== undefined;
  const handler = createCallerHandler({
    relay,
    headerTranslator: protocol,
    logger,
    metrics,
    now,
    isLeaving,
    guard,
    maximumBodyChunks: limits.bodyChunks,
  });
  const isReady = (): boolean => state.getCompiled() !== undefined && !isLeaving();
  const readinessServer = createReadinessServer(queries, isReady, {
    '/metrics': () => {
      const extras = { open: handler.countOpen(), leftOut: logger.countDroppedLines(), guard };
      return `${metrics.format()}${formatGauges(core.describe(), extras)}`;
    },
    '/v1/status': () => JSON.stringify(core.describe()),
    '/v1/histograms': () => JSON.stringify(metrics.listHistograms()),
  });
  const directoryServer = createServer((incoming, response) => {
    // Callers of a node that is cut off from endpoints are better served by the others directly.
    queries.createAddressHandler(core.listReaching(), core.random)(incoming, response);
  });
  lifeCycle.own({ name: 'store connections', close: store.close });
  const recordLoopFailure = (loop: string, error: unknown): void => {
    logger.log('loop-failed', { loop, reason: describeError(error) });
  };
  const peerServer = createPeerServer(exchange.handleRequest, handler.handleHandedOver);
  await startListeners(
    lifeCycle,
    [
      { name: 'peers', server: peerServer, address: self.peerAddress },
      { name: 'directory', server: directoryServer, address: options.directoryAddress },
      { name: 'callers', server: callerServer, address: self.callerAddress },
      { name: 'readiness', server: readinessServer, address: options.readinessAddress },
    ],
    recordLoopFailure,
  );
  for (const [name, step] of Object.entries(core.loops)) {
    const onFailure = (error: unknown): void => {
      recordLoopFailure(name, error);
    };
    runLoop({ name, lifeCycle, step, onFailure });
  }
  logger.log('started', { incarnation: self.incarnation, address: self.callerAddress });

  const stop = async (startedAt: number): Promise<void> => {
    const { graceMilliseconds } = options;
    const margin = Math.min(LEAVING_MARGIN_MILLISECONDS, graceMilliseconds * LEAVING_MARGIN_SHARE);
    const endsAt = startedAt + graceMilliseconds - margin;
    leaving = { startedAt, endsAt };
    const serveEnd = Math.min(endsAt, startedAt + LEAVING_SERVE_MILLISECONDS);
    exchange.peers.setLeaving();
    logger.log('leaving', { open: handler.countOpen() });
    void registration.end();
    const hasEnded = (): boolean => handler.countOpen() === 0;
    await waitUntil(() => now() >= endsAt || (now() >= serveEnd && hasEnded()));
    core.endRequests();
    const sentBefore = now() + margin * LAST_RESPONSES_SHARE;
    await waitUntil(() => now() >= sentBefore || hasEnded());
    handler.recordUnanswered();
    logger.log('stopped', { open: handler.countOpen() });
    await lifeCycle.close();
  };
  let stopped: Promise<void> | undefined;

  return {
    logReload: () => {
      logger.log('reloaded', { version: state.getVersion() });
    },
    recordError: (error, origin) => {
      metrics.count('internal_errors', origin);
      const reason = describeError(error);
      logger.log('internal-error', { origin, reason, open: handler.countOpen() });
    },
    leave: (signalledAt = now()) => (stopped ??= stop(signalledAt)),
  };
}
