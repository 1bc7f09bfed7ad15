/**
 * Port to endpoints whose links can be cut, as those of one node.
 */
import type {
  EndpointCall,
  EndpointCallHandlers,
  EndpointPort,
} from '../../../src/types/relay/index.js';

/** How links are cut: nothing answers; connections are reset; new ones are refused and open ones live on. */
export type CutKind = 'hang' | 'reset' | 'refuse';

/** Cut of a node's links. */
export interface LinkCut {
  /** Cuts the links to some addresses, all by default. */
  readonly begin: (kind: CutKind, isCut?: (address: string) => boolean) => void;
  readonly end: () => void;
  /** Wraps the port of the node. */
  readonly wrap: (port: EndpointPort) => EndpointPort;
}

const CONNECT_MILLISECONDS = 250;
const REPORT_MILLISECONDS = 200;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Creates the links of one node, which are sound at first. */
export function createLinkCut(): LinkCut {
  let current: { readonly kind: CutKind; readonly isCut: (address: string) => boolean } | undefined;
  let endings: (() => void)[] = [];
  const openCalls = new Set<{ readonly address: string; readonly reset: () => void }>();
  const findCut = (address: string): CutKind | undefined =>
    current?.isCut(address) === true ? current.kind : undefined;

  /** Fails a call that has to connect first. */
  const failCall = (kind: CutKind, handlers: EndpointCallHandlers): EndpointCall => {
    const milliseconds = kind === 'hang' ? CONNECT_MILLISECONDS : 0;
    const timer = setTimeout(() => {
      handlers.onFailure('notSent', kind === 'hang' ? 'no connection' : `connection ${kind}`);
    }, milliseconds);
    return {
      abort: () => {
        clearTimeout(timer);
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  };
  /** Opens a call whose response is held back while its link hangs, and that a reset ends. */
  const openCall = (
    address: string,
    handlers: EndpointCallHandlers,
    send: (handlers: EndpointCallHandlers) => EndpointCall,
  ): EndpointCall => {
    let isOver = false;
    const deliver = (action: () => void): void => {
      if (isOver) return;
      if (findCut(address) === 'hang')
        endings.push(() => {
          deliver(action);
        });
      else action();
    };
    const end = (): void => {
      isOver = true;
      openCalls.delete(open);
    };
    const call = send({
      onHead: (head) => {
        deliver(() => {
          handlers.onHead(head);
        });
      },
      onData: (chunk) => {
        deliver(() => {
          handlers.onData(chunk);
        });
      },
      onEnd: (how, livenessCheck) => {
        deliver(() => {
          end();
          handlers.onEnd(how, livenessCheck);
        });
      },
      onFailure: (state, reason) => {
        deliver(() => {
          end();
          handlers.onFailure(state, reason);
        });
      },
    });
    const open = {
      address,
      reset: () => {
        call.abort();
        end();
        handlers.onFailure('sent', 'read ECONNRESET');
      },
    };
    openCalls.add(open);
    return {
      ...call,
      abort: () => {
        end();
        call.abort();
      },
    };
  };
  /** Calls an endpoint, or resolves to the result of a call that gets no answer. */
  const callUnlessCut = async <Result>(
    address: string,
    lost: Result,
    call: () => Promise<Result>,
  ): Promise<Result> => {
    const kind = findCut(address);
    if (!kind) return call();
    if (kind === 'hang') await sleep(REPORT_MILLISECONDS);
    return lost;
  };

  return {
    begin: (kind, isCut = () => true) => {
      current = { kind, isCut };
      if (kind !== 'reset') return;
      for (const call of [...openCalls]) if (isCut(call.address)) call.reset();
    },
    end: () => {
      current = undefined;
      const held = endings;
      endings = [];
      for (const deliver of held) deliver();
    },
    wrap: (port) => ({
      send: (request, forwarding, handlers) => {
        const kind = findCut(forwarding.address);
        if (kind) return failCall(kind, handlers);
        return openCall(forwarding.address, handlers, (wrapped) =>
          port.send(request, forwarding, wrapped),
        );
      },
      isListening: (address) => callUnlessCut(address, false, () => port.isListening(address)),
      fetchReport: (address, limit) =>
        callUnlessCut(address, undefined, () => port.fetchReport(address, limit)),
      sendOrder: (order) => callUnlessCut(order.address, 'refused', () => port.sendOrder(order)),
      movePath: (attempt, path) =>
        callUnlessCut(path[0]?.address ?? '', 'unknown', () => port.movePath(attempt, path)),
    }),
  };
}
