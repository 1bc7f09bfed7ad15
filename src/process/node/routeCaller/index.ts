/**
 * What callers may ask of a node, by method and path.
 */
import { DEFAULT_DEADLINE_MILLISECONDS } from '../../../constants/index.js';
import { answerError, answerJson } from '../../../request/answerError/index.js';
import { authorizeCaller } from '../../../request/authorizeCaller/index.js';
import type { BookingEnd, Bookings } from '../../../request/createBookings/index.js';
import { nameJournalKey, type Journal } from '../../../request/createJournal/index.js';
import type { ModelRequests } from '../../../request/createModelRequests/index.js';
import type { RateLimiter } from '../../../request/createRateLimiter/index.js';
import type { ServiceCalls } from '../../../request/createServiceCalls/index.js';
import { readTicket, type Tickets } from '../../../request/createTickets/index.js';
import { readJournalRecord } from '../../../request/decideIntent/index.js';
import { listAddresses } from '../../../request/listAddresses/index.js';
import { readCompletion, type CompletionForm } from '../../../request/readCompletion/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import type { Account, CompiledVersion } from '../../../version/compileVersion/index.js';
import { digestText } from '../../../version/digestText/index.js';
import { selectServed } from '../../../version/selectServed/index.js';
import type { Membership } from '../../membership/createMembership/index.js';
import type { PeerQuestions } from '../askPeers/index.js';
import type { RequestOutcome } from '../../resultCodes/index.js';
import type { NodeContext } from '../createContext/index.js';

/** A request of a caller. */
export type CallerRequest = Extract<NodeEvent, { kind: 'callerRequest' }>;

/** Options of {@link createCallerRouter}. */
export interface CreateCallerRouterOptions {
  readonly context: NodeContext;
  readonly getVersion: () => CompiledVersion;
  readonly membership: Membership;
  readonly limiter: RateLimiter;
  readonly modelRequests: ModelRequests;
  readonly bookings: Bookings;
  readonly services: ServiceCalls;
  readonly journal: Journal;
  readonly tickets: Tickets;
  readonly questions: PeerQuestions;
  readonly isLeaving: () => boolean;
  readonly addressExpirySeconds: number;
}

interface Admitted {
  readonly event: CallerRequest;
  readonly account: Account;
  readonly version: CompiledVersion;
}

type Handler = (admitted: Admitted) => void;

interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly isLimited: boolean;
  readonly handle: Handler;
}

/** Methods without an effect, which may be sent again. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9._-]+)(\/.*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
const LARGEST_TICKETS = 100;
const PASSED_HEADERS = ['content-type', 'accept', 'accept-language'];

/** Reads the caller's number of a try under an idempotency key; 1 when it gives none. */
function readTryNumber(event: CallerRequest): number {
  const number = Number(event.headers['idempotency-attempt'] ?? 1);
  return Number.isInteger(number) && number > 0 ? number : 1;
}

/** Outcome of a refusal before the journal is read: a retry cannot be told that nothing ran. */
function readEarlyOutcome(event: CallerRequest): RequestOutcome | undefined {
  return readTryNumber(event) > 1 ? 'unknown' : undefined;
}

function readRemaining(text: string | undefined): number {
  const remaining = Number(text ?? DEFAULT_DEADLINE_MILLISECONDS);
  return Number.isFinite(remaining) && remaining > 0 ? remaining : DEFAULT_DEADLINE_MILLISECONDS;
}

/**
 * Creates the router of callers' requests.
 *
 * @param options - the parts of the node that answer callers
 * @returns a function that takes each request
 * @example
 * const route = createCallerRouter(options);
 * route(event);
 */
