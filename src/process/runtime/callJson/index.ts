/**
 * HTTP calls with a JSON body and a JSON response.
 */
import type { Agent } from 'node:http';
import { parseJson } from '../../parseJson/index.js';
import { closeIdleConnections } from '../closeIdleConnections/index.js';
import { createBodyBuffer, MAXIMUM_RESPONSE_CHUNKS } from '../createBodyBuffer/index.js';
import { isFinalStatus } from '../isFinalStatus/index.js';
import { startRequest } from '../startRequest/index.js';
import { startTimeLimit } from '../startTimeLimit/index.js';

/** Options of {@link callJson}. */
export interface CallJsonOptions {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  /** Time limit of the call, or, with `maximumMilliseconds`, of a call without any progress. */
  readonly timeoutMilliseconds: number;
  /**
   * Time limit of a call whose response goes on arriving; by default, such a call has no more time than any other. A long response takes its
   * time on a slow link, and a repeated call would transfer it again from its beginning.
   */
  readonly maximumMilliseconds?: number;
  /**
   * Time limit instead of `timeoutMilliseconds` for a call over a connection that the agent kept from earlier calls.
   * Such a connection may be dead without a sign; a new one proves with its handshake that it is not.
   */
  readonly reusedTimeoutMilliseconds?: number;
  readonly agent?: Agent | false;
  readonly headers?: Readonly<Record<string, string>>;
  /** Maximum size of the response body, in bytes. */
  readonly maximumResponseBytes?: number;
}

/** Result of a call: a response, or whether the request can have been sent. */
export type JsonResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: NodeJS.Dict<string | string[]>;
      readonly value: unknown;
    }
  | { readonly kind: 'notSent'; readonly reason: string }
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Whether the call used a connection that the agent kept from earlier calls; false by default. */
      readonly isReused?: boolean;
    };

const MAXIMUM_RESPONSE_BYTES = 32 * 1_024 * 1_024;

/**
 * Makes one call and waits for the complete response.
 *
 * Never rejects: the result of a failed call says whether the call can have been executed. When a call fails over a
 * connection that the agent kept, the agent's idle connections are closed, because they may be dead for the same reason.
 *
 * @param options - address, request, and time limits in milliseconds
 * @returns the result
 * @example
 * await callJson({ address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMilliseconds: 500 });
 */
export function callJson(options: CallJsonOptions): Promise<JsonResult> {
  const { address, method, path, body, timeoutMilliseconds, agent = false, headers } = options;
  const { maximumResponseBytes = MAXIMUM_RESPONSE_BYTES, maximumMilliseconds = 0 } = options;
  const { reusedTimeoutMilliseconds = timeoutMilliseconds } = options;
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const startedAt = performance.now();
    let isConnected = false;
    let isDone = false;
    let size = 0;
    const started = startRequest(address, {
      method,
      path,
      agent,
      headers: {
        ...(text !== undefined && {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text),
        }),
        ...headers,
      },
    });
    if (started.isErr) {
      resolve({ kind: 'notSent', reason: started.error });
      return;
    }
    const outgoing = started.value;
    const finish = (result: JsonResult): void => {
      isDone = true;
      cancelLimit();
      resolve(result);
    };
    const fail = (reason: string): void => {
      if (isDone) return;
      const isReused = outgoing.reusedSocket;
      if (isReused && agent) closeIdleConnections(agent);
      finish(
        isConnected
          ? { kind: 'unknown', reason, ...(isReused && { isReused }) }
          : { kind: 'notSent', reason },
      );
    };
    const startLimit = (milliseconds: number): (() => void) => {
      const sizeBefore = size;
      return startTimeLimit(milliseconds, () => {
        if (size > sizeBefore && performance.now() - startedAt < maximumMilliseconds) {
          cancelLimit = startLimit(milliseconds);
          return;
        }
        fail(`timeout after ${milliseconds} ms`);
        outgoing.destroy();
      });
    };
    let cancelLimit = startLimit(timeoutMilliseconds);
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        // A reused connection is connected already; a listener on it would never be removed.
        isConnected = true;
        cancelLimit();
        cancelLimit = startLimit(reusedTimeoutMilliseconds);
        return;
      }
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    outgoing.on('error', (error) => {
      fail(error.message);
    });
    outgoing.on('response', (response) => {
      const { statusCode: status, headers: responseHeaders } = response;
      if (!isFinalStatus(status)) {
        fail(`invalid status ${status}`);
        outgoing.destroy();
        return;
      }
      const received = createBodyBuffer({
        maximumBytes: maximumResponseBytes,
        maximumChunks: MAXIMUM_RESPONSE_CHUNKS,
        reserve: () => true,
      });
      response.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (received.append(chunk) === undefined) return;
        received.clear();
        outgoing.destroy(new Error(`response exceeds ${maximumResponseBytes} bytes`));
      });
      response.on('error', (error) => {
        fail(error.message);
      });
      response.on('end', () => {
        const value = parseJson(received.join().toString('utf8'));
        finish({ kind: 'answered', status, headers: responseHeaders, value });
      });
    });
    outgoing.end(text);
  });
}
