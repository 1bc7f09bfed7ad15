/**
 * Routing of callers' requests by method and path.
 */
import {
  createErrorResponse,
  createJsonResponse,
} from '../../../request/createErrorResponse/index.js';
import { authorizeCaller } from '../../../request/authorizeCaller/index.js';
import type { Bookings } from '../../../request/createBookings/index.js';
import { nameJournalKey, type Journal } from '../../../request/createJournal/index.js';
import type { ModelRequests } from '../../../request/createModelRequests/index.js';
import type { RateLimiter } from '../../../request/createRateLimiter/index.js';
import type { ServiceCalls } from '../../../request/createServiceCalls/index.js';
import type { Tickets } from '../../../request/createTickets/index.js';
import { readJournalRecord } from '../../../request/decideIntent/index.js';
import { listAddresses } from '../../../request/listAddresses/index.js';
import { readCompletion, type CompletionForm } from '../../../request/readCompletion/index.js';
import type {
  Account,
  CompiledConfiguration,
} from '../../../version/compileConfiguration/index.js';
import type { Membership } from '../../membership/createMembership/index.js';
import type { PeerRequests } from '../createPeerRequests/index.js';
import {
  createServiceHandler,
  readEarlyOutcome,
  SERVICE_PATH,
  type AdmittedRequest,
  type CallerRequestEvent,
} from '../createServiceHandler/index.js';
import type { NodeContext } from '../createContext/index.js';

/** Options of {@link createCallerRouter}. */
export interface CreateCallerRouterOptions {
  readonly context: NodeContext;
  readonly getVersion: () => CompiledConfiguration;
  readonly membership: Membership;
  readonly limiter: RateLimiter;
  readonly modelRequests: ModelRequests;
  readonly bookings: Bookings;
  readonly services: ServiceCalls;
  readonly journal: Journal;
  readonly tickets: Tickets;
  readonly peerRequests: PeerRequests;
  readonly isLeaving: () => boolean;
  /** Returns whether the node exits before a request that is admitted now can end. */
  readonly isExiting: () => boolean;
  readonly addressExpirySeconds: number;
}

type Handler = (admitted: AdmittedRequest) => void;

interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly isLimited: boolean;
  readonly handle: Handler;
}

const MAXIMUM_TICKETS = 100;
/** Delay after which callers may repeat a request that an exiting node refused, in milliseconds. */
const EXITING_RETRY_MILLISECONDS = 1_000;

/**
 * Creates the router of callers' requests.
 *
 * @param options - the components that serve callers
 * @returns a function that handles each request
 * @example
 * const route = createCallerRouter(options);
 * route(event);
 */
