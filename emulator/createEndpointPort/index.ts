/**
 * Implements the router's endpoint port on top of the emulated fleets.
 */
import type {
  ResponseHead,
  EndpointCall,
  EndpointCallHandlers,
  EndpointPort,
  ForwardedRequest,
  ForwardingDetails,
  ResponseEnd,
} from '../../src/types/relay/index.js';
import type { EngineFleet } from '../createEngineFleet/index.js';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import type { PlainFleet } from '../createPlainFleet/index.js';
import type { VirtualLimits } from '../createVirtualLimits/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Attributes of an emulated request; the port looks them up by the attempt in its raw headers. */
export interface VirtualRequest {
  readonly attempt: string;
  readonly promptTokens: number;
  /** Number of the last event of the answer. */
  readonly lastEvent: number;
}

/**
 * How streams end: by their framing, or with their connection; `trusted` where the node takes that end for framing.
 */
export type StreamEndKind = 'framed' | 'unframed' | 'trusted';

/** Ends that the node observes. */
const RESPONSE_ENDS: Readonly<Record<StreamEndKind, ResponseEnd>> = {
  framed: 'framing',
  unframed: 'connection',
  trusted: 'framing',
};

/** Options of {@link createEndpointPort}. */
export interface CreateEndpointPortOptions {
  readonly time: VirtualTime;
  readonly engines: EngineFleet;
  readonly plain: PlainFleet;
  readonly limits: Pick<VirtualLimits, 'find' | 'recordRequest'>;
  /** Returns the request that a caller sent with an attempt. */
  readonly findRequest: (attempt: string) => VirtualRequest;
  /** Returns false after the process of the port's node has ended. */
  readonly isAlive: () => boolean;
  /** Returns how the node's links are cut now; undefined while they are sound. */
  readonly getCut: () => LinkCut | undefined;
  /** How streams end. */
  readonly streamEnd: StreamEndKind;
  /** Availability zone of the node. */
  readonly availabilityZone: string;
  /** Delay to endpoints in other availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
}

/** How a node's links to endpoints are cut: nothing answers, connections are reset, or only new ones are refused. */
export type LinkCut = 'hang' | 'reset' | 'refuse';

/** Numbers of report requests, layer orders and path moves that one node sent to endpoints. */
export interface PortCounts {
  reports: number;
  orders: number;
  moves: number;
}

/** One-way delay to an endpoint in the node's availability zone. */
const LOCAL_ZONE_MILLISECONDS = 0.2;
const CONNECT_TIMEOUT_MILLISECONDS = 250;
const REPORT_TIMEOUT_MILLISECONDS = 200;

const DEFAULT_METADATA = {
  isFromEndpoint: true,
  isNotExecuted: false,
  isEncoded: false,
  isLeaving: false,
} as const;

/**
 * Creates the endpoint port of one node.
 *
 * @param options - virtual time, fleets, and the node's availability zone
 * @returns the port, and counts of its calls
 * @example
 * createEndpointPort(options).port.fetchReport('engine:a100-0-0');
 */
export function createEndpointPort(options: CreateEndpointPortOptions): {
  readonly port: EndpointPort;
  readonly counts: PortCounts;
  /** Aborts all calls, as the end of the node's process does. */
  readonly closeAll: () => void;
  /** Resets all open calls. */
  readonly resetAll: () => void;
} {
  const { time, engines, plain, limits, findRequest, isAlive, getCut } = options;
  const counts: PortCounts = { reports: 0, orders: 0, moves: 0 };
  const openCalls = new Map<() => void, EndpointCallHandlers>();
  const computeDelay = (zone: string | undefined): number =>
    zone === options.availabilityZone ? LOCAL_ZONE_MILLISECONDS : options.zoneMilliseconds;

  const createHead = (
    address: string,
    status: number,
    attempt: string,
    metadata: Partial<ResponseHead['metadata']>,
  ): ResponseHead => {
    const rateLimit = { requestsPerSecond: limits.find(address) };
    return {
      status,
      metadata: { ...DEFAULT_METADATA, attempt, rateLimit, ...metadata },
      headers: [],
    };
  };

  const callPlain = (
    attempt: string,
    { address }: ForwardingDetails,
    handlers: EndpointCallHandlers,
    isOpen: () => boolean,
  ): void => {
    time.schedule(LOCAL_ZONE_MILLISECONDS, () => {
      limits.recordRequest(address);
      plain.call(address, attempt, (response) => {
        if (!isOpen()) return;
        time.requestFlush();
        if (!response) {
          handlers.onFailure('sent', 'reset');
          return;
        }
        const { status, ...metadata } = response;
        handlers.onHead(createHead(address, status, attempt, metadata));
        handlers.onEnd('framing');
      });
    });
  };
  const callEngine = (
    attempt: string,
    forwarding: ForwardingDetails,
    handlers: EndpointCallHandlers,
    isOpen: () => boolean,
  ): (() => void) => {
    const { promptTokens, lastEvent } = findRequest(attempt);
    const engine = engines.find(forwarding.address);
    const delay = computeDelay(engine?.availabilityZone);
    const receivedEvent = forwarding.lastEventId ?? 0;
    let cancel: (() => void) | undefined;
    let hasHead = false;
    /** Returns whether the connection of a broken stream ends as that of a complete one does. */
    const looksEnded = (failedEngine: VirtualEngine | undefined): boolean =>
      options.streamEnd !== 'framed' && hasHead && failedEngine === engine;
    const afterDelay = (action: () => void): void => {
      time.schedule(delay, () => {
        if (isOpen()) action();
      });
    };
    const refuse = (failedAddress: string | undefined): void => {
      afterDelay(() => {
        const metadata = { isNotExecuted: true, failedAddress };
        handlers.onHead(createHead(forwarding.address, 503, attempt, metadata));
        handlers.onEnd('framing');
      });
    };
    const connect = (): void => {
      if (!isOpen()) return;
      if (!engine || engine.isDown) {
        const wait = engine?.isUnresponsive ? CONNECT_TIMEOUT_MILLISECONDS : delay;
        time.schedule(wait, () => {
          if (isOpen()) handlers.onFailure('notSent', 'no connection');
        });
        return;
      }
      limits.recordRequest(forwarding.address);
      const started = engines.startRun({
        attempt,
        path: forwarding.path ?? [],
        promptTokens: promptTokens + receivedEvent,
        receivedEvent,
        lastEvent,
        onEvent: (event) => {
          afterDelay(() => {
            if (!hasHead) handlers.onHead(createHead(forwarding.address, 200, attempt, {}));
            hasHead = true;
            handlers.onData(Buffer.from(`id: ${event}\ndata: x\n\n`));
          });
        },
        onEnd: (end, failedEngine) => {
          if (end === 'notRun') refuse(failedEngine?.address);
          else if (end === 'whole' || looksEnded(failedEngine)) {
            afterDelay(() => {
              handlers.onEnd(RESPONSE_ENDS[options.streamEnd]);
            });
          } else {
            afterDelay(() => {
              handlers.onFailure('sent', 'reset');
            });
          }
        },
      });
      if (typeof started === 'function') cancel = started;
      else refuse(started.failedEngine?.address);
    };
    time.schedule(delay, connect);
    return () => cancel?.();
  };
  const send = (
    _: ForwardedRequest,
    forwarding: ForwardingDetails,
    handlers: EndpointCallHandlers,
    attempt: string,
  ): EndpointCall => {
    let isAborted = false;
    // What is sent over a link that hangs is lost, so that its call stays open until it is given up.
    const isOpen = (): boolean => !isAborted && isAlive() && getCut() !== 'hang';
    let cancel: () => void = () => undefined;
    if (plain.owns(forwarding.address)) callPlain(attempt, forwarding, handlers, isOpen);
    else cancel = callEngine(attempt, forwarding, handlers, isOpen);
    const abort = (): void => {
      isAborted = true;
      openCalls.delete(abort);
      cancel();
    };
    openCalls.set(abort, handlers);
    return {
      abort,
      pause: () => undefined,
      resume: () => undefined,
    };
  };

  const failToConnect = (cut: LinkCut, handlers: EndpointCallHandlers): EndpointCall => {
    const milliseconds = cut === 'hang' ? CONNECT_TIMEOUT_MILLISECONDS : LOCAL_ZONE_MILLISECONDS;
    const cancel = time.schedule(milliseconds, () => {
      if (isAlive()) handlers.onFailure('notSent', 'no connection');
    });
    return { abort: cancel, pause: () => undefined, resume: () => undefined };
  };
  const computeCutDelay = (): number =>
    getCut() === 'hang' ? REPORT_TIMEOUT_MILLISECONDS : LOCAL_ZONE_MILLISECONDS;

  const port: EndpointPort = {
    send: (request, forwarding, handlers) => {
      const cut = getCut();
      if (cut) return failToConnect(cut, handlers);
      return send(request, forwarding, handlers, request.rawHeaders[1] ?? '');
    },
    isListening: (address) => {
      if (getCut()) return time.delay(computeCutDelay(), false);
      const engine = engines.find(address);
      const isListening = plain.owns(address) || (engine !== undefined && !engine.isDown);
      return time.delay(LOCAL_ZONE_MILLISECONDS, isListening);
    },
    fetchReport: (address) => {
      counts.reports += 1;
      if (getCut()) return time.delay(computeCutDelay(), undefined);
      const engine = engines.find(address);
      if (!engine || engine.isDown) {
        const wait = engine?.isUnresponsive ? REPORT_TIMEOUT_MILLISECONDS : LOCAL_ZONE_MILLISECONDS;
        return time.delay(wait, undefined);
      }
      const report = { ...engines.createReport(engine), requestsPerSecond: limits.find(address) };
      return time.delay(2 * computeDelay(engine.availabilityZone), report);
    },
    sendOrder: async (order) => {
      counts.orders += 1;
      await time.delay(LOCAL_ZONE_MILLISECONDS, undefined);
      if (getCut()) return 'refused';
      const outcome = engines.applyOrder(order);
      return time.delay(LOCAL_ZONE_MILLISECONDS, outcome);
    },
    movePath: async (attempt, path) => {
      counts.moves += 1;
      await time.delay(LOCAL_ZONE_MILLISECONDS, undefined);
      if (getCut()) return 'unknown';
      const outcome = engines.movePath(attempt, path);
      return time.delay(LOCAL_ZONE_MILLISECONDS, outcome);
    },
  };
  const closeAll = (): void => {
    for (const abort of [...openCalls.keys()]) abort();
  };
  const resetAll = (): void => {
    for (const [abort, handlers] of [...openCalls]) {
      abort();
      handlers.onFailure('sent', 'reset');
    }
  };
  return { port, counts, closeAll, resetAll };
}
