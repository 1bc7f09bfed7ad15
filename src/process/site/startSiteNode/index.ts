/**
 * A node of a site: listeners, loops and the state between them.
 */
import { createServer, type RequestListener } from 'node:http';
import { createSpendingBudget } from '../../../request/createSpendingBudget/index.js';
import type { Wire } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Store } from '../../../types/store/index.js';
import { createLifeCycle, type LifeCycle } from '../../createLifeCycle/index.js';
import { createRandom } from '../../createRandom/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { parseJson } from '../../parseJson/index.js';
import { createExaminer, type Examiner } from '../../relay/createExaminer/index.js';
import { createRelay, type Leaving, type Relay } from '../../relay/createRelay/index.js';
import { createRelayMetrics, type RelayMetrics } from '../../relay/createRelayMetrics/index.js';
import { runLoop } from '../../runtime/runLoop/index.js';
import { createSiteLogger, type SiteLogger } from '../createSiteLogger/index.js';
import {
  applyCallerLimits,
  createCallerServer,
  createPeerServer,
  startListeners,
} from '../createSiteServers/index.js';
import { createSiteState, type SiteDecoders, type SiteState } from '../createSiteState/index.js';
import { createExchange, type Exchange } from '../exchangeNews/index.js';
import { createStoreFollower, type StoreFollower } from '../followStore/index.js';
import { createRegistration, type Registration } from '../registerNode/index.js';
import { createPlanner, type Planner } from '../runPlanner/index.js';

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
  /** Where log lines go; standard output by default. */
  readonly logStream?: NodeJS.WritableStream;
}

/** A node that runs. */
export interface SiteNode {
  /** Leaves: takes no new callers, ends what is under way, and resolves. */
  readonly leave: () => Promise<void>;
  /** Logs that the settings file has changed. */
  readonly noteReload: () => void;
}

const NODE_KEY_PREFIX = 'nodes/';
/** How long a leaving node serves at least, since callers hold old answers that name it. */
const LEAVING_SERVE_MILLISECONDS = 3_300;
/** How long before the platform ends the process a leaving node ends itself, in milliseconds. */
const LEAVING_MARGIN_MILLISECONDS = 500;
const LEAVING_CHECK_MILLISECONDS = 50;

/** Parts of a node that know each other. */
interface Parts {
  readonly self: NodeRecord;
  readonly now: () => number;
  readonly random: () => number;
  readonly lifeCycle: LifeCycle;
  readonly logger: SiteLogger;
  readonly metrics: RelayMetrics;
  readonly state: SiteState;
  readonly examiner: Examiner;
  readonly exchange: Exchange;
  readonly follower: StoreFollower;
  readonly planner: Planner;
  readonly registration: Registration;
  readonly onLost: (callback: (endpoint: string) => void) => () => void;
}

function createParts(
  options: StartSiteNodeOptions,
  onConfiguration: Parameters<typeof createSiteState>[0]['onConfiguration'],
): Parts {
  const { store, wire, decoders, keys } = options;
  const now = (): number => performance.now();
  const incarnation = Date.now();
  const self: NodeRecord = { ...options.node, incarnation, isLeaving: false };
  const random = createRandom(hashText(`${self.name}/${incarnation}`));
  const logger = createSiteLogger({
    node: self.name,
    availabilityZone: self.availabilityZone,
    now,
    stream: options.logStream,
  });
  const lifeCycle = createLifeCycle();
  const state = createSiteState({ decoders, logger, now, parse: parseJson, onConfiguration });
  const lostCallbacks = new Set<(endpoint: string) => void>();
  const examiner = createExaminer({
    endpoints: state.endpoints,
    wire,
    logger,
    now,
    onLost: (id) => {
      for (const callback of [...lostCallbacks]) callback(id);
      // Others learn of it at once.
      void exchange.step();
    },
  });
  const exchange: Exchange = createExchange({
    self,
    seeds: options.seeds,
    state,
    examiner,
    logger,
    lifeCycle,
    now,
    random,
    getFollower: () => follower,
    getPlanner: () => planner,
  });
  const follower: StoreFollower = createStoreFollower({
    store,
    logger,
    now,
    onItem: (key, value) => {
      const text = value?.toString('utf8');
      if (key.startsWith(keys.endpointPrefix)) {
        state.offerEndpoint(key.slice(keys.endpointPrefix.length), text, 'store');
      } else if (text === undefined) {
        return;
      } else if (key === keys.configuration) {
        state.offerConfiguration(text, 'store');
      } else if (key.startsWith(NODE_KEY_PREFIX)) {
        exchange.peers.introduceValue(parseJson(text));
      }
    },
  });
  const listAlive = (): string[] =>
    exchange.peers
      .listAlive()
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ name }) => name);
  const planner: Planner = createPlanner({
    self: self.name,
    state,
    wire,
    logger,
    now,
    listAlive,
    examiner,
  });
  const registration = createRegistration({
    store,
    key: `${NODE_KEY_PREFIX}${self.name}`,
    getValue: () => JSON.stringify(self),
  });
  lifeCycle.own({ name: 'store connections', close: store.close });
  return {
    self,
    now,
    random,
    lifeCycle,
    logger,
    metrics: createRelayMetrics(),
    state,
    examiner,
    exchange,
    follower,
    planner,
    registration,
    onLost: (callback) => {
      lostCallbacks.add(callback);
      return () => lostCallbacks.delete(callback);
    },
  };
}

