/**
 * Admission of callers' requests, and their relaying by kind.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CompiledSite } from '../../../version/compileSite/index.js';
import type { RequestKind, ServiceShare, SiteRoute } from '../../../types/site/index.js';
import { answerFailure } from '../answerCaller/index.js';
import { readBody } from '../readBody/index.js';
import { relayStream } from '../relayStream/index.js';
import { relayWhole } from '../relayWhole/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
  readonly context: RelayContext;
  readonly getCompiled: () => CompiledSite | undefined;
  /** When the node leaves, if it does. */
  readonly getLeaving: () => Leaving | undefined;
}

/** The times of a node that leaves, in milliseconds. */
export interface Leaving {
  readonly startedAt: number;
  readonly endsAt: number;
}

/** Relay of one node. */
export interface Relay {
  readonly handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Requests that have no final answer yet. */
  readonly countOpen: () => number;
}

type RelayHandler = (context: RelayContext, request: RelayedRequest) => Promise<void>;

const HANDLERS: Readonly<Record<RequestKind, RelayHandler>> = {
  safe: relayWhole,
  atMostOnce: relayWhole,
  stream: relayStream,
};

/** When callers may come back to a node that has no configuration yet, in seconds. */
const NOT_CONFIGURED_RETRY_SECONDS = 0.3;
/** How long before the caller's deadline its final answer is sent, in milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 30;
/** When callers may come back to another node after a leaving one refused them, in seconds. */
const LEAVING_RETRY_SECONDS = 0.05;
/** How long a leaving node takes new streams, since callers hold old answers that name it. */
const LEAVING_STREAMS_MILLISECONDS = 2_500;
const DEFAULT_PRIORITY = 5;
const MOST_PRIORITY = 9;

function pickService(shares: readonly ServiceShare[], random: () => number): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  for (const { service, weight } of shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return shares.at(-1)?.service;
}

function rankRequest(route: SiteRoute, accountPriority: number | undefined): number {
  const rank = accountPriority ?? route.priority;
  return Math.min(MOST_PRIORITY, Number.isFinite(rank) ? 1 + rank : DEFAULT_PRIORITY);
}

/**
 * Creates the relay.
 *
 * @param options - services of the process and the configuration in force
 * @returns the relay
 * @example
 * createServer(createRelay(options).handle);
 */
export function createRelay(options: CreateRelayOptions): Relay {
  const { context, getCompiled, getLeaving } = options;
  const { wire, now, metrics, logger } = context;
  let open = 0;

  const admit = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = now();
    const refuse = (
      code: Parameters<typeof answerFailure>[1]['code'],
      retryAfterSeconds?: number,
    ): void => {
      metrics.count('refusals', code);
      // What is left of the body would be read as the next request.
      const closes = !incoming.complete;
      answerFailure(response, { code, retryAfterSeconds, closes });
      incoming.resume();
    };
    const compiled = getCompiled();
    if (!compiled) {
      refuse('notConfigured', NOT_CONFIGURED_RETRY_SECONDS);
      return;
    }
    const url = incoming.url ?? '/';
    const host = (incoming.headers.host ?? '').replace(/:\d+$/, '');
    const path = url.split('?', 1)[0] ?? '/';
    const route = compiled.findRoute(host, path);
    if (!route) {
      refuse('notFound');
      return;
    }
    const caller = wire.readRequest(incoming.headers);
    const account = caller.key === undefined ? undefined : compiled.findAccount(caller.key);
    if (compiled.needsKey && !route.isPublic && !account) {
      refuse('unauthorized');
      return;
    }
    const leaving = getLeaving();
    const isLate = leaving && now() - leaving.startedAt > LEAVING_STREAMS_MILLISECONDS;
    if (isLate && route.kind === 'stream') {
      // It could be cut off in its middle, while another node can run it whole.
      refuse('leaving', LEAVING_RETRY_SECONDS);
      return;
    }
    const { bodyBytes, headerTimeoutMilliseconds } = compiled.configuration.limits;
    const outcome = await readBody(incoming, {
      mostBytes: bodyBytes,
      timeoutMilliseconds: headerTimeoutMilliseconds,
    });
    if (outcome.kind === 'gone' || response.destroyed) return;
    if (outcome.kind !== 'whole') {
      refuse(outcome.kind === 'tooLarge' ? 'bodyTooLarge' : 'bodyTimeout');
      return;
    }
    const service = compiled.findService(pickService(route.services, context.random) ?? '');
    if (!service) {
      refuse('noEndpoint', NOT_CONFIGURED_RETRY_SECONDS);
      return;
    }
    const patience = Math.min(
      route.timeoutMilliseconds,
      (caller.deadlineMilliseconds ?? route.timeoutMilliseconds) - DEADLINE_MARGIN_MILLISECONDS,
    );
    metrics.count('requests', route.kind);
    context.budget.noteRequest(service.name, now());
    const goneCallbacks: (() => void)[] = [];
    response.on('close', () => {
      if (response.writableFinished) return;
      for (const callback of goneCallbacks) callback();
    });
    await HANDLERS[route.kind](context, {
      caller,
      method: incoming.method ?? 'GET',
      url,
      rawHeaders: incoming.rawHeaders,
      body: outcome.body,
      route,
      service,
      account: account?.name,
      priority: rankRequest(route, account?.priority),
      arrivedAt,
      finalAt: arrivedAt + patience,
      response,
      onGone: (callback) => {
        goneCallbacks.push(callback);
      },
    });
    metrics.record(account?.name ?? '', route.kind, now() - arrivedAt);
  };

  return {
    handle: (incoming, response) => {
      open += 1;
      if (getLeaving()) response.setHeader('Connection', 'close');
      admit(incoming, response)
        .catch((error: unknown) => {
          logger.log('error', 'request-crashed', {
            reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
          });
          response.destroy();
        })
        .finally(() => {
          open -= 1;
        });
    },
    countOpen: () => open,
  };
}
