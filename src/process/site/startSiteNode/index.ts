/**
 * A node of a site: listeners, loops and the state between them.
 */
import { createServer, Agent, type RequestListener, type Server } from 'node:http';
import { createSpendingBudget } from '../../../request/createSpendingBudget/index.js';
import type { Wire } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Store } from '../../../types/store/index.js';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import { createRandom } from '../../createRandom/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { parseJson } from '../../parseJson/index.js';
import { createExaminer } from '../../relay/createExaminer/index.js';
import { createRelay, type Leaving } from '../../relay/createRelay/index.js';
import { createRelayMetrics } from '../../relay/createRelayMetrics/index.js';
import { callJson } from '../../runtime/callJson/index.js';
import { runLoop } from '../../runtime/runLoop/index.js';
import { createPeers, type PeerNews } from '../createPeers/index.js';
import { createSiteLogger } from '../createSiteLogger/index.js';
import { createSiteState, type SiteDecoders } from '../createSiteState/index.js';
import { createStoreFollower } from '../followStore/index.js';
import { createPlanner } from '../runPlanner/index.js';

/** Keys of the store that the node reads. */
export interface SiteKeys {
  readonly configuration: string;
  readonly endpointPrefix: string;
}

/** What callers ask a node beside their requests, translated from the site's wire. */
export interface SiteQuestions {
  /** Answers where to connect. */
  readonly answerAddresses: (nodes: readonly NodeRecord[], random: () => number) => RequestListener;
  /** Whether a path asks if the node is ready. */
  readonly isReadinessPath: (path: string) => boolean;
}

/** Options of {@link startSiteNode}. */
export interface StartSiteNodeOptions {
  readonly node: Omit<NodeRecord, 'incarnation' | 'isLeaving'>;
  readonly readinessAddress: string;
  readonly directoryAddress: string;
  /** Addresses of nodes to begin with, if any. */
  readonly seeds: readonly string[];
  readonly store: Store;
  readonly wire: Wire;
  readonly decoders: SiteDecoders;
  readonly keys: SiteKeys;
  readonly questions: SiteQuestions;
  readonly graceMilliseconds: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
}

/** A node that runs. */
export interface SiteNode {
  /** Leaves: takes no new callers, ends what is under way, and resolves. */
  readonly leave: () => Promise<void>;
}

const PEER_ROUND_MILLISECONDS = 300;
const PEER_TIMEOUT_MILLISECONDS = 600;
const MOST_PEER_BYTES = 8_388_608;
const NODE_KEY_PREFIX = 'nodes/';
const NODE_LEASE_MILLISECONDS = 15_000;
const NODE_LEASE_ROUND_MILLISECONDS = 5_000;
const NODE_LEASE_RETRY_MILLISECONDS = 1_000;
const LOAD_MILLISECONDS = 2_500;
/** How long callers may hold an old answer that names this node, in milliseconds. */
const LEAVING_SERVE_MILLISECONDS = 3_300;
const LEAVING_MARGIN_MILLISECONDS = 500;
const LEAVING_CHECK_MILLISECONDS = 50;
const IDLE_SLACK_MILLISECONDS = 2_000;

