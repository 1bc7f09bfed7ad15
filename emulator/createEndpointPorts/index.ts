/**
 * The product's port to endpoints, over the emulated fleets.
 */
import type {
  ResponseHead,
  EndpointCall,
  EndpointCallHandlers,
  EndpointPort,
  ForwardedRequest,
  ForwardingDetails,
} from '../../src/types/relay/index.js';
import type { EngineFleet } from '../createEngineFleet/index.js';
import type { PlainFleet } from '../createPlainFleet/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** What the emulator's requests carry in their raw headers. */
export interface VirtualRequest {
  readonly attempt: string;
  readonly promptTokens: number;
  readonly lastEvent: number;
}

/** Options of {@link createEndpointPort}. */
export interface CreateEndpointPortOptions {
  readonly time: VirtualTime;
  readonly engines: EngineFleet;
  readonly plain: PlainFleet;
  /** Finds what a caller sent, by its attempt. */
  readonly findRequest: (attempt: string) => VirtualRequest;
  /** False once the node that owns the port has ended. */
  readonly isAlive: () => boolean;
  readonly availabilityZone: string;
  readonly zoneMilliseconds: number;
}

/** Counts of one node's questions and orders to endpoints. */
export interface PortCounts {
  reports: number;
  orders: number;
  moves: number;
}

const NEAR_MILLISECONDS = 0.2;
const CONNECT_TIMEOUT_MILLISECONDS = 250;
const REPORT_TIMEOUT_MILLISECONDS = 200;

function createHead(
  status: number,
  attempt: string,
  metadata: Partial<ResponseHead['metadata']>,
): ResponseHead {
  const defaults = {
    attempt,
    isFromEndpoint: true,
    isNotExecuted: false,
    isEncoded: false,
    isLeaving: false,
  };
  return { status, metadata: { ...defaults, ...metadata }, headers: [] };
}

/**
 * Creates the port of one node.
 *
 * @param options - the time, the fleets and the node's place
 * @returns the port, and counts of what went through it
 * @example
 * createEndpointPort(options).port.fetchReport('engine:a100-0-0');
 */
export function createEndpointPort(options: CreateEndpointPortOptions): {
  readonly port: EndpointPort;
  readonly counts: PortCounts;
  /** Ends all calls, as the end of the node's process does. */
  readonly closeAll: () => void;
} {
  const { time, engines, plain, findRequest, isAlive } = options;
  const counts: PortCounts = { reports: 0, orders: 0, moves: 0 };
  const open = new Set<() => void>();
  const countDelay = (zone: string | undefined): number =>
    zone === options.availabilityZone ? NEAR_MILLISECONDS : options.zoneMilliseconds;

  const callPlain = (
    attempt: string,
    { address }: ForwardingDetails,
    handlers: EndpointCallHandlers,
    isOpen: () => boolean,
  ): void => {
    time.schedule(NEAR_MILLISECONDS, () => {
      plain.call(address, attempt, (answer) => {
        if (!isOpen()) return;
        time.touch();
        if (!answer) {
          handlers.onFailure('sent', 'reset');
          return;
        }
        const { status, ...metadata } = answer;
        handlers.onHead(createHead(status, attempt, metadata));
        handlers.onEnd();
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
    const delay = countDelay(engine?.availabilityZone);
    const begunEvent = forwarding.lastEventId ?? 0;
    let cancel: (() => void) | undefined;
    let hasHead = false;
    const later = (action: () => void): void => {
      time.schedule(delay, () => {
        if (isOpen()) action();
      });
    };
    const refuse = (failedAddress: string | undefined): void => {
      later(() => {
        handlers.onHead(createHead(503, attempt, { isNotExecuted: true, failedAddress }));
        handlers.onEnd();
      });
    };
    const begin = (): void => {
      if (!isOpen()) return;
      if (!engine || engine.isDown) {
        const wait = engine?.isDark ? CONNECT_TIMEOUT_MILLISECONDS : delay;
        time.schedule(wait, () => {
          if (isOpen()) handlers.onFailure('notSent', 'no connection');
        });
        return;
      }
      const begun = engines.begin({
        attempt,
        path: forwarding.path ?? [],
        promptTokens: promptTokens + begunEvent,
        begunEvent,
        lastEvent,
        onEvent: (event) => {
          later(() => {
            if (!hasHead) handlers.onHead(createHead(200, attempt, {}));
            hasHead = true;
            handlers.onData(Buffer.from(`id: ${event}\ndata: x\n\n`));
          });
        },
        onEnd: (end, faulty) => {
          if (end === 'notRun') refuse(faulty?.address);
          else if (end === 'whole') later(handlers.onEnd);
          else {
            later(() => {
              handlers.onFailure('sent', 'reset');
            });
          }
        },
      });
      if (typeof begun === 'function') cancel = begun;
      else refuse(begun.faulty?.address);
    };
    time.schedule(delay, begin);
    return () => cancel?.();
  };
  const send = (
    _: ForwardedRequest,
    forwarding: ForwardingDetails,
    handlers: EndpointCallHandlers,
    attempt: string,
  ): EndpointCall => {
    let isAborted = false;
    const isOpen = (): boolean => !isAborted && isAlive();
    let cancel: () => void = () => undefined;
    if (plain.owns(forwarding.address)) callPlain(attempt, forwarding, handlers, isOpen);
    else cancel = callEngine(attempt, forwarding, handlers, isOpen);
    const abort = (): void => {
      isAborted = true;
      open.delete(abort);
      cancel();
    };
    open.add(abort);
    return {
      abort,
      pause: () => undefined,
      resume: () => undefined,
    };
  };

  const port: EndpointPort = {
    send: (request, forwarding, handlers) =>
      send(request, forwarding, handlers, request.rawHeaders[1] ?? ''),
    fetchReport: (address) => {
      counts.reports += 1;
      const engine = engines.find(address);
      if (!engine || engine.isDown) {
        const wait = engine?.isDark ? REPORT_TIMEOUT_MILLISECONDS : NEAR_MILLISECONDS;
        return time.delay(wait, undefined);
      }
      const report = engines.report(engine);
      return time.delay(2 * countDelay(engine.availabilityZone), report);
    },
    sendOrder: async (order) => {
      counts.orders += 1;
      await time.delay(NEAR_MILLISECONDS, undefined);
      const outcome = engines.order(order);
      return time.delay(NEAR_MILLISECONDS, outcome);
    },
    movePath: async (attempt, path) => {
      counts.moves += 1;
      await time.delay(NEAR_MILLISECONDS, undefined);
      const outcome = engines.move(attempt, path);
      return time.delay(NEAR_MILLISECONDS, outcome);
    },
  };
  const closeAll = (): void => {
    for (const abort of [...open]) abort();
  };
  return { port, counts, closeAll };
}
