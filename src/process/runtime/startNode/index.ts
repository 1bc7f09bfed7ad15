/**
 * Start of one node with its sockets.
 */
import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { deriveCallerLimits } from '../../../connection/deriveCallerLimits/index.js';
import { createHistograms, type Histograms } from '../../createHistograms/index.js';
import { createLifeCycle, type LifeCycle } from '../../createLifeCycle/index.js';
import { createLogger } from '../../createLogger/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { createNode } from '../../node/createNode/index.js';
import type { LoadedSettings } from '../../settings/readSettings/index.js';
import type { ListenerSettings } from '../../settings/settingsSchema/index.js';
import { createPlatformClient } from '../createPlatformClient/index.js';
import { createDriver, type Driver } from '../createDriver/index.js';
import { createLinkTable } from '../createLinkTable/index.js';
import { createEffectHandlers } from '../createEffectHandlers/index.js';
import { createTimers } from '../createTimers/index.js';
import { openListeners } from '../openListeners/index.js';
import { createEngineRuns } from '../createEngineRuns/index.js';
import { createPeerLinks } from '../createPeerLinks/index.js';
import { readProcessResources } from '../readProcessResources/index.js';
import { createCallerEvent, createResponder } from '../createResponder/index.js';

/** A running node. */
export interface RunningNode {
  readonly name: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly histograms: Histograms;
  /** Starts a graceful shutdown of the node. */
  readonly leave: () => void;
  /** Logs a signal that has no effect. */
  readonly logIgnoredSignal: (signal: string) => void;
  /** Closes everything immediately, like a crash of the process. */
  readonly kill: () => Promise<void>;
  /** Resolves with the exit code when the node has exited by itself. */
  readonly ended: Promise<number>;
  readonly lifeCycle: LifeCycle;
}

/** Options of {@link startNode}. */
export interface StartNodeOptions extends LoadedSettings {
  /** Seed of the node's random choices; derived from its name and incarnation when absent. */
  readonly seed?: number;
}

const MAXIMUM_OPERATOR_BODY_BYTES = 8_388_608;

/** Returns milliseconds since the epoch from a clock that is monotonic within the process. */
function readClock(): number {
  return performance.timeOrigin + performance.now();
}

function getAdvertisedAddress(listener: ListenerSettings, port: number): string {
  return listener.advertised ?? `${listener.host}:${port.toString()}`;
}

/**
 * Starts a node: first its listeners, then the node itself.
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
    if (!driver) throw new Error('the driver is not available before the node has started');
    return driver;
  };
  let resolveEnded: (code: number) => void = () => undefined;
  const ended = new Promise<number>((resolve) => {
    resolveEnded = resolve;
  });

  const offer: Driver['offer'] = (event) => drivers[0]?.offer(event) ?? false;
  const limits = deriveCallerLimits(readProcessResources(), settings.callers.limits);
  const callers = createResponder({
    feed: offer,
    maximumBodyBytes: settings.callers.maximumBodyBytes,
    maximumBodyChunks: limits.bodyChunks,
    createEvent: createCallerEvent,
  });
  const operators = createResponder({
    feed: offer,
    maximumBodyBytes: MAXIMUM_OPERATOR_BODY_BYTES,
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
  const ports = await openListeners({
    options,
    lifeCycle,
    callers,
    operators,
    histograms,
    offer,
    limits,
    onLimit: ({ cause }) => {
      histograms.count(`caller_limits_${cause}`);
    },
  });
  const callerAddress = getAdvertisedAddress(settings.callers, ports.callers);
  const peerAddress = getAdvertisedAddress(settings.peers, ports.peers);
  const operatorAddress = getAdvertisedAddress(settings.operators, ports.operators);
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
  const effectHandlers = createEffectHandlers({
    callers,
    operators,
    engines,
    peers,
    timers,
    histograms,
    platform,
    getDriver,
    log: ({ level, event, fields }) => {
      logger.log(level, event, fields);
    },
    exit: (code) => {
      void lifeCycle.close().then(() => {
        resolveEnded(code);
      });
    },
  });
  const driver = createDriver({ node, effectHandlers, clock: readClock, lifeCycle });
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
    logIgnoredSignal: (signal) => {
      logger.log('info', 'signal-ignored', { signal });
    },
    kill: lifeCycle.close,
    ended,
    lifeCycle,
  };
}
