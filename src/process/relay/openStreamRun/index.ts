/**
 * One run of a stream: a request to the first endpoint of a path, and what comes of it.
 */
import { createEventSplitter, type StreamEvent } from '../../../request/splitEvents/index.js';
import type {
  ResponseHead,
  ResponseMetadata,
  EndpointCall,
  EndpointPort,
  ForwardedRequest,
  ForwardingDetails,
  RawHeaders,
} from '../../../types/relay/index.js';
import { isResponseTo } from '../noteAnswer/index.js';

/** An answer that is no stream. */
export interface NonStreamResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Options of {@link openStreamRun}. Only `onEvent` is called more than once. */
export interface OpenStreamRunOptions {
  readonly endpointPort: Pick<EndpointPort, 'send'>;
  readonly forwarded: ForwardedRequest;
  readonly forwarding: ForwardingDetails;
  /** The attempt that the answer has to belong to. */
  readonly attempt: string;
  /** Takes what the endpoint says of itself, with an answer of any kind. */
  readonly onMetadata: (metadata: ResponseMetadata) => void;
  /** Takes an event; false ends the run's reading. */
  readonly onEvent: (event: StreamEvent, headers: RawHeaders) => boolean;
  readonly onNonStreamResponse: (bodyChunks: NonStreamResponse) => void;
  /** The stream ended as its framing says, after a whole event. */
  readonly onComplete: () => void;
  readonly onFailed: (reason: string) => void;
  readonly onNotSent: (reason: string) => void;
}

/** Longest event, in bytes. */
const MAXIMUM_EVENT_BYTES = 1_048_576;
/** Longest answer that is no stream, in bytes. */
const MAXIMUM_NON_STREAM_BYTES = 1_048_576;

/**
 * Opens a run.
 *
 * @param options - the request and what to call
 * @returns the call, to be aborted when its answer is no longer wanted
 * @example
 * const run = openStreamRun(options);
 */
export function openStreamRun(options: OpenStreamRunOptions): EndpointCall {
  const { endpointPort, forwarded, forwarding, attempt } = options;
  const { onMetadata, onEvent, onNonStreamResponse, onComplete, onFailed, onNotSent } = options;
  const splitter = createEventSplitter();
  const refusal: Buffer[] = [];
  let bodyBytes = 0;
  let head: ResponseHead | undefined;
  let isRefused = false;
  const isExpected = (metadata: ResponseMetadata): boolean =>
    isResponseTo(metadata, attempt) && metadata.isFromEndpoint && !metadata.isEncoded;
  const isStream = ({ status }: ResponseHead): boolean => status === 200;
  return endpointPort.send(forwarded, forwarding, {
    onHead: (received) => {
      head = received;
      onMetadata(received.metadata);
      if (isStream(received)) {
        if (!isExpected(received.metadata)) onFailed('not an answer of the endpoint');
        return;
      }
      if (!received.metadata.isNotExecuted || !isResponseTo(received.metadata, attempt)) return;
      // The head says all; the body may take its time.
      isRefused = true;
      onNonStreamResponse({ head: received, body: Buffer.alloc(0) });
    },
    onData: (chunk) => {
      if (!head || isRefused) return;
      if (!isStream(head)) {
        refusal.push(chunk);
        bodyBytes += chunk.length;
        if (bodyBytes > MAXIMUM_NON_STREAM_BYTES) onFailed('answer too long');
        return;
      }
      for (const event of splitter.add(chunk)) if (!onEvent(event, head.headers)) return;
      if (splitter.countPending() > MAXIMUM_EVENT_BYTES) onFailed('event too long');
    },
    onEnd: () => {
      if (!head || isRefused) return;
      if (!isStream(head)) onNonStreamResponse({ head, body: Buffer.concat(refusal) });
      else if (splitter.countPending() > 0) onFailed('answer broke off');
      else onComplete();
    },
    onFailure: (state, reason) => {
      if (isRefused) return;
      if (state === 'notSent') onNotSent(reason);
      else onFailed(reason);
    },
  });
}
