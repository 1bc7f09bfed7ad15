/**
 * One run of a stream: a request to the first endpoint of a path, and what comes of it.
 */
import {
  createEventSplitter,
  type StreamEvent,
} from '../../../request/createEventSplitter/index.js';
import type {
  ResponseHead,
  ResponseMetadata,
  EndpointCall,
  EndpointPort,
  ForwardedRequest,
  ForwardingDetails,
  RawHeaders,
} from '../../../types/relay/index.js';
import { isAnswerOf } from '../noteAnswer/index.js';

/** An answer that is no stream. */
export interface RunRefusal {
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
  readonly onRefusal: (refusal: RunRefusal) => void;
  /** The stream ended as its framing says, after a whole event. */
  readonly onWhole: () => void;
  readonly onBroken: (reason: string) => void;
  readonly onNotSent: (reason: string) => void;
}

/** Longest event, in bytes. */
const MOST_EVENT_BYTES = 1_048_576;
/** Longest answer that is no stream, in bytes. */
const MOST_REFUSAL_BYTES = 1_048_576;

/**
 * Opens a run.
 *
 * @param options - the request and what to call
 * @returns the call, to be aborted when its answer is no longer wanted
 * @example
 * const run = openStreamRun(options);
 */
export function openStreamRun(options: OpenStreamRunOptions): EndpointCall {
  const { endpointPort, forwarded, forwarding: forwarding, attempt } = options;
  const { onMetadata: onFacts, onEvent, onRefusal, onWhole, onBroken, onNotSent } = options;
  const splitter = createEventSplitter();
  const refusal: Buffer[] = [];
  let refusalBytes = 0;
  let head: ResponseHead | undefined;
  let isRefused = false;
  const isOurs = (metadata: ResponseMetadata): boolean =>
    isAnswerOf(metadata, attempt) && metadata.isFromEndpoint && !metadata.isEncoded;
  const isStream = ({ status }: ResponseHead): boolean => status === 200;
  return endpointPort.send(forwarded, forwarding, {
    onHead: (received) => {
      head = received;
      onFacts(received.metadata);
      if (isStream(received)) {
        if (!isOurs(received.metadata)) onBroken('not an answer of the endpoint');
        return;
      }
      if (!received.metadata.isNotExecuted || !isAnswerOf(received.metadata, attempt)) return;
      // The head says all; the body may take its time.
      isRefused = true;
      onRefusal({ head: received, body: Buffer.alloc(0) });
    },
    onData: (chunk) => {
      if (!head || isRefused) return;
      if (!isStream(head)) {
        refusal.push(chunk);
        refusalBytes += chunk.length;
        if (refusalBytes > MOST_REFUSAL_BYTES) onBroken('answer too long');
        return;
      }
      for (const event of splitter.add(chunk)) if (!onEvent(event, head.headers)) return;
      if (splitter.countPending() > MOST_EVENT_BYTES) onBroken('event too long');
    },
    onEnd: () => {
      if (!head || isRefused) return;
      if (!isStream(head)) onRefusal({ head, body: Buffer.concat(refusal) });
      else if (splitter.countPending() > 0) onBroken('answer broke off');
      else onWhole();
    },
    onFailure: (state, reason) => {
      if (isRefused) return;
      if (state === 'notSent') onNotSent(reason);
      else onBroken(reason);
    },
  });
}
