/**
 * One request to an endpoint on a connection of its own.
 *
 * Connections are not kept: an answer that comes late, or after another, then belongs to no later
 * request, and no request is lost to a connection that the endpoint closes while it is idle.
 */
import { request, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { EndpointCall, EndpointCallHandlers, SendState } from '../../../types/relay/index.js';

/** Options of {@link openEndpointCall}. */
export interface OpenEndpointCallOptions extends Omit<EndpointCallHandlers, 'onHead'> {
  readonly onResponse: (response: IncomingMessage) => void;
  readonly address: string;
  readonly method: string;
  readonly url: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** A line break before a request, which servers pass over. */
const RESET_PROBE = '\r\n';

/** Longest wait for a connection; an endpoint's queue of connections that is full drops the opening. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Bytes that may come without any of the answer's body, such as of its head or between chunks. */
const MAXIMUM_BYTES_WITHOUT_BODY = 262_144;

/** Interim answers that may come before the answer. */
const MAXIMUM_INTERIM_RESPONSES = 256;

/** Tells whether only the end of the connection marks the end of an answer. */
function isEndedByConnection({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Tells whether a connection that has ended was reset rather than closed.
 *
 * The runtime reports a reset that arrives together with data as an ordinary end. A write tells them
 * apart: it fails on a connection that was reset.
 */
function probeReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(RESET_PROBE, (error) => {
      resolve(error !== undefined && error !== null);
    });
  });
}

/**
 * Opens a call.
 *
 * @param options - where to, what, and the handlers
 * @returns the call
 * @example
 * openEndpointCall({ address, method: 'GET', url: '/', headers: [], body: undefined, ...handlers });
 */
export function openEndpointCall(options: OpenEndpointCallOptions): EndpointCall {
  const { address, method, url, headers, body, onResponse, onData, onEnd, onFailure } = options;
  const [host, port] = address.split(':');
  let isDone = false;
  let state: SendState = 'notSent';
  let response: IncomingMessage | undefined;
  let resetProbe: Promise<boolean> = Promise.resolve(false);
  const outgoing = request({
    host,
    port: Number(port),
    method,
    path: url,
    agent: false,
    headers: [...headers, 'Connection', 'close'],
  });
  const finish = (): boolean => {
    if (isDone) return false;
    isDone = true;
    clearTimeout(connectTimer);
    return true;
  };
  const fail = (reason: string): void => {
    if (!finish()) return;
    outgoing.destroy();
    onFailure(state, reason);
  };
  const endAfterProbe = async (): Promise<void> => {
    if (await resetProbe) fail('reset');
    else if (finish()) onEnd();
  };
  let bytesWithoutBody = 0;
  /** Ends a call whose head, framing or interim answers never end; the parser does not bound all. */
  const countBytes = (bytes: number): void => {
    bytesWithoutBody += bytes;
    if (bytesWithoutBody > MAXIMUM_BYTES_WITHOUT_BODY) fail('answer without a body');
  };
  let interimResponses = 0;
  const countInterimResponse = (): void => {
    interimResponses += 1;
    if (interimResponses > MAXIMUM_INTERIM_RESPONSES) fail('interim answers');
  };
  const connectTimer = setTimeout(() => {
    fail('connect timeout');
  }, CONNECT_TIMEOUT_MILLISECONDS);
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    socket.once('connect', () => {
      state = 'sent';
      clearTimeout(connectTimer);
    });
    socket.on('data', (chunk: Buffer) => {
      countBytes(chunk.length);
    });
    socket.prependOnceListener('end', () => {
      if (response && isEndedByConnection(response)) resetProbe = probeReset(socket);
    });
  });
  outgoing.on('information', countInterimResponse);
  outgoing.on('error', (error) => {
    // Bytes after a whole answer belong to no request, and take nothing from it.
    if (!response?.complete) fail(error.message);
  });
  outgoing.on('response', (incoming) => {
    response = incoming;
    if (isDone) return;
    onResponse(incoming);
    incoming.on('data', (chunk: Buffer) => {
      bytesWithoutBody = 0;
      if (!isDone) onData(chunk);
    });
    incoming.on('error', (error) => {
      fail(error.message);
    });
    incoming.on('end', () => {
      if (!incoming.complete) fail('answer incomplete');
      else if (isEndedByConnection(incoming)) void endAfterProbe();
      else if (finish()) onEnd();
    });
    incoming.on('close', () => {
      if (!incoming.complete) fail('closed');
    });
  });
  outgoing.end(body);
  return {
    abort: () => {
      if (finish()) outgoing.destroy();
    },
    pause: () => {
      response?.pause();
    },
    resume: () => {
      response?.resume();
    },
  };
}
