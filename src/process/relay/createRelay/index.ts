/**
 * Relay of one node: admits requests and forwards them according to the kind of their route.
 */
import { estimateTokens } from '../../../request/estimateTokens/index.js';
import { computePriority } from '../../../request/computePriority/index.js';
import type { CompiledSiteConfiguration } from '../../../version/compileSiteConfiguration/index.js';
import type {
  RequestMetadata,
  CallerResponse,
  ForwardedRequest,
} from '../../../types/relay/index.js';
import type { RequestKind, ServiceShare, SiteService } from '../../../types/site/index.js';
import {
  admitRequest,
  type Admission,
  type Admitted,
  LEAVING_RETRY_SECONDS,
  type LeavingPeriod,
  type RequestHead,
} from '../admitRequest/index.js';
import type { HandedOverRequest } from '../createNeighbourPort/index.js';
import { computeTimeLimit } from '../computeTimeLimit/index.js';
import { sendFailure } from '../sendFailure/index.js';
import { createRequestLog } from '../createRequestLog/index.js';
import { relayStream } from '../relayStream/index.js';
import { relayBuffered } from '../relayBuffered/index.js';
import type { StartGate } from '../createStartGate/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link createRelay}. */
export interface CreateRelayOptions {
  readonly context: RelayContext;
  readonly getCompiled: () => CompiledSiteConfiguration | undefined;
  /** Returns when the node began to leave and when it stops; undefined when it is not leaving. */
  readonly getLeaving: () => LeavingPeriod | undefined;
  /** Gate that opens with the first configuration. */
  readonly configurationGate: Pick<StartGate, 'wait'>;
  /** Gate that opens when the node knows endpoints for every layer, or after a time limit. */
  readonly coverageGate: Pick<StartGate, 'wait'>;
}

/** Admitted request whose body is read completely. */
export interface BufferedRequest {
  readonly admitted: Admitted;
  readonly caller: RequestMetadata;
  readonly forwarded: ForwardedRequest;
  readonly arrivedAt: number;
  readonly response: CallerResponse;
  /** How another node handed the request over; undefined for a request of a caller. */
  readonly handOver?: Pick<HandedOverRequest, 'isRepeat' | 'configurationVersion'> | undefined;
}

/** Relay of one node. */
export interface Relay {
  /** Resolves when the node has a configuration, or when the wait limit of the request ends. */
  readonly waitForStart: (caller: RequestMetadata) => Promise<void>;
  readonly admit: (head: RequestHead) => Admission;
  /** Resolves when the caller has its response or has disconnected. */
  readonly run: (request: BufferedRequest) => Promise<void>;
}

type RelayHandler = (context: RelayContext, request: RelayedRequest) => Promise<void>;

const HANDLERS: Readonly<Record<RequestKind, RelayHandler>> = {
  safe: relayBuffered,
  atMostOnce: relayBuffered,
  stream: relayStream,
};

/** `Retry-After` for a route whose service the configuration does not define, in seconds. */
const NO_SERVICE_RETRY_SECONDS = 0.3;
/** Maximum share of a request's time that it waits at a node that has just started. */
const START_WAIT_SHARE = 0.5;
/** `Retry-After` for a request that this node does not take over, in seconds; others may. */
const HAND_OVER_RETRY_SECONDS = 0.2;
/** Maximum number of requests of other nodes that a node relays at the same time. */
const MAXIMUM_TAKEN_OVER = 256;
/** Number of prompt parts that the log names. */
const MAXIMUM_LOGGED_PARTS = 8;

function pickService(shares: readonly ServiceShare[], random: () => number): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  for (const { service, weight } of shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return shares.at(-1)?.service;
}

/** Records the demand of a stream, whether it will be served or not. */
function recordDemand(
  { admission }: Pick<RelayContext, 'admission'>,
  { name, model }: SiteService,
  { caller, priority }: Pick<RelayedRequest, 'caller' | 'priority'>,
): void {
  if (!model) return;
  const { roomTokens } = estimateTokens({ caller, model, lastEventId: caller.lastEventId });
  admission.record(name, { priority, tokenLayers: roomTokens * model.layers });
}

/**
 * Creates the relay.
 *
 * @param options - dependencies of the process, the current configuration and the start gates
 * @returns the relay
 * @example
 * createRelay(options).admit(head);
 */
export function createRelay(options: CreateRelayOptions): Relay {
  const { context, getCompiled, getLeaving, configurationGate, coverageGate } = options;
  const { clock, metrics, logger, budget, random, stopSignal, links } = context;
  /** Requests of other nodes that this one relays now. */
  let takenOver = 0;
  /** Returns whether this node relays another request of other nodes: its own callers go first. */
  const mayTakeOver = (): boolean => !links.isIsolated() && takenOver < MAXIMUM_TAKEN_OVER;
  return {
    waitForStart: ({ deadlineMilliseconds }) => {
      if (getLeaving()) return Promise.resolve();
      const timeLimit = deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
      return configurationGate.wait(timeLimit * START_WAIT_SHARE);
    },
    admit: (head) => {
      const now = clock.now();
      const admission = admitRequest({ head, compiled: getCompiled(), leaving: getLeaving(), now });
      if (admission.kind === 'refused') {
        const { code } = admission;
        metrics.count('refusals', code);
        logger.log('request-refused', { request: head.caller.attempt, code });
      }
      return admission;
    },
    run: async ({ admitted, caller, forwarded, arrivedAt, response, handOver }) => {
      const isHandedOver = handOver !== undefined;
      const { compiled, route, account } = admitted;
      const { version } = compiled.configuration;
      // The other node has acted on a version that this one does not have yet.
      const isOutdated = isHandedOver && version < handOver.configurationVersion;
      if (isHandedOver && (isOutdated || !mayTakeOver())) {
        metrics.count('handed_over', 'refused');
        const retryAfterSeconds = HAND_OVER_RETRY_SECONDS;
        sendFailure(response, { code: 'noEndpoint', retryAfterSeconds });
        return;
      }
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
        version,
        parts: caller.promptParts.slice(0, MAXIMUM_LOGGED_PARTS).join(' '),
        promptTokens: caller.promptTokens,
        answerTokens: caller.maximumAnswerTokens,
        leftMilliseconds: Math.round(deadlineAt - clock.now()),
      });
      metrics.count('requests', route.kind);
      const priority = computePriority(route.priority, account?.priority);
      // The node that handed the request over has counted it.
      if (!isHandedOver) {
        budget.recordRequest(service.name, clock.now());
        if (route.kind === 'stream') recordDemand(context, service, { caller, priority });
      }
      if (route.kind === 'stream') {
        await coverageGate.wait((deadlineAt - clock.now()) * START_WAIT_SHARE);
      }
      if (!response.isOpen()) return;
      if (stopSignal.isRaised()) {
        metrics.count('refusals', 'leaving');
        log.end(true);
        sendFailure(response, { code: 'leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS });
        return;
      }
      if (isHandedOver) takenOver += 1;
      await HANDLERS[route.kind](context, {
        caller,
        forwarded,
        route,
        service,
        account: account?.name,
        priority,
        arrivedAt,
        isHandedOver,
        isRepeat: handOver?.isRepeat ?? false,
        configurationVersion: version,
        deadlineAt,
        response,
        log,
      }).finally(() => {
        if (isHandedOver) takenOver -= 1;
      });
      metrics.record(account?.name ?? '', route.kind, clock.now() - arrivedAt);
    },
  };
}
