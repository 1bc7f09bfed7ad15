/**
 * Handlers that execute the effects of a node.
 */
import type { Histograms } from '../../createHistograms/index.js';
import { callHttp } from '../callHttp/index.js';
import type { createPlatformClient } from '../createPlatformClient/index.js';
import type { Driver, EffectHandlers } from '../createDriver/index.js';
import type { Timers } from '../createTimers/index.js';
import type { EngineRuns } from '../createEngineRuns/index.js';
import type { PeerLinks } from '../createPeerLinks/index.js';
import type { Responder } from '../createResponder/index.js';

/** Options of {@link createEffectHandlers}. */
export interface CreateEffectHandlersOptions {
  readonly callers: Responder;
  readonly operators: Responder;
  readonly engines: EngineRuns;
  readonly peers: PeerLinks;
  readonly timers: Timers;
  readonly histograms: Histograms;
  readonly getDriver: () => Driver;
  readonly log: EffectHandlers['log'];
  readonly exit: (code: number) => void;
  readonly platform: ReturnType<typeof createPlatformClient>;
}

/**
 * Creates the handlers of a node's effects.
 *
 * @param parts - sockets, timers and metrics of the process
 * @returns a handler for each kind of effect
 * @example
 * createDriver({ node, effectHandlers: createEffectHandlers(parts), clock, lifeCycle });
 */
export function createEffectHandlers(parts: CreateEffectHandlersOptions): EffectHandlers {
  const { callers, operators, engines, peers, timers, histograms, platform, getDriver } = parts;
  const respond = (effect: Parameters<Responder['handleEffect']>[0]): void => {
    callers.handleEffect(effect);
    operators.handleEffect(effect);
  };
  return {
    answer: respond,
    streamStart: respond,
    streamData: respond,
    streamEnd: respond,
    run: ({ address, run }) => {
      engines.start(address, run);
    },
    cancelRun: ({ attempt }) => {
      engines.cancel(attempt);
    },
    callEndpoint: ({ call, ...request }) => {
      // On a connection that is used again, a late response would be taken for that of this call.
      callHttp(request, (result) => {
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