export function createCallerRouter(
  options: CreateCallerRouterOptions,
): (event: CallerRequestEvent) => void {
  const { context, membership } = options;
  const callService = createServiceHandler(options);

  const sendAddresses: Handler = ({ event, account, version }) => {
    const addresses = listAddresses({
      account: account.name,
      homeNodes: account.homeNodes,
      members: membership.list(),
      availabilityZone: event.headers['x-availability-zone'] ?? membership.self().availabilityZone,
      revision: version.revision,
      expiresInSeconds: options.addressExpirySeconds,
    });
    context.emit(createJsonResponse(event.request, 200, addresses));
  };
  const handleCompletion =
    (form: CompletionForm): Handler =>
    ({ event, account, version }) => {
      const { request, body, headers } = event;
      const completion = readCompletion({
        form,
        body,
        lastEventId: headers['last-event-id'],
        deadline: headers['x-deadline-milliseconds'],
      });
      if (completion.isErr) {
        context.emit(
          createErrorResponse({ request, code: 'malformedRequest', message: completion.error }),
        );
        return;
      }
      options.modelRequests.start({ request, account, version, completion: completion.value });
    };
  const mintTickets: Handler = ({ event, account }) => {
    const count = Number(/"count"\s*:\s*(\d{1,4})/.exec(event.body)?.[1] ?? 1);
    const tickets = options.tickets.mint(account.name, Math.min(count, MAXIMUM_TICKETS));
    context.emit(createJsonResponse(event.request, 200, { tickets }));
  };
  const sendOutcome: Handler = ({ event, account }) => {
    const key = decodeURIComponent(event.path.slice('/v1/outcomes/'.length));
    options.journal.read(nameJournalKey(account.name, key), (result) => {
      const { request } = event;
      if (result.kind !== 'entry') {
        context.emit(createErrorResponse({ request, code: 'storeUnavailable' }));
        return;
      }
      const record = result.entry ? readJournalRecord(result.entry.value) : undefined;
      if (!record) {
        context.emit(
          createErrorResponse({ request, code: 'notFound', message: 'no call has this key' }),
        );
        return;
      }
      const { state, status, body } = record;
      context.emit(createJsonResponse(request, 200, { state, status, body }));
    });
  };
  const ROUTES: readonly Route[] = [
    {
      method: 'POST',
      pattern: /^\/v1\/completions$/,
      isLimited: true,
      handle: handleCompletion('completion'),
    },
    {
      method: 'POST',
      pattern: /^\/v1\/chat\/completions$/,
      isLimited: true,
      handle: handleCompletion('chat'),
    },
    { method: 'GET', pattern: /^\/v1\/addresses$/, isLimited: false, handle: sendAddresses },
    { method: 'POST', pattern: /^\/v1\/tickets$/, isLimited: true, handle: mintTickets },
    { method: 'GET', pattern: /^\/v1\/outcomes\/.+$/, isLimited: true, handle: sendOutcome },
    { method: '', pattern: SERVICE_PATH, isLimited: true, handle: callService },
  ];
  const handleHealthCheck = (event: CallerRequestEvent): boolean => {
    if (event.path === '/health') {
      context.emit(createJsonResponse(event.request, 200, { status: 'alive' }));
      return true;
    }
    if (event.path !== '/ready') return false;
    const isReady = options.getVersion().revision > 0 && !options.isLeaving();
    context.emit(createJsonResponse(event.request, isReady ? 200 : 503, { ready: isReady }));
    return true;
  };
  const findRoute = (event: CallerRequestEvent): Route | undefined => {
    const { request, path, method } = event;
    const matching = ROUTES.filter(({ pattern }) => pattern.test(path));
    const route = matching.find((entry) => entry.method === '' || entry.method === method);
    if (route) return route;
    const code = matching.length === 0 ? 'notFound' : 'methodNotAllowed';
    context.emit(createErrorResponse({ request, code }));
    return undefined;
  };
  const isWithinLimit = (event: CallerRequestEvent, account: Account): boolean => {
    const retryAfterMilliseconds = options.limiter.admit({
      account: account.name,
      limit: account.requestsPerSecond,
      homeNodes: account.homeNodes,
      now: context.now(),
    });
    if (retryAfterMilliseconds === 0) return true;
    context.count('requests_rateLimited');
    const { request } = event;
    const outcome = readEarlyOutcome(event);
    context.emit(
      createErrorResponse({ request, code: 'rateLimited', outcome, retryAfterMilliseconds }),
    );
    return false;
  };
  const refuseAtExit = (event: CallerRequestEvent): void => {
    context.count('requests_leaving');
    context.emit(
      createErrorResponse({
        request: event.request,
        code: 'leaving',
        outcome: readEarlyOutcome(event),
        retryAfterMilliseconds: EXITING_RETRY_MILLISECONDS,
      }),
    );
  };

  return (event) => {
    const { request } = event;
    if (handleHealthCheck(event)) return;
    const route = findRoute(event);
    if (!route) return;
    const outcome = readEarlyOutcome(event);
    const version = options.getVersion();
    if (version.revision === 0) {
      const message = 'this node has no configuration yet';
      const retryAfterMilliseconds = 1_000;
      context.emit(
        createErrorResponse({
          request,
          code: 'noEndpoint',
          message,
          outcome,
          retryAfterMilliseconds,
        }),
      );
      return;
    }
    const account = authorizeCaller(version, event.headers.authorization);
    if (!account) {
      context.emit(createErrorResponse({ request, code: 'unauthorized', outcome }));
      return;
    }
    if (options.isExiting() && route.handle !== sendAddresses) {
      refuseAtExit(event);
      return;
    }
    if (route.isLimited && !isWithinLimit(event, account)) return;
    route.handle({ event, account, version });
  };
}
