/**
 * HTTP handler that reads callers' requests and passes them to the relay.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeaderTranslator } from '../../../types/relay/index.js';
import { describeError } from '../../describeError/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { AdmissionRefusal } from '../admitRequest/index.js';
import { sendFailure } from '../sendFailure/index.js';
import { createBodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import { createCallerResponse } from '../createCallerResponse/index.js';
import type { Relay } from '../createRelay/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';
import { readBody, type BodyOutcome } from '../readBody/index.js';

/** Options of {@link createCallerHandler}. */
export interface CreateCallerHandlerOptions {
  readonly relay: Relay;
  readonly headerTranslator: Pick<HeaderTranslator, 'parseRequestHeaders'>;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly now: () => number;
  readonly isLeaving: () => boolean;
}

/** HTTP handler of callers' requests. */
export interface CallerHandler {
  readonly handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Returns the number of requests whose final response is not sent to its end. */
  readonly countOpen: () => number;
}

/** Maximum memory of all request bodies together. */
const MAXIMUM_BODY_BYTES = 67_108_864;
/** `Retry-After` when there is no memory for the body, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;

const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyOutcome['kind'], 'complete' | 'disconnected'>, Omit<AdmissionRefusal, 'kind'>>
> = {
  tooLarge: { code: 'bodyTooLarge' },
  timeout: { code: 'bodyTimeout' },
  noMemory: { code: 'overloaded', retryAfterSeconds: NO_MEMORY_RETRY_SECONDS },
};

/** Bytes of one header line in addition to its name and value: colon, space, CR and LF. */
const HEADER_SEPARATOR_BYTES = 4;

function countHeaderBytes({ rawHeaders, method = '', url = '' }: IncomingMessage): number {
  const text = rawHeaders.reduce((sum, { length }) => sum + length, method.length + url.length);
  return text + (rawHeaders.length / 2) * HEADER_SEPARATOR_BYTES;
}

/**
 * Creates the handler of callers' requests.
 *
 * @param options - the relay and the dependencies that read requests and log refusals
 * @returns the handler
 * @example
 * createServer(createCallerHandler(options).handle);
 */
export function createCallerHandler(options: CreateCallerHandlerOptions): CallerHandler {
  const { relay, headerTranslator, logger, now, isLeaving } = options;
  const bodyMemory = createBodyMemoryLimit(MAXIMUM_BODY_BYTES);
  let openRequests = 0;

  const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = now();
    const caller = headerTranslator.parseRequestHeaders(incoming.headers);
    const callerResponse = createCallerResponse(response);
    const isDisconnected = (): boolean => response.destroyed;
    const refuse = (code: ResultCodeName, retryAfterSeconds?: number): void => {
      // On a kept connection the unread bytes of the body would be parsed as the next request.
      const closes = !incoming.complete;
      sendFailure(callerResponse, { code, retryAfterSeconds, closes });
      incoming.resume();
    };
    await relay.waitForStart(caller);
    if (isDisconnected()) return;
    const { url = '/', method = 'GET', rawHeaders } = incoming;
    const host = incoming.headers.host ?? '';
    const headerBytes = countHeaderBytes(incoming);
    const admission = relay.admit({ host, url, headerBytes, caller });
    if (admission.kind === 'refused') {
      refuse(admission.code, admission.retryAfterSeconds);
      return;
    }
    const { limits } = admission.compiled.configuration;
    const reservation = bodyMemory.createReservation();
    try {
      const outcome = await readBody(incoming, {
        maximumBytes: limits.bodyBytes,
        timeoutMilliseconds: limits.headerTimeoutMilliseconds,
        memory: reservation,
      });
      if (outcome.kind === 'disconnected' || isDisconnected()) return;
      if (outcome.kind !== 'complete') {
        const { code, retryAfterSeconds } = BODY_REFUSALS[outcome.kind];
        options.metrics.count('refusals', code);
        logger.log('request-refused', { request: caller.attempt, code });
        refuse(code, retryAfterSeconds);
        return;
      }
      const forwarded = { method, url, rawHeaders, body: outcome.body };
      await relay.run({
        admitted: admission,
        caller,
        forwarded,
        arrivedAt,
        response: callerResponse,
      });
    } finally {
      reservation.release();
    }
  };

  return {
    handle: (incoming, response) => {
      openRequests += 1;
      if (isLeaving()) response.setHeader('Connection', 'close');
      serve(incoming, response)
        .catch((error: unknown) => {
          logger.log('request-crashed', { reason: describeError(error) });
          createCallerResponse(response).abort();
        })
        .finally(() => {
          const endRequest = (): void => {
            openRequests -= 1;
          };
          // The last bytes may wait for a slow caller.
          if (response.closed || response.writableFinished) endRequest();
          else response.once('close', endRequest);
        });
    },
    countOpen: () => openRequests,
  };
}
