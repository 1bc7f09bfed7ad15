/**
 * Handling of callers' requests to services: repeatable requests and bookings.
 */
import { DEFAULT_DEADLINE_MILLISECONDS } from '../../../constants/index.js';
import { createErrorResponse } from '../../../request/createErrorResponse/index.js';
import type { Bookings } from '../../../request/createBookings/index.js';
import type { BookingResult } from '../../../types/booking/index.js';
import type { ServiceCalls } from '../../../request/createServiceCalls/index.js';
import { readTicket } from '../../../request/createTickets/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import type {
  Account,
  CompiledConfiguration,
} from '../../../version/compileConfiguration/index.js';
import { digestText } from '../../../version/digestText/index.js';
import { pickSelector } from '../../../version/pickSelector/index.js';
import type { RequestOutcome } from '../../resultCodes/index.js';
import type { PeerRequests } from '../createPeerRequests/index.js';
import type { NodeContext } from '../createContext/index.js';

/** Event of a caller's request. */
export type CallerRequestEvent = Extract<NodeEvent, { kind: 'callerRequest' }>;

/** A caller's request whose client account is known and within its rate limit. */
export interface AdmittedRequest {
  readonly event: CallerRequestEvent;
  readonly account: Account;
  readonly version: CompiledConfiguration;
}

/** Options of {@link createServiceHandler}. */
export interface CreateServiceHandlerOptions {
  readonly context: NodeContext;
  readonly bookings: Bookings;
  readonly services: ServiceCalls;
  readonly peerRequests: PeerRequests;
}

/** Safe methods, whose requests may be repeated. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
/** Paths of services: the name of the service, then the path that is forwarded. */
export const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9._-]+)(\/.*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language'];

/** Reads the caller's attempt number under an idempotency key; 1 when the header is absent. */
function readTryNumber(event: CallerRequestEvent): number {
  const number = Number(event.headers['idempotency-attempt'] ?? 1);
  return Number.isInteger(number) && number > 0 ? number : 1;
}

/**
 * Returns the outcome of a refusal that is sent before the journal is read.
 *
 * For a retry it is unknown, because an earlier attempt may have been executed.
 *
 * @param event - the caller's request
 * @returns the outcome, or undefined when the default outcome of the result code applies
 * @example
 * readEarlyOutcome(event);
 */
export function readEarlyOutcome(event: CallerRequestEvent): RequestOutcome | undefined {
  return readTryNumber(event) > 1 ? 'unknown' : undefined;
}

function readRemainingMilliseconds(text: string | undefined): number {
  const remaining = Number(text ?? DEFAULT_DEADLINE_MILLISECONDS);
  return Number.isFinite(remaining) && remaining > 0 ? remaining : DEFAULT_DEADLINE_MILLISECONDS;
}

/**
 * Creates the handler of callers' requests to services.
 *
 * @param options - the components that call services
 * @returns a function that handles each admitted request
 * @example
 * createServiceHandler(options)({ event, account, version });
 */
export function createServiceHandler(
  options: CreateServiceHandlerOptions,
): (admitted: AdmittedRequest) => void {
  const { context } = options;

  const sendResult = (request: string, result: BookingResult): void => {
    if (result.kind === 'error') {
      const isRetryable = result.code === 'storeUnavailable' || result.code === 'noEndpoint';
      const retryAfterMilliseconds = isRetryable ? 1_000 : undefined;
      context.emit(
        createErrorResponse({
          request,
          code: result.code,
          outcome: result.outcome,
          retryAfterMilliseconds,
        }),
      );
      return;
    }
    const headers = { 'content-type': result.contentType || 'application/json' };
    context.emit({ kind: 'answer', request, status: result.status, headers, body: result.body });
  };

  return ({ event, account, version }) => {
    const { request, method, headers, body } = event;
    const [, service = '', path = '/'] = SERVICE_PATH.exec(event.path) ?? [];
    const selector = pickSelector({
      version,
      account,
      kind: 'service',
      name: service,
      draw: context.random(),
    });
    if (!selector) {
      const message = `no selector serves the service '${service}' to this client account`;
      const outcome = readEarlyOutcome(event);
      context.emit(createErrorResponse({ request, code: 'notFound', message, outcome }));
      return;
    }
    const isRepeatable = SAFE_METHODS.has(method);
    const idempotencyKey = headers['idempotency-key'];
    if (!isRepeatable && (idempotencyKey === undefined || !IDEMPOTENCY_KEY.test(idempotencyKey))) {
      context.emit(createErrorResponse({ request, code: 'keyRequired' }));
      return;
    }
    const forwardedHeaders = FORWARDED_HEADERS.flatMap((name) => {
      const value = headers[name];
      return value === undefined ? [] : [[name, value] as const];
    });
    const deadlineAt =
      context.now() + readRemainingMilliseconds(headers['x-deadline-milliseconds']);
    const call = {
      service,
      selector,
      method,
      path,
      body,
      deadlineAt,
      isRepeatable,
      headers: {
        ...Object.fromEntries(forwardedHeaders),
        ...(idempotencyKey !== undefined && { 'idempotency-key': idempotencyKey }),
        'x-client-account': account.name,
      },
    };
    if (isRepeatable || idempotencyKey === undefined) {
      options.services.send(call, (outcome) => {
        if (outcome.kind === 'reply') sendResult(request, { ...outcome, kind: 'answer' });
        else {
          const code = outcome.kind === 'notSent' ? 'noEndpoint' : 'outcomeUnknown';
          sendResult(request, { kind: 'error', code });
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
    const respond = (result: BookingResult): void => {
      sendResult(request, result);
    };
    if (readTicket(idempotencyKey)) options.peerRequests.runTicket(booking, respond);
    else options.bookings.run(booking, respond);
  };
}
