/**
 * Request to an endpoint on a separate connection.
 *
 * Connections are not reused. A late or additional response thus cannot be taken for that of a
 * later request, and no request fails because the endpoint closes an idle connection.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type {
  EndpointCall,
  EndpointCallHandlers,
  LivenessCheck,
  SendState,
} from '../../../types/relay/index.js';
import { isFinalStatus } from '../../runtime/isFinalStatus/index.js';
import { startRequest } from '../../runtime/startRequest/index.js';
import { startTimeLimit } from '../../runtime/startTimeLimit/index.js';

/** Options of {@link openEndpointCall}. */
export interface OpenEndpointCallOptions extends Omit<EndpointCallHandlers, 'onHead'> {
  readonly onResponse: (response: IncomingMessage) => void;
  readonly address: string;
  readonly method: string;
  readonly url: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Opens the liveness check of a response without framing when its head has arrived. */
  readonly openLivenessCheck?: (() => LivenessCheck) | undefined;
}

/** Line break that is written to detect a reset; servers ignore it before a request. */
const RESET_PROBE = '\r\n';

/** Connect timeout; an endpoint whose accept queue is full drops connection attempts. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Maximum bytes without body data in between, such as those of headers or chunk framing. */
const MAXIMUM_BYTES_WITHOUT_BODY = 262_144;

/** Maximum number of interim responses (1xx) before the final response. */
const MAXIMUM_INTERIM_RESPONSES = 256;

/** Statuses of responses that end with their head. */
const HEAD_ONLY_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Returns whether only the end of the connection marks the end of a response. */
function isEndedByConnection({ headers, statusCode }: IncomingMessage, method: string): boolean {
  if (method === 'HEAD' || HEAD_ONLY_STATUSES.has(statusCode)) return false;
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Checks whether a connection that has ended was reset rather than closed.
 *
 * Node.js reports a reset that arrives together with data as an ordinary end. A write distinguishes
 * them, as it fails on a connection that was reset.
 */
function probeReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(RESET_PROBE, (error) => {
      resolve(error !== undefined && error !== null);
    });
  });
}

/** Returns a call that was not sent; it fails once the caller has it, as one that could not connect. */
function failLater(reason: string, onFailure: OpenEndpointCallOptions['onFailure']): EndpointCall {
  const failure = setImmediate(() => {
    onFailure('notSent', reason);
  });
  return {
    abort: () => {
      clearImmediate(failure);
    },
    pause: () => undefined,
    resume: () => undefined,
  };
}

/**
 * Opens a call to an endpoint.
 *
 * @param options - the address, the request and the callbacks
 * @returns the call
 * @example
 * openEndpointCall({ address, method: 'GET', url: '/', headers: [], body: undefined, ...handlers });
 */
export function openEndpointCall(options: OpenEndpointCallOptions): EndpointCall {
  const { address, method, url, headers, body, onResponse, onData, onEnd, onFailure } = options;
  let isDone = false;
  let state: SendState = 'notSent';
  let response: IncomingMessage | undefined;
  let livenessCheck: LivenessCheck | undefined;
  let resetProbe: Promise<boolean> = Promise.resolve(false);
  const started = startRequest(address, {
    method,
    path: url,
    agent: false,
    headers: [...headers, 'Connection', 'close'],
  });
  if (started.isErr) return failLater(started.error, onFailure);
  const outgoing = started.value;
  const finish = (): boolean => {
    if (isDone) return false;
    isDone = true;
    cancelConnectLimit();
    return true;
  };
  const fail = (reason: string): void => {
    if (!finish()) return;
    outgoing.destroy();
    livenessCheck?.close();
    onFailure(state, reason);
  };
  const endAfterProbe = async (): Promise<void> => {
    if (await resetProbe) fail('connection reset');
    else if (finish()) onEnd('connection', livenessCheck);
  };
  let bytesWithoutBody = 0;
  /**
   * Fails a call whose headers, framing or interim responses never end, as the HTTP parser does not
   * limit all of them.
   */
  const countBytes = (bytes: number): void => {
    bytesWithoutBody += bytes;
    if (bytesWithoutBody > MAXIMUM_BYTES_WITHOUT_BODY) fail('too many bytes without body data');
  };
  const mayEndWithoutProof = (incoming: IncomingMessage): boolean =>
    !isDone && isEndedByConnection(incoming, method);
  let interimResponses = 0;
  const countInterimResponse = (): void => {
    interimResponses += 1;
    if (interimResponses > MAXIMUM_INTERIM_RESPONSES) fail('too many interim responses');
  };
  const cancelConnectLimit = startTimeLimit(CONNECT_TIMEOUT_MILLISECONDS, () => {
    fail(`no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`);
  });
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    socket.once('connect', () => {
      state = 'sent';
      cancelConnectLimit();
    });
    socket.on('data', (chunk: Buffer) => {
      countBytes(chunk.length);
    });
    socket.prependOnceListener('end', () => {
      if (!response || !isEndedByConnection(response, method)) return;
      livenessCheck?.recordResponseEnd();
      resetProbe = probeReset(socket);
    });
  });
  outgoing.on('information', countInterimResponse);
  outgoing.on('error', (error) => {
    // Bytes after a complete response belong to no request and do not invalidate the response.
    if (!response?.complete) fail(error.message);
  });
  outgoing.on('close', () => {
    // Node.js reports no error when it closes the connection of a response with status 101.
    if (!response) fail('connection closed without a response');
  });
  outgoing.on('response', (incoming) => {
    response = incoming;
    if (isDone) return;
    if (!isFinalStatus(incoming.statusCode)) {
      fail(`invalid status ${incoming.statusCode}`);
      return;
    }
    onResponse(incoming);
    // The head may have ended the call, as that of a refusal does.
    if (mayEndWithoutProof(incoming)) livenessCheck = options.openLivenessCheck?.();
    incoming.on('data', (chunk: Buffer) => {
      bytesWithoutBody = 0;
      if (!isDone) onData(chunk);
    });
    incoming.on('error', (error) => {
      fail(error.message);
    });
    incoming.on('end', () => {
      if (!incoming.complete) fail('response incomplete');
      else if (isEndedByConnection(incoming, method)) void endAfterProbe();
      else if (finish()) onEnd('framing');
    });
    incoming.on('close', () => {
      if (!incoming.complete) fail('connection closed');
    });
  });
  outgoing.end(body);
  return {
    abort: () => {
      if (!finish()) return;
      outgoing.destroy();
      livenessCheck?.close();
    },
    pause: () => {
      response?.pause();
    },
    resume: () => {
      response?.resume();
    },
  };
}
