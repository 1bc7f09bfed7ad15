/**
 * The relay of one node: admission of requests and their relaying by kind.
 */
import type { CompiledSite } from '../../../version/compileSite/index.js';
import type {
  RequestMetadata,
  CallerResponse,
  ForwardedRequest,
} from '../../../types/relay/index.js';
import type { RequestKind, ServiceShare, SiteRoute } from '../../../types/site/index.js';
import {
  admitRequest,
  type Admission,
  type Admitted,
  type RequestHead,
} from '../admitRequest/index.js';
import { sendFailure } from '../sendFailure/index.js';
import { createRequestLog } from '../createRequestLog/index.js';
import { relayStream } from '../relayStream/index.js';
import { relayBuffered } from '../relayBuffered/index.js';
import type { StartGate } from '../createStartGate/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
  readonly context: RelayContext;
  readonly getCompiled: () => CompiledSite | undefined;
  /** When the node began to leave, if it did. */
  readonly getLeavingSince: () => number | undefined;
  /** Opens with the first configuration. */
  readonly configurationGate: Pick<StartGate, 'wait'>;
  /** Opens when the node first knows endpoints for each layer, or soon after. */
  readonly coverGate: Pick<StartGate, 'wait'>;
}

/** A request whose body has been read. */
export interface BufferedRequest {
  readonly admitted: Admitted;
  readonly caller: RequestMetadata;
  readonly forwarded: ForwardedRequest;
  readonly arrivedAt: number;
  readonly response: CallerResponse;
}

/** Relay of one node. */
export interface Relay {
  /** Resolves when the node has a configuration, or when the caller should wait no longer. */
  readonly waitForStart: (caller: RequestMetadata) => Promise<void>;
  readonly admit: (head: RequestHead) => Admission;
  /** Resolves when the caller has its answer or has gone. */
  readonly run: (request: BufferedRequest) => Promise<void>;
}

type RelayHandler = (context: RelayContext, request: RelayedRequest) => Promise<void>;

const HANDLERS: Readonly<Record<RequestKind, RelayHandler>> = {
  safe: relayBuffered,
  atMostOnce: relayBuffered,
  stream: relayStream,
};

/** When callers may come back for a service that the configuration does not name, in seconds. */
const NO_SERVICE_RETRY_SECONDS = 0.3;
/** How long before the caller's deadline its final answer is sent, in milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 30;
/** Share of a caller's time for which its request waits at a node that has just started. */
const START_WAIT_SHARE = 0.5;
const DEFAULT_PRIORITY = 5;
const MAXIMUM_PRIORITY = 9;

function pickService(shares: readonly ServiceShare[], random: () => number): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  for (const { service, weight } of shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return shares.at(-1)?.service;
}

function computePriority(route: SiteRoute, accountPriority: number | undefined): number {
  const priority = accountPriority ?? route.priority;
  return Math.min(MAXIMUM_PRIORITY, Number.isFinite(priority) ? 1 + priority : DEFAULT_PRIORITY);
}

function computeTimeLimit(route: SiteRoute, caller: RequestMetadata): number {
  const requested = caller.deadlineMilliseconds ?? route.timeoutMilliseconds;
  return Math.min(route.timeoutMilliseconds, requested - DEADLINE_MARGIN_MILLISECONDS);
}

/**
 * Creates the relay.
 *
 * @param options - services of the process and the configuration in force
 * @returns the relay
 * @example
 * createRelay(options).admit(head);
 */
export function createRelay(options: CreateRelayOptions): Relay {
  const { context, getCompiled, getLeavingSince, configurationGate, coverGate } = options;
  const { clock, metrics, logger, budget, random } = context;
  return {
    waitForStart: ({ deadlineMilliseconds }) => {
      if (getLeavingSince() !== undefined) return Promise.resolve();
      const timeLimit = deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
      return configurationGate.wait(timeLimit * START_WAIT_SHARE);
    },
    admit: (head) => {
      const leavingSince = getLeavingSince();
      const leavingMilliseconds =
        leavingSince === undefined ? undefined : clock.now() - leavingSince;
      const admission = admitRequest({ head, compiled: getCompiled(), leavingMilliseconds });
      if (admission.kind === 'refused') {
        const { code } = admission;
        metrics.count('refusals', code);
        logger.log('request-refused', { request: head.caller.attempt, code });
      }
      return admission;
    },
    run: async ({ admitted, caller, forwarded, arrivedAt, response }) => {
      const { compiled, route, account } = admitted;
      const service = compiled.findService(pickService(route.services, random) ?? '');
      if (!service) {
        metrics.count('refusals', 'noEndpoint');
        const retryAfterSeconds = NO_SERVICE_RETRY_SECONDS;
        sendFailure(response, { code: 'noEndpoint', retryAfterSeconds });
        return;
      }
      const deadlineAt = arrivedAt + computeTimeLimit(route, caller);
      const log = createRequestLog({ logger, clock, request: caller.attempt });
      log.add('request-admitted', {
        route: route.name,
        account: account?.name ?? '',
        service: service.name,
        version: compiled.configuration.version,
        promptTokens: caller.promptTokens,
        answerTokens: caller.maximumAnswerTokens,
        leftMilliseconds: Math.round(deadlineAt - clock.now()),
      });
      metrics.count('requests', route.kind);
      budget.noteRequest(service.name, clock.now());
      if (route.kind === 'stream') {
        await coverGate.wait((deadlineAt - clock.now()) * START_WAIT_SHARE);
      }
      if (!response.isOpen()) return;
      await HANDLERS[route.kind](context, {
        caller,
        forwarded,
        route,
        service,
        account: account?.name,
        priority: computePriority(route, account?.priority),
        arrivedAt,
        deadlineAt,
        response,
        log,
      });
      metrics.record(account?.name ?? '', route.kind, clock.now() - arrivedAt);
    },
  };
}