function listen(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/**
 * Starts a node.
 *
 * @param options - identity, addresses, ports to the platform, and bounds
 * @returns the node; rejects when a listener's address is taken
 * @example
 * const node = await startSiteNode(options);
 */
export async function startSiteNode(options: StartSiteNodeOptions): Promise<SiteNode> {
  const { store, wire, decoders, keys, questions } = options;
  const now = (): number => performance.now();
  const incarnation = Date.now();
  const self: NodeRecord = { ...options.node, incarnation, isLeaving: false };
  const random = createRandom(hashText(`${self.name}/${incarnation}`));
  const logger = createSiteLogger({
    node: self.name,
    availabilityZone: self.availabilityZone,
    now,
  });
  const lifeCycle = createLifeCycle();
  const metrics = createRelayMetrics();
  const lostCallbacks = new Set<(endpoint: string) => void>();
  const onFailure = (error: unknown): void => {
    logger.log('error', 'loop-failed', {
      reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  };

  const callerServer = createServer({ maxHeaderSize: 32_768, noDelay: true });
  const state = createSiteState({
    decoders,
    logger,
    now,
    parse: parseJson,
    onConfiguration: ({ configuration: { limits } }) => {
      callerServer.keepAliveTimeout = limits.idleTimeoutMilliseconds + IDLE_SLACK_MILLISECONDS;
      callerServer.headersTimeout = limits.headerTimeoutMilliseconds + IDLE_SLACK_MILLISECONDS;
    },
  });
  const examiner = createExaminer({
    endpoints: state.endpoints,
    wire,
    logger,
    now,
    onLost: (id) => {
      for (const callback of [...lostCallbacks]) callback(id);
      void tellPeers();
    },
  });

  const follower = createStoreFollower({
    store,
    logger,
    now,
    onItem: (key, value) => {
      const text = value?.toString('utf8');
      if (key === keys.configuration) {
        if (text !== undefined) state.offerConfiguration(text, 'store');
      } else if (key.startsWith(keys.endpointPrefix)) {
        state.offerEndpoint(key.slice(keys.endpointPrefix.length), text, 'store');
      } else if (key.startsWith(NODE_KEY_PREFIX) && text !== undefined) {
        introduceNode(text);
      }
    },
  });

  const loadsByNode = new Map<string, { at: number; loads: PeerNews['loads'] }>();
  const takeNews = (news: PeerNews): void => {
    if (news.configuration !== undefined) state.offerConfiguration(news.configuration, 'peer');
    for (const [id, text] of news.entries ?? []) {
      if (!follower.isReachable()) state.offerEndpoint(id, text, 'peer');
    }
    loadsByNode.set(news.from, { at: now(), loads: news.loads });
    for (const [id] of news.lost) {
      const endpoint = state.endpoints.find(id);
      if (endpoint && endpoint.lostUntil <= now()) {
        // The sender may be the one that is cut off, so its word is checked.
        void examiner.examine(id, `told by ${news.from}`);
      }
    }
    for (const [id, bornAt, acceptedOrders, from, to] of news.layers) {
      const endpoint = state.endpoints.find(id);
      if (endpoint?.record.bornAt !== bornAt) continue;
      if ((endpoint.acceptedOrders ?? 0) > acceptedOrders) continue;
      endpoint.acceptedOrders = acceptedOrders;
      endpoint.layersReportedAt = now();
      endpoint.layers = to > from ? { from, to } : undefined;
    }
    for (const [id, pace] of news.paces) {
      const endpoint = state.endpoints.find(id);
      if (endpoint) endpoint.pace = pace;
    }
  };
  const peers = createPeers({
    self,
    now,
    random,
    getNews: () => ({
      version: state.getVersion(),
      revision: follower.getRevision(),
      isReachable: follower.isReachable(),
      loads: state.endpoints
        .list()
        .filter(({ ownRequests }) => ownRequests > 0)
        .map(({ record, ownRequests, ownTokenLayers }) => [
          record.id,
          ownRequests,
          Math.round(ownTokenLayers),
        ]),
      lost: state.endpoints
        .list()
        .filter(({ lostUntil }) => lostUntil > now())
        .map(({ record, lostUntil }) => [record.id, Math.round(lostUntil - now())]),
      layers: planner.listNews(),
      paces: planner.listPaces(),
    }),
    getConfiguration: state.getText,
    getEntries: state.listEntries,
    onNews: takeNews,
    onChange: (event, node) => {
      logger.log('info', event, { peer: node.name, incarnation: node.incarnation });
    },
  });
  const introduceNode = (text: string): void => {
    const value = parseJson(text);
    peers.introduceValue(value);
  };
  const planner = createPlanner({
    self: self.name,
    state,
    wire,
    logger,
    now,
    listAlive: () =>
      peers
        .listAlive()
        .filter(({ isLeaving }) => !isLeaving)
        .map(({ name }) => name),
    examiner,
  });

  const sumOtherLoads = (): void => {
    const list = state.endpoints.list();
    for (const endpoint of list) Object.assign(endpoint, { otherRequests: 0, otherTokenLayers: 0 });
    for (const [name, { at, loads }] of loadsByNode) {
      if (now() - at > LOAD_MILLISECONDS) {
        loadsByNode.delete(name);
        continue;
      }
      for (const [id, requests, tokenLayers] of loads) {
        const endpoint = state.endpoints.find(id);
        if (!endpoint) continue;
        endpoint.otherRequests += requests;
        endpoint.otherTokenLayers += tokenLayers;
      }
    }
  };
  const peerAgent = new Agent({ keepAlive: true });
  lifeCycle.own({
    name: 'peer connections',
    close: () => {
      peerAgent.destroy();
    },
  });
  const tellPeers = async (): Promise<number> => {
    peers.sweep();
    sumOtherLoads();
    const targets = peers.pickTargets();
    const known = targets.length > 0 ? targets : options.seeds;
    const body = peers.createMessage();
    await Promise.all(
      known.map(async (address) => {
        const result = await callJson({
          address,
          method: 'POST',
          path: '/news',
          body,
          agent: peerAgent,
          timeoutMilliseconds: PEER_TIMEOUT_MILLISECONDS,
        });
        if (result.kind === 'answered') peers.takeAnswer(result.value);
      }),
    );
    return PEER_ROUND_MILLISECONDS;
  };

  let leaving: Leaving | undefined;
  let lease: number | undefined;
  const register = async (): Promise<number> => {
    if (lease !== undefined) {
      const kept = await store.keepLease(lease);
      if (kept.kind === 'done') return NODE_LEASE_ROUND_MILLISECONDS;
      if (kept.kind === 'rejected') lease = undefined;
      return NODE_LEASE_RETRY_MILLISECONDS;
    }
    const granted = await store.grantLease(NODE_LEASE_MILLISECONDS);
    if (granted.kind !== 'done') return NODE_LEASE_RETRY_MILLISECONDS;
    const value = Buffer.from(JSON.stringify(self));
    const key = `${NODE_KEY_PREFIX}${self.name}`;
    const written = await store.transact({
      expected: [],
      puts: [{ key, value, lease: granted.value }],
      remove: [],
    });
    if (written.kind !== 'done') return NODE_LEASE_RETRY_MILLISECONDS;
    lease = granted.value;
    return NODE_LEASE_ROUND_MILLISECONDS;
  };

  const relay = createRelay({
    context: {
      availabilityZone: self.availabilityZone,
      endpoints: state.endpoints,
      wire,
      budget: createSpendingBudget({
        ratio: options.retryRatio,
        slack: options.retrySlack,
        windowMilliseconds: options.retryWindowMilliseconds,
        countNodes: () => peers.listAlive().length,
      }),
      logger,
      metrics,
      now,
      random,
      examiner,
      onLost: (callback) => {
        lostCallbacks.add(callback);
        return () => lostCallbacks.delete(callback);
      },
    },
    getCompiled: state.getCompiled,
    getLeaving: () => leaving,
  });

  callerServer.on('request', relay.handle);
  const isReady = (): boolean => state.getCompiled() !== undefined && !peers.isLeaving();
  const readinessServer = createServer((incoming, response) => {
    const isAsked = questions.isReadinessPath(incoming.url ?? '');
    if (!isAsked && incoming.url === '/metrics') response.end(metrics.format());
    else response.writeHead(isAsked ? (isReady() ? 200 : 503) : 404).end();
  });
  const directoryServer = createServer((incoming, response) => {
    questions.answerAddresses(peers.listAlive(), random)(incoming, response);
  });
  const peerServer = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MOST_PEER_BYTES) incoming.destroy();
      else chunks.push(chunk);
    });
    incoming.on('end', () => {
      const answer = peers.receive(parseJson(Buffer.concat(chunks).toString('utf8')));
      response.writeHead(answer ? 200 : 400, { 'Content-Type': 'application/json' });
      response.end(answer && JSON.stringify(answer));
    });
  });
  const servers: [string, Server, string][] = [
    ['peers', peerServer, self.peerAddress],
    ['directory', directoryServer, options.directoryAddress],
    ['callers', callerServer, self.callerAddress],
    ['readiness', readinessServer, options.readinessAddress],
  ];
  for (const [name, server, address] of servers) {
    await listen(server, address);
    lifeCycle.own({
      name,
      close: () => {
        server.close();
        server.closeAllConnections();
      },
    });
  }
  runLoop({ name: 'store', lifeCycle, step: follower.step, onFailure });
  runLoop({ name: 'registration', lifeCycle, step: register, onFailure });
  runLoop({ name: 'news', lifeCycle, step: tellPeers, onFailure });
  runLoop({ name: 'planner', lifeCycle, step: planner.step, onFailure });
  lifeCycle.own({ name: 'store connections', close: store.close });
  logger.log('info', 'started', { incarnation, address: self.callerAddress });

  return {
    leave: async () => {
      const startedAt = now();
      const graceEnd = startedAt + options.graceMilliseconds - LEAVING_MARGIN_MILLISECONDS;
      const serveEnd = Math.min(graceEnd, startedAt + LEAVING_SERVE_MILLISECONDS);
      leaving = { startedAt, endsAt: graceEnd };
      peers.setLeaving();
      logger.log('info', 'leaving', { open: relay.countOpen() });
      if (lease !== undefined) void store.endLease(lease);
      while (now() < graceEnd && (now() < serveEnd || relay.countOpen() > 0)) {
        await new Promise((resolve) => setTimeout(resolve, LEAVING_CHECK_MILLISECONDS));
      }
      logger.log('info', 'stopped', { open: relay.countOpen() });
      await lifeCycle.close();
    },
  };
}
