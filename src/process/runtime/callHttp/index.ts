/**
 * Buffered HTTP calls whose result says whether the request can have reached the other side.
 */
import type http from 'node:http';
import { closeIdleConnections } from '../closeIdleConnections/index.js';
import { createBodyBuffer, MAXIMUM_RESPONSE_CHUNKS } from '../createBodyBuffer/index.js';
import { isFinalStatus } from '../isFinalStatus/index.js';
import { startRequest } from '../startRequest/index.js';

/** Options of {@link callHttp}. */
export interface CallHttpOptions {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMilliseconds: number;
  readonly agent?: http.Agent;
}

/** Result of a call; `sent` is false only when no byte can have reached the other side. */
export type HttpResult =
  | {
      readonly kind: 'reply';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly kind: 'failed'; readonly sent: boolean };

const MAXIMUM_RESPONSE_BYTES = 8_388_608;

/**
 * Calls an address over HTTP.
 *
 * Without an agent, the call opens a new connection, which is not reused. When a call fails over a connection that the
 * agent kept, the agent's idle connections are closed, because they may be dead for the same reason.
 *
 * @param options - address, request, and timeout in milliseconds
 * @param done - called once with the response or the failure
 * @returns a function that cancels the call
 * @example
 * callHttp({ address: '127.0.0.1:8080', method: 'GET', path: '/report', timeoutMilliseconds: 900 }, done);
 */
export function callHttp(options: CallHttpOptions, done: (result: HttpResult) => void): () => void {
  const [host = '', port = '80'] = options.address.split(':');
  let isConnected = false;
  let isDone = false;
  const finish = (result: HttpResult): void => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    done(result);
  };
  const fail = (): void => {
    // The end of a response is followed by the close of its stream, which is no failure.
    if (isDone) return;
    if (request.reusedSocket && options.agent) closeIdleConnections(options.agent);
    finish({ kind: 'failed', sent: isConnected });
  };
  const body = options.body ?? '';
  const started = startRequest(`${host}:${port}`, {
    method: options.method,
    path: options.path,
    headers: {
      ...options.headers,
      ...(body !== '' && { 'content-length': Buffer.byteLength(body).toString() }),
    },
    agent: options.agent ?? false,
  });
  if (started.isErr) {
    const turn = setImmediate(() => {
      done({ kind: 'failed', sent: false });
    });
    return () => {
      clearImmediate(turn);
    };
  }
  const request = started.value;
  const timer = setTimeout(() => {
    request.destroy(
      new Error(`the call did not complete within ${options.timeoutMilliseconds} ms`),
    );
  }, options.timeoutMilliseconds);
  request.on('socket', (socket) => {
    isConnected = !socket.connecting;
    if (isConnected) return;
    socket.once('connect', () => {
      isConnected = true;
    });
  });
  let hasResponse = false;
  request.on('error', fail);
  request.on('close', () => {
    // Node.js reports no error when it closes the connection of a response with status 101.
    if (!hasResponse) fail();
  });
  request.on('response', (response) => {
    hasResponse = true;
    const { statusCode: status } = response;
    if (!isFinalStatus(status)) {
      fail();
      request.destroy();
      return;
    }
    const received = createBodyBuffer({
      maximumBytes: MAXIMUM_RESPONSE_BYTES,
      maximumChunks: MAXIMUM_RESPONSE_CHUNKS,
      reserve: () => true,
    });
    response.on('data', (chunk: Buffer) => {
      if (received.append(chunk) === undefined) return;
      received.clear();
      request.destroy();
    });
    response.on('error', fail);
    response.on('close', fail);
    response.on('end', () => {
      if (!response.complete) {
        fail();
        return;
      }
      finish({
        kind: 'reply',
        status,
        contentType: response.headers['content-type'] ?? '',
        body: received.join().toString('utf8'),
      });
    });
  });
  request.end(body === '' ? undefined : body);
  return () => {
    request.destroy();
  };
}
