/**
 * Run of a stream: a request to the first endpoint of a path, and its response.
 */
import { checkRefusal } from '../../../request/checkRefusal/index.js';
import {
  createEventSplitter,
  type StreamEvent,
} from '../../../request/createEventSplitter/index.js';
import type {
  ResponseHead,
  ResponseMetadata,
  EndpointCall,
  EndpointCallHandlers,
  RawHeaders,
  ResponseEnd,
} from '../../../types/relay/index.js';
import { createBodyBuffer, MAXIMUM_RESPONSE_CHUNKS } from '../../runtime/createBodyBuffer/index.js';
import { isResponseTo } from '../recordResponse/index.js';

/** Response that is not a stream, such as a refusal. */
export interface NonStreamResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Options of {@link openStreamRun}. Only `onEvent` is called more than once. */
export interface OpenStreamRunOptions {
  /** Sends the request; the callbacks are not called before it returns. */
  readonly send: (handlers: EndpointCallHandlers) => EndpointCall;
  /** Identifier of the attempt that the response must belong to. */
  readonly attempt: string;
  /** Called with the metadata of every response. */
  readonly onMetadata: (metadata: ResponseMetadata) => void;
  /** Called for each event; returns false to stop reading. */
  readonly onEvent: (event: StreamEvent, headers: RawHeaders) => boolean;
  /** Called with a response that is not a stream. */
  readonly onNonStreamResponse: (response: NonStreamResponse) => void;
  /** Called when the stream ended as its framing requires, after a complete event. */
  readonly onComplete: (end: ResponseEnd) => void;
  /** Called when the run failed and may have begun at the endpoint. */
  readonly onFailed: (reason: string) => void;
  /** Called when nothing was sent to the endpoint. */
  readonly onNotSent: (reason: string) => void;
}

/** Maximum size of an event in bytes. */
const MAXIMUM_EVENT_BYTES = 1_048_576;
/** Maximum size of a response that is not a stream, in bytes. */
const MAXIMUM_NON_STREAM_BYTES = 1_048_576;

const STREAM_TYPE = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Returns whether the headers allow a stream; a response without a type may be one. */
function hasStreamType(headers: RawHeaders): boolean {
  const index = headers.findIndex(
    (name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return index < 0 || STREAM_TYPE.test(headers[index + 1] ?? '');
}

/**
 * Opens a run.
 *
 * @param options - the request and the callbacks
 * @returns the call, to be aborted when its response is no longer needed
 * @example
 * const run = openStreamRun(options);
 */
export function openStreamRun(options: OpenStreamRunOptions): EndpointCall {
  const { send, attempt } = options;
  const { onMetadata, onEvent, onNonStreamResponse, onComplete, onFailed, onNotSent } = options;
  const splitter = createEventSplitter();
  const body = createBodyBuffer({
    maximumBytes: MAXIMUM_NON_STREAM_BYTES,
    maximumChunks: MAXIMUM_RESPONSE_CHUNKS,
    reserve: () => true,
  });
  /** Pieces of the event that is not complete. */
  let pieces = 0;
  let head: ResponseHead | undefined;
  let isRefused = false;
  let hasEvents = false;
  const isExpected = (metadata: ResponseMetadata): boolean =>
    isResponseTo(metadata, attempt) && metadata.isFromEndpoint && !metadata.isEncoded;
  const isStream = ({ status }: ResponseHead): boolean => status === 200;
  const endNonStream = (received: ResponseHead): void => {
    if (!isResponseTo(received.metadata, attempt)) onFailed('response to another request');
    else if (checkRefusal({ ...received, attempt }) === 'unproven')
      onFailed('refusal without proof');
    else onNonStreamResponse({ head: received, body: body.join() });
  };
  return send({
    onHead: (received) => {
      head = received;
      onMetadata(received.metadata);
      if (isStream(received)) {
        if (!isExpected(received.metadata)) onFailed('response not from the endpoint');
        else if (!hasStreamType(received.headers)) onFailed('response is not a stream');
        return;
      }
      if (checkRefusal({ ...received, attempt }) !== 'refused') return;
      // The head is sufficient; the body may be slow.
      isRefused = true;
      onNonStreamResponse({ head: received, body: Buffer.alloc(0) });
    },
    onData: (chunk) => {
      if (!head || isRefused) return;
      if (!isStream(head)) {
        if (body.append(chunk)) onFailed('response too large');
        return;
      }
      pieces += 1;
      for (const event of splitter.add(chunk)) {
        hasEvents = true;
        pieces = 0;
        if (!onEvent(event, head.headers)) return;
      }
      const isTooLarge = splitter.countPending() > MAXIMUM_EVENT_BYTES;
      if (isTooLarge || pieces > MAXIMUM_RESPONSE_CHUNKS) onFailed('event too large');
    },
    onEnd: (end) => {
      if (!head || isRefused) return;
      if (!isStream(head)) endNonStream(head);
      else if (splitter.countPending() > 0) onFailed('response ended inside an event');
      // The connection may have ended before the first event; a response after the last one is framed.
      else if (end === 'connection' && !hasEvents) onFailed('response without events');
      else onComplete(end);
    },
    onFailure: (state, reason) => {
      if (isRefused) return;
      if (state === 'notSent') onNotSent(reason);
      else onFailed(reason);
    },
  });
}