export function createCallerRouter(
  options: CreateCallerRouterOptions,
): (event: CallerRequest) => void {
  const { context, membership } = options;

  const answerEnd = (request: string, end: BookingEnd): void => {
    if (end.kind === 'error') {
      const isRetryable = end.code === 'storeUnavailable' || end.code === 'noEndpoint';
      const retryAfterMilliseconds = isRetryable ? 1_000 : undefined;
      context.emit(
        answerError({ request, code: end.code, outcome: end.outcome, retryAfterMilliseconds }),
      );
      return;
    }
    const headers = { 'content-type': end.contentType || 'application/json' };
    context.emit({ kind: 'answer', request, status: end.status, headers, body: end.body });
  };

  const answerAddresses: Handler = ({ event, account, version }) => {
    const answer = listAddresses({
      account: account.name,
      homeNodes: account.homeNodes,
      members: membership.list(),
      availabilityZone: event.headers['x-availability-zone'] ?? membership.self().availabilityZone,
      revision: version.revision,
      expiresInSeconds: options.addressExpirySeconds,
    });
    context.emit(answerJson(event.request, 200, answer));
  };
  const complete =
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
        context.emit(answerError({ request, code: 'malformedRequest', message: completion.error }));
        return;
      }
      options.modelRequests.start({ request, account, version, completion: completion.value });
    };
  const mintTickets: Handler = ({ event, account }) => {
    const count = Number(/"count"\s*:\s*(\d{1,4})/.exec(event.body)?.[1] ?? 1);
    const tickets = options.tickets.mint(account.name, Math.min(count, LARGEST_TICKETS));
    context.emit(answerJson(event.request, 200, { tickets }));
  };
  const answerOutcome: Handler = ({ event, account }) => {
    const key = decodeURIComponent(event.path.slice('/v1/outcomes/'.length));
    options.journal.read(nameJournalKey(account.name, key), (result) => {
      const { request } = event;
      if (result.kind !== 'entry') {
        context.emit(answerError({ request, code: 'storeUnavailable' }));
        return;
      }
      const record = result.entry ? readJournalRecord(result.entry.value) : undefined;
      if (!record) {
        context.emit(answerError({ request, code: 'notFound', message: 'no call has this key' }));
        return;
      }
      const { state, status, body } = record;
      context.emit(answerJson(request, 200, { state, status, body }));
    });
  };
  const callService: Handler = ({ event, account, version }) => {
    const { request, method, headers, body } = event;
    const [, service = '', path = '/'] = SERVICE_PATH.exec(event.path) ?? [];
    const selector = selectServed({
      version,
      account,
      kind: 'service',
      name: service,
      draw: context.random(),
    });
    if (!selector) {
      const message = `no selector serves the service '${service}' to this client account`;
      const outcome = readEarlyOutcome(event);
      context.emit(answerError({ request, code: 'notFound', message, outcome }));
      return;
    }
    const isRepeatable = SAFE_METHODS.has(method);
    const idempotencyKey = headers['idempotency-key'];
    if (!isRepeatable && (idempotencyKey === undefined || !IDEMPOTENCY_KEY.test(idempotencyKey))) {
      context.emit(answerError({ request, code: 'keyRequired' }));
      return;
    }
    const passed = PASSED_HEADERS.flatMap((name) => {
      const value = headers[name];
      return value === undefined ? [] : [[name, value] as const];
    });
    const deadlineAt = context.now() + readRemaining(headers['x-deadline-milliseconds']);
    const call = {
      service,
      selector,
      method,
      path,
      body,
      deadlineAt,
      isRepeatable,
      headers: {
        ...Object.fromEntries(passed),
        ...(idempotencyKey !== undefined && { 'idempotency-key': idempotencyKey }),
        'x-client-account': account.name,
      },
    };
    if (isRepeatable || idempotencyKey === undefined) {
      options.services.send(call, (outcome) => {
        if (outcome.kind === 'reply') answerEnd(request, { ...outcome, kind: 'answer' });
        else {
          const code = outcome.kind === 'notSent' ? 'noEndpoint' : 'outcomeUnknown';
          answerEnd(request, { kind: 'error', code });
        }
      });
      return;
    }
    const digest = digestText(`${method}\n${service}\n${path}\n${body}`);
    const booking = {
      account: account.name,
      idempotencyKey,
      digest,
      call,
      tryNumber: readTryNumber(event),
    };
    const answer = (end: BookingEnd): void => {
      answerEnd(request, end);
    };
    if (readTicket(idempotencyKey)) options.questions.runTicket(booking, answer);
    else options.bookings.run(booking, answer);
  };

  const ROUTES: readonly Route[] = [
    {
      method: 'POST',
      pattern: /^\/v1\/completions$/,
      isLimited: true,
      handle: complete('completion'),
    },
    {
      method: 'POST',
      pattern: /^\/v1\/chat\/completions$/,
      isLimited: true,
      handle: complete('chat'),
    },
    { method: 'GET', pattern: /^\/v1\/addresses$/, isLimited: false, handle: answerAddresses },
    { method: 'POST', pattern: /^\/v1\/tickets$/, isLimited: true, handle: mintTickets },
    { method: 'GET', pattern: /^\/v1\/outcomes\/.+$/, isLimited: true, handle: answerOutcome },
    { method: '', pattern: SERVICE_PATH, isLimited: true, handle: callService },
  ];
  const answerHealth = (event: CallerRequest): boolean => {
    if (event.path === '/health') {
      context.emit(answerJson(event.request, 200, { status: 'alive' }));
      return true;
    }
    if (event.path !== '/ready') return false;
    const isReady = options.getVersion().revision > 0 && !options.isLeaving();
    context.emit(answerJson(event.request, isReady ? 200 : 503, { ready: isReady }));
    return true;
  };
  const findRoute = (event: CallerRequest): Route | undefined => {
    const { request, path, method } = event;
    const matching = ROUTES.filter(({ pattern }) => pattern.test(path));
    const route = matching.find((entry) => entry.method === '' || entry.method === method);
    if (route) return route;
    const code = matching.length === 0 ? 'notFound' : 'methodNotAllowed';
    context.emit(answerError({ request, code }));
    return undefined;
  };
  const isWithinLimit = (event: CallerRequest, account: Account): boolean => {
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
    context.emit(answerError({ request, code: 'rateLimited', outcome, retryAfterMilliseconds }));
    return false;
  };

  return (event) => {
    const { request } = event;
    if (answerHealth(event)) return;
    const route = findRoute(event);
    if (!route) return;
    const outcome = readEarlyOutcome(event);
    const version = options.getVersion();
    if (version.revision === 0) {
      const message = 'this node has no configuration yet';
      const retryAfterMilliseconds = 1_000;
      context.emit(
        answerError({ request, code: 'noEndpoint', message, outcome, retryAfterMilliseconds }),
      );
      return;
    }
    const account = authorizeCaller(version, event.headers.authorization);
    if (!account) {
      context.emit(answerError({ request, code: 'unauthorized', outcome }));
      return;
    }
    if (route.isLimited && !isWithinLimit(event, account)) return;
    route.handle({ event, account, version });
  };
}
