/**
 * Start of one node on real sockets.
 */
import { randomBytes } from 'node:crypto';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import type { LinkCost } from '../../../request/buildChainPool/index.js';
import { equalsInConstantTime, readBearerKey } from '../../../request/authorizeCaller/index.js';
import { formatError } from '../../../request/answerError/index.js';
import { createHistograms, type Histograms } from '../../createHistograms/index.js';
import { createLifeCycle, type LifeCycle } from '../../createLifeCycle/index.js';
import { createLogger } from '../../createLogger/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { createNode } from '../../node/createNode/index.js';
import type { LoadedSettings } from '../../settings/readSettings/index.js';
import type { ListenerSettings, Settings } from '../../settings/settingsSchema/index.js';
import { callHttp } from '../callHttp/index.js';
import { createPlatformClient } from '../callPlatform/index.js';
import { createDriver, type Driver, type Performers } from '../createDriver/index.js';
import { createTimers, type Timers } from '../createTimers/index.js';
import { listenHttp } from '../listenHttp/index.js';
import { createEngineRuns, type EngineRuns } from '../runEngines/index.js';
import { createPeerLinks, type PeerLinks } from '../sendPeers/index.js';
import { servePeers } from '../servePeers/index.js';
import { createCallerEvent, createResponder, type Responder } from '../serveCallers/index.js';

/** A node that runs. */
export interface RunningNode {
  readonly name: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly histograms: Histograms;
  /** Asks the node to leave gracefully. */
  readonly leave: () => void;
  /** Closes everything at once, as the death of the process would. */
  readonly kill: () => Promise<void>;
  /** Resolves with the exit code when the node has ended by itself. */
  readonly ended: Promise<number>;
  readonly lifeCycle: LifeCycle;
}

/** Options of {@link startNode}. */
export interface StartNodeOptions extends LoadedSettings {
  /** Seed of the node's random choices; drawn when absent. */
  readonly seed?: number;
}

const OPERATOR_REQUEST_TIMEOUT_MILLISECONDS = 10_000;
const OPERATOR_BODY_BYTES = 8_388_608;

/** Milliseconds since the epoch that never fall while the process lives. */
function readClock(): number {
  return performance.timeOrigin + performance.now();
}

function advertise(listener: ListenerSettings, port: number): string {
  return listener.advertised ?? `${listener.host}:${port.toString()}`;
}

function createLinkTable(settings: Settings): (fromZone: string, toZone: string) => LinkCost {
  const costs = new Map<string, LinkCost>();
  for (const { between, ...cost } of settings.links) {
    const [left = '', right = ''] = between;
    costs.set(`${left}/${right}`, cost);
    costs.set(`${right}/${left}`, cost);
  }
  return (fromZone, toZone) => costs.get(`${fromZone}/${toZone}`) ?? settings.defaultLink;
}

interface Parts {
  readonly callers: Responder;
  readonly operators: Responder;
  readonly engines: EngineRuns;
  readonly peers: PeerLinks;
  readonly timers: Timers;
  readonly histograms: Histograms;
  readonly getDriver: () => Driver;
  readonly log: Performers['log'];
  readonly exit: (code: number) => void;
  readonly platform: ReturnType<typeof createPlatformClient>;
  /** Kept connections for calls that may be repeated. */
  readonly pollAgent: http.Agent;
}

function createPerformers(parts: Parts): Performers {
  const { callers, operators, engines, peers, timers, histograms, platform, getDriver } = parts;
  const answer = (effect: Parameters<Responder['perform']>[0]): void => {
    callers.perform(effect);
    operators.perform(effect);
  };
  return {
    answer,
    streamStart: answer,
    streamData: answer,
    streamEnd: answer,
    run: ({ address, run }) => {
      engines.start(address, run);
    },
    cancelRun: ({ attempt }) => {
      engines.cancel(attempt);
    },
    callEndpoint: ({ call, ...request }) => {
      const agent = request.method === 'GET' ? parts.pollAgent : undefined;
      callHttp({ ...request, ...(agent && { agent }) }, (result) => {
        getDriver().feed(
          result.kind === 'reply'
            ? { ...result, call }
            : { kind: 'callFailed', call, sent: result.sent },
        );
      });
    },
    sendPeer: ({ address, message }) => {
      peers.send(address, message);
    },
    callPlatform: ({ call, platformCall, timeoutMilliseconds }) => {
      platform.call(platformCall, timeoutMilliseconds, (result) => {
        getDriver().feed({ kind: 'platformResult', call, result });
      });
    },
    setTimer: ({ timer, delayMilliseconds }) => {
      timers.set(timer, delayMilliseconds);
    },
    clearTimer: ({ timer }) => {
      timers.clear(timer);
    },
    log: parts.log,
    observe: histograms.observe,
    count: ({ counter }) => {
      histograms.count(counter);
    },
    exit: ({ code }) => {
      parts.exit(code);
    },
  };
}

function guardOperators(
  key: string,
  histograms: Histograms,
  responder: Responder,
): (request: http.IncomingMessage, response: http.ServerResponse) => void {
  const readReport = (path: string | undefined): [string, string] | undefined => {
    if (path === '/metrics') return ['text/plain; version=0.0.4', histograms.formatPrometheus()];
    if (path !== '/v1/histograms') return undefined;
    return ['application/json', JSON.stringify(histograms.summarize())];
  };
  return (request, response) => {
    const presented = readBearerKey(request.headers.authorization);
    if (presented === undefined || !equalsInConstantTime(presented, key)) {
      response.writeHead(401, { 'content-type': 'application/json', connection: 'close' });
      response.end(formatError('unauthorized'));
      return;
    }
    const report = request.method === 'GET' ? readReport(request.url) : undefined;
    if (!report) {
      responder.take(request, response);
      return;
    }
    response.writeHead(200, { 'content-type': report[0] });
    response.end(report[1]);
  };
}

