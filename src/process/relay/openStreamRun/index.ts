/**
 * One run of a stream: a request to the first endpoint of a path, and what comes of it.
 */
import type { IncomingMessage } from 'node:http';
import { createEventSplitter, type StreamEvent } from '../../../request/splitEvents/index.js';
import type { EndpointAnswer, Wire } from '../../../types/relay/index.js';
import { openEndpointCall, type EndpointCall } from '../openEndpointCall/index.js';

/** An answer that is no stream. */
export interface RunRefusal {
  readonly status: number;
  readonly facts: EndpointAnswer;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Options of {@link openStreamRun}. Only `onEvent` is called more than once. */
export interface OpenStreamRunOptions {
  readonly wire: Pick<Wire, 'readAnswer'>;
  readonly address: string;
  readonly method: string;
  readonly url: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** The attempt that the answer has to belong to. */
  readonly attempt: string;
  /** Takes an event; false ends the run's reading. */
  readonly onEvent: (event: StreamEvent, rawHeaders: readonly string[]) => boolean;
  readonly onRefusal: (refusal: RunRefusal) => void;
  /** The stream ended as its framing says, after a whole event. */
  readonly onWhole: () => void;
  readonly onBroken: (reason: string) => void;
  readonly onNotSent: (reason: string) => void;
}

/**
 * Opens a run.
 *
 * @param options - the request and what to call
 * @returns the call, to be aborted when its answer is no longer wanted
 * @example
 * const run = openStreamRun(options);
 */
export function openStreamRun(options: OpenStreamRunOptions): EndpointCall {
  const { wire, address, method, url, headers, body, attempt } = options;
  const { onEvent, onRefusal, onWhole, onBroken, onNotSent } = options;
  const splitter = createEventSplitter();
  const refusal: Buffer[] = [];
  let incoming: IncomingMessage | undefined;
  let isStream = false;
  const isOurs = (facts: EndpointAnswer): boolean =>
    (facts.attempt === undefined || facts.attempt === attempt) &&
    facts.isSealed &&
    !facts.isEncoded;
  const readEvents = (chunk: Buffer, rawHeaders: readonly string[]): void => {
    for (const event of splitter.add(chunk)) if (!onEvent(event, rawHeaders)) return;
  };
  return openEndpointCall({
    address,
    method,
    url,
    headers,
    body,
    onAnswer: (answer) => {
      incoming = answer;
      isStream = answer.statusCode === 200;
      if (isStream && !isOurs(wire.readAnswer(200, answer.headers))) {
        onBroken('not an answer of the endpoint');
      }
    },
    onData: (chunk) => {
      if (isStream && incoming) readEvents(chunk, incoming.rawHeaders);
      else refusal.push(chunk);
    },
    onEnd: () => {
      if (!incoming) return;
      if (isStream) {
        if (splitter.countPending() > 0) onBroken('answer broke off');
        else onWhole();
        return;
      }
      const status = incoming.statusCode ?? 0;
      const facts = wire.readAnswer(status, incoming.headers);
      onRefusal({ status, facts, rawHeaders: incoming.rawHeaders, body: Buffer.concat(refusal) });
    },
    onFailure: (sendState, reason) => {
      if (sendState === 'notSent') onNotSent(reason);
      else onBroken(reason);
    },
  });
}
