/**
 * Implements the port to other nodes on top of the emulated nodes.
 */
import type { SiteCore } from '../../src/process/site/createSiteNode/index.js';
import type {
  CallerResponse,
  EndpointCallHandlers,
  NeighbourPort,
  RequestMetadata,
} from '../../src/types/relay/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Options of {@link createNeighbourPort}. */
export interface CreateNeighbourPortOptions {
  readonly time: VirtualTime;
  /** Returns the running process with an address for other nodes; undefined while the node is down. */
  readonly findCore: (address: string) => SiteCore | undefined;
  /** Returns what a caller sent with an attempt. */
  readonly findMetadata: (attempt: string) => RequestMetadata;
}

/** One-way delay between nodes. */
const NODE_MILLISECONDS = 0.5;
const CONNECT_TIMEOUT_MILLISECONDS = 250;
const REFUSED_STATUS = 503;
const FIRST_FAILURE_STATUS = 500;

/** Creates the response of the other node, which reaches the node that handed the request over after a delay. */
function createResponse(
  attempt: string,
  handlers: EndpointCallHandlers,
  deliver: (action: () => void) => void,
  onDisconnect: (action: () => void) => void,
): CallerResponse {
  let hasBegun = false;
  return {
    isOpen: () => !hasBegun,
    begin: (status, headers) => {
      hasBegun = true;
      const metadata = {
        attempt,
        isFromEndpoint: status < FIRST_FAILURE_STATUS,
        isNotExecuted: status === REFUSED_STATUS,
        isEncoded: false,
        isLeaving: false,
      };
      deliver(() => {
        handlers.onHead({ status, metadata, headers });
      });
    },
    write: (bytes) => {
      deliver(() => {
        handlers.onData(bytes);
      });
    },
    end: () => {
      deliver(() => {
        handlers.onEnd('framing');
      });
    },
    abort: () => {
      deliver(() => {
        handlers.onFailure('sent', 'reset');
      });
    },
    countBufferedBytes: () => 0,
    onceDrained: (action) => {
      action();
    },
    onDisconnect,
  };
}

/**
 * Creates the port of one node to the others.
 *
 * @param options - virtual time, the nodes and the callers
 * @returns the port
 * @example
 * createNeighbourPort(options).send(request, details, handlers);
 */
export function createNeighbourPort(options: CreateNeighbourPortOptions): NeighbourPort {
  const { time, findCore, findMetadata } = options;
  return {
    send: (forwarded, details, handlers) => {
      let isOver = false;
      const disconnectActions: (() => void)[] = [];
      const deliver = (action: () => void): void => {
        time.schedule(NODE_MILLISECONDS, () => {
          if (!isOver) action();
        });
      };
      const { address, attempt, deadlineMilliseconds } = details;
      const response = createResponse(attempt, handlers, deliver, (action) => {
        disconnectActions.push(action);
      });
      const relay = (core: SiteCore): void => {
        const known = findMetadata(attempt);
        const lastEventId = details.lastEventId ?? known.lastEventId;
        const caller = { ...known, deadlineMilliseconds, lastEventId };
        const { url } = forwarded;
        const admission = core.relay.admit({ host: 'desk', url, headerBytes: 0, caller });
        if (admission.kind === 'refused') {
          response.begin(REFUSED_STATUS, []);
          response.end();
          return;
        }
        const admitted = { admitted: admission, caller, forwarded, arrivedAt: time.now() };
        void core.relay.run({ ...admitted, response, handOver: details });
      };
      const core = findCore(address);
      time.schedule(core ? NODE_MILLISECONDS : CONNECT_TIMEOUT_MILLISECONDS, () => {
        if (isOver) return;
        if (core && findCore(address) === core) relay(core);
        else handlers.onFailure('notSent', 'no connection');
      });
      return {
        abort: () => {
          isOver = true;
          for (const disconnect of disconnectActions) disconnect();
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
  };
}
