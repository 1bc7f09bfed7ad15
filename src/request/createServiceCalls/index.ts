/**
 * Calls to services that are not models.
 */
import type { Endpoint, Fleet } from '../../connection/createFleet/index.js';
import type { EndpointResult, NodeContext } from '../../process/node/createContext/index.js';
import type { Selector } from '../../types/configuration/index.js';
import { matchLabels } from '../../version/matchLabels/index.js';

/** A call to a service, before an endpoint is chosen. */
export interface ServiceCall {
  readonly service: string;
  readonly selector: Selector;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly deadlineAt: number;
  /** True when the call may be sent again although an endpoint may have executed it. */
  readonly isRepeatable: boolean;
}

/** Outcome of a call: a reply, the guarantee that no endpoint executed it, or unknown. */
export type ServiceOutcome =
  | {
      readonly kind: 'reply';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly kind: 'notSent' }
  | { readonly kind: 'unknown' };

/** Service calls of one node. */
export interface ServiceCalls {
  readonly send: (call: ServiceCall, done: (outcome: ServiceOutcome) => void) => void;
  readonly inFlight: () => number;
}

/** Options of {@link createServiceCalls}. */
export interface CreateServiceCallsOptions {
  readonly context: NodeContext;
  readonly fleet: Fleet;
  readonly onLeaving: (endpoint: string) => void;
}

const MAXIMUM_TRIES = 3;
const REFUSAL = /^\{"refused":"([a-z]+)"/;

/** Returns the reason why an endpoint refused a call, or undefined; a refusal guarantees that it was not executed. */
function readRefusal(result: EndpointResult): string | undefined {
  if (result.kind !== 'reply' || result.status !== 503) return undefined;
  return REFUSAL.exec(result.body)?.[1];
}

/**
 * Creates the component of a node that calls services.
 *
 * A call goes to the usable endpoint with the fewest local requests. It is sent to another endpoint
 * only when the first cannot have executed it, or when the call may be repeated.
 *
 * @param options - the node's context and fleet
 * @returns the calls
 * @example
 * createServiceCalls({ context, fleet, onLeaving }).send(call, (outcome) => respond(outcome));
 */
export function createServiceCalls(options: CreateServiceCallsOptions): ServiceCalls {
  const { context, fleet } = options;
  let inFlight = 0;

  const chooseEndpoint = (call: ServiceCall, tried: ReadonlySet<string>): Endpoint | undefined => {
    let chosen: Endpoint | undefined;
    let lowestLoad = Infinity;
    for (const endpoint of fleet.list()) {
      if (endpoint.kind !== 'service' || endpoint.labels.service !== call.service) continue;
      if (tried.has(endpoint.name) || !fleet.isUsable(endpoint, context.now())) continue;
      if (!matchLabels(call.selector.endpoints, endpoint.labels)) continue;
      const load = endpoint.localSequences + context.random();
      if (load >= lowestLoad) continue;
      lowestLoad = load;
      chosen = endpoint;
    }
    return chosen;
  };
  const attempt = (
    call: ServiceCall,
    tried: ReadonlySet<string>,
    wasSent: boolean,
    done: (outcome: ServiceOutcome) => void,
  ): void => {
    const remaining = call.deadlineAt - context.now();
    const endpoint = remaining > 0 ? chooseEndpoint(call, tried) : undefined;
    if (!endpoint || tried.size >= MAXIMUM_TRIES) {
      done({ kind: wasSent ? 'unknown' : 'notSent' });
      return;
    }
    const { name } = endpoint;
    fleet.addLocalSequences(name, 1);
    inFlight += 1;
    const { method, path, headers, body } = call;
    const handleResult = (result: EndpointResult): void => {
      fleet.addLocalSequences(name, -1);
      inFlight -= 1;
      receive(call, name, tried, wasSent, result, done);
    };
    context.callEndpoint(
      {
        address: endpoint.vm.address,
        method,
        path,
        headers,
        body,
        timeoutMilliseconds: remaining,
      },
      handleResult,
    );
  };
  const receive = (
    call: ServiceCall,
    name: string,
    tried: ReadonlySet<string>,
    wasSent: boolean,
    result: EndpointResult,
    done: (outcome: ServiceOutcome) => void,
  ): void => {
    const next = new Set([...tried, name]);
    const refusal = readRefusal(result);
    if (refusal !== undefined) {
      if (refusal === 'leaving') options.onLeaving(name);
      attempt(call, next, wasSent, done);
      return;
    }
    if (result.kind === 'reply') {
      fleet.updateHealth(name, 'success', context.now());
      const { status, contentType, body } = result;
      done({ kind: 'reply', status, contentType, body });
      return;
    }
    fleet.updateHealth(name, 'failure', context.now());
    if (result.sent && !call.isRepeatable) {
      done({ kind: 'unknown' });
      return;
    }
    attempt(call, next, wasSent || result.sent, done);
  };

  return {
    send: (call, done) => {
      attempt(call, new Set(), false, done);
    },
    inFlight: () => inFlight,
  };
}