function createNodeRelay(
  options: StartSiteNodeOptions,
  parts: Parts,
  getLeaving: () => Leaving | undefined,
): Relay {
  const { self, state, logger, metrics, examiner, now, random, onLost } = parts;
  const budget = createSpendingBudget({
    ratio: options.retryRatio,
    slack: options.retrySlack,
    windowMilliseconds: options.retryWindowMilliseconds,
    // A node that is cut off must not take the others' parts of the budget.
    countNodes: parts.exchange.peers.countKnown,
  });
  return createRelay({
    context: {
      availabilityZone: self.availabilityZone,
      endpoints: state.endpoints,
      wire: options.wire,
      budget,
      logger,
      metrics,
      examiner,
      now,
      random,
      onLost,
    },
    getCompiled: state.getCompiled,
    getLeaving,
  });
}

function startLoops({ lifeCycle, logger, follower, registration, exchange, planner }: Parts): void {
  const onFailure = (error: unknown): void => {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    logger.log('error', 'loop-failed', { reason });
  };
  runLoop({ name: 'store', lifeCycle, step: follower.step, onFailure });
  runLoop({ name: 'registration', lifeCycle, step: registration.step, onFailure });
  runLoop({ name: 'news', lifeCycle, step: exchange.step, onFailure });
  runLoop({ name: 'planner', lifeCycle, step: planner.step, onFailure });
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
  const { questions } = options;
  let leaving: Leaving | undefined;
  const callerServer = createCallerServer((incoming, response) => {
    relay.handle(incoming, response);
  });
  const parts = createParts(options, ({ configuration }) => {
    applyCallerLimits(callerServer, configuration.limits);
  });
  const { self, now, logger, lifeCycle, metrics, state, exchange, registration } = parts;
  const relay: Relay = createNodeRelay(options, parts, () => leaving);
  const isReady = (): boolean => state.getCompiled() !== undefined && leaving === undefined;
  const readinessServer = createServer((incoming, response) => {
    const isAsked = questions.isReadinessPath(incoming.url ?? '');
    if (!isAsked && incoming.url === '/metrics') response.end(metrics.format());
    else response.writeHead(isAsked ? (isReady() ? 200 : 503) : 404).end();
  });
  const directoryServer = createServer((incoming, response) => {
    questions.answerAddresses(exchange.peers.listAlive(), parts.random)(incoming, response);
  });
  await startListeners(lifeCycle, [
    { name: 'peers', server: createPeerServer(exchange.peers.receive), address: self.peerAddress },
    { name: 'directory', server: directoryServer, address: options.directoryAddress },
    { name: 'callers', server: callerServer, address: self.callerAddress },
    { name: 'readiness', server: readinessServer, address: options.readinessAddress },
  ]);
  startLoops(parts);
  logger.log('info', 'started', { incarnation: self.incarnation, address: self.callerAddress });

  return {
    noteReload: () => {
      logger.log('info', 'reloaded', { version: state.getVersion() });
    },
    leave: async () => {
      const startedAt = now();
      const endsAt = startedAt + options.graceMilliseconds - LEAVING_MARGIN_MILLISECONDS;
      const serveEnd = Math.min(endsAt, startedAt + LEAVING_SERVE_MILLISECONDS);
      leaving = { startedAt, endsAt };
      exchange.peers.setLeaving();
      logger.log('info', 'leaving', { open: relay.countOpen() });
      void registration.end();
      while (now() < endsAt && (now() < serveEnd || relay.countOpen() > 0)) {
        await new Promise((resolve) => setTimeout(resolve, LEAVING_CHECK_MILLISECONDS));
      }
      logger.log('info', 'stopped', { open: relay.countOpen() });
      await lifeCycle.close();
    },
  };
}