/**
 * Starts a node: listeners first, then the node itself.
 *
 * @param options - settings and secrets
 * @returns the running node; rejects with `ListenError` when an address is in use
 * @example
 * const running = await startNode({ settings, secrets });
 */
export async function startNode(options: StartNodeOptions): Promise<RunningNode> {
  const { settings, secrets } = options;
  const { node: identity } = settings;
  const lifeCycle = createLifeCycle();
  const histograms = createHistograms();
  const logger = createLogger({
    level: settings.logLevel,
    node: identity.name,
    vm: identity.vm,
    availabilityZone: identity.availabilityZone,
  });
  const drivers: Driver[] = [];
  const getDriver = (): Driver => {
    const [driver] = drivers;
    if (!driver) throw new Error('the node has not started yet');
    return driver;
  };
  let end: (code: number) => void = () => undefined;
  const ended = new Promise<number>((resolve) => {
    end = resolve;
  });

  const offer: Driver['offer'] = (event) => drivers[0]?.offer(event) ?? false;
  const callers = createResponder({
    feed: offer,
    maximumBodyBytes: settings.callers.maximumBodyBytes,
    createEvent: createCallerEvent,
  });
  const operators = createResponder({
    feed: offer,
    maximumBodyBytes: OPERATOR_BODY_BYTES,
    createEvent: (identifier, request, body) => ({
      kind: 'operatorRequest',
      request: identifier,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      body,
    }),
    identify: (identifier) => `operator-${identifier}`,
  });
  const timers = createTimers((timer) => {
    getDriver().feed({ kind: 'timerDue', timer });
  });
  const engines = createEngineRuns((event) => {
    getDriver().feed(event);
  });
  const platform = createPlatformClient({
    address: settings.platform.address,
    key: secrets.platformKey,
  });
  const pollAgent = new http.Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 128 });
  lifeCycle.own({
    name: 'poll-agent',
    close: () => {
      pollAgent.destroy();
    },
  });
  lifeCycle.own({ name: 'timers', close: timers.close });
  lifeCycle.own({ name: 'engine-runs', close: engines.close });
  lifeCycle.own({ name: 'platform-client', close: platform.close });
  const peers = createPeerLinks({
    key: secrets.peerKey,
    tls: settings.peers.tls,
    lifeCycle,
    onDropped: () => {
      histograms.count('peer_messages_dropped');
    },
  });
  const ports = await openListeners({ options, lifeCycle, callers, operators, histograms, offer });
  const callerAddress = advertise(settings.callers, ports.callers);
  const peerAddress = advertise(settings.peers, ports.peers);
  const operatorAddress = advertise(settings.operators, ports.operators);
  const incarnation = Math.floor(readClock());
  const node = createNode({
    node: identity.name,
    vm: identity.vm,
    availabilityZone: identity.availabilityZone,
    incarnation,
    seed: options.seed ?? hashText(`${identity.name}/${incarnation.toString()}`),
    secret: randomBytes(32).toString('hex'),
    callerAddress,
    peerAddress,
    seeds: settings.peers.seeds,
    findLink: createLinkTable(settings),
    addressExpirySeconds: settings.addressExpirySeconds,
    drainLimitMilliseconds: settings.drainLimitSeconds * 1_000,
    loadsPerSecond: settings.loadsPerSecond,
  });
  const performers = createPerformers({
    callers,
    operators,
    engines,
    peers,
    timers,
    histograms,
    platform,
    pollAgent,
    getDriver,
    log: ({ level, event, fields }) => {
      logger.log(level, event, fields);
    },
    exit: (code) => {
      void lifeCycle.close().then(() => {
        end(code);
      });
    },
  });
  const driver = createDriver({ node, performers, clock: readClock, lifeCycle });
  drivers.push(driver);
  logger.log('info', 'node-started', { callerAddress, operatorAddress, peerAddress });
  driver.feed({ kind: 'start' });
  return {
    name: identity.name,
    callerAddress,
    operatorAddress,
    histograms,
    leave: () => {
      driver.feed({ kind: 'leave' });
    },
    kill: lifeCycle.close,
    ended,
    lifeCycle,
  };
}

interface OpenListenersOptions {
  readonly options: StartNodeOptions;
  readonly lifeCycle: LifeCycle;
  readonly callers: Responder;
  readonly operators: Responder;
  readonly histograms: Histograms;
  readonly offer: Driver['offer'];
}

interface Ports {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

async function openListeners(parts: OpenListenersOptions): Promise<Ports> {
  const { settings, secrets } = parts.options;
  const { lifeCycle, offer } = parts;
  try {
    const peers = await servePeers({
      listener: settings.peers,
      key: secrets.peerKey,
      lifeCycle,
      feed: (message) => offer({ kind: 'peerMessage', message }),
    });
    const takeOperator = guardOperators(secrets.operatorKey, parts.histograms, parts.operators);
    const operators = await listenHttp({
      name: 'operators',
      listener: settings.operators,
      lifeCycle,
      requestTimeoutMilliseconds: OPERATOR_REQUEST_TIMEOUT_MILLISECONDS,
      onRequest: takeOperator,
    });
    const callers = await listenHttp({
      name: 'callers',
      listener: settings.callers,
      lifeCycle,
      requestTimeoutMilliseconds: settings.callers.bodyTimeoutMilliseconds,
      onRequest: (request, response) => {
        if (request.url === '/metrics') takeOperator(request, response);
        else parts.callers.take(request, response);
      },
    });
    return { callers, operators, peers };
  } catch (error) {
    await lifeCycle.close();
    throw error;
  }
}
