/**
 * Routing of a node's events by kind.
 */
import type { Attempts } from '../../../request/createAttempts/index.js';
import type { ModelRequests } from '../../../request/createModelRequests/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import type { Leaving } from '../../leaving/createLeaving/index.js';
import type { OpenRequests } from '../createOpenRequests/index.js';
import type { ContextControl } from '../createContext/index.js';

type EventHandler<Kind extends NodeEvent['kind']> = (
  event: Extract<NodeEvent, { kind: Kind }>,
) => void;

/** Options of {@link createEventRouter}. */
export interface CreateEventRouterOptions {
  readonly start: () => void;
  readonly control: Pick<ContextControl, 'resumeEndpoint' | 'resumePlatform' | 'resumeTimer'>;
  readonly attempts: Pick<Attempts, 'receiveTokens' | 'receiveEnd' | 'receiveFailure'>;
  readonly modelRequests: Pick<ModelRequests, 'cancel'>;
  readonly openRequests: Pick<OpenRequests, 'add' | 'remove'>;
  readonly leaving: Pick<Leaving, 'begin'>;
  readonly routeCaller: EventHandler<'callerRequest'>;
  readonly routeOperator: EventHandler<'operatorRequest'>;
  readonly routePeer: EventHandler<'peerMessage'>;
}

/**
 * Creates the router of a node's events.
 *
 * @param options - the components that handle events
 * @returns a function that handles each event
 * @example
 * createEventRouter(options)({ kind: 'start' });
 */
export function createEventRouter(options: CreateEventRouterOptions): (event: NodeEvent) => void {
  const { start, control, attempts, modelRequests, openRequests, leaving } = options;
  const { routeCaller, routeOperator, routePeer } = options;
  const handlers: {
    [Kind in NodeEvent['kind']]: (event: Extract<NodeEvent, { kind: Kind }>) => void;
  } = {
    start,
    callerRequest: (event) => {
      openRequests.add(event.request);
      routeCaller(event);
    },
    callerGone: ({ request }) => {
      openRequests.remove(request);
      modelRequests.cancel(request);
    },
    operatorRequest: routeOperator,
    tokens: ({ attempt, lines }) => {
      attempts.receiveTokens(attempt, lines);
    },
    runEnded: ({ attempt }) => {
      attempts.receiveEnd(attempt);
    },
    runFailed: attempts.receiveFailure,
    reply: control.resumeEndpoint,
    callFailed: control.resumeEndpoint,
    peerMessage: routePeer,
    platformResult: ({ call, result }) => {
      control.resumePlatform(call, result);
    },
    timerDue: ({ timer }) => {
      control.resumeTimer(timer);
    },
    leave: () => {
      leaving.begin('signal');
    },
  };
  return (event) => {
    const handler = handlers[event.kind] as (received: NodeEvent) => void;
    handler(event);
  };
}
