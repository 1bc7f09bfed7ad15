/**
 * One small HTTP call with a JSON body and a JSON answer.
 */
import { request, type Agent } from 'node:http';
import { parseJson } from '../../parseJson/index.js';

/** Options of {@link callJson}. */
export interface CallJsonOptions {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMilliseconds: number;
  readonly agent?: Agent | false;
  readonly headers?: Readonly<Record<string, string>>;
  /** Longest answer, in bytes. */
  readonly mostAnswerBytes?: number;
}

/** Result of a call: an answer, or how far the call came without one. */
export type JsonResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: NodeJS.Dict<string | string[]>;
      readonly value: unknown;
    }
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

const MOST_ANSWER_BYTES = 32 * 1_024 * 1_024;

/**
 * Makes one call and waits for the whole answer.
 *
 * Never rejects: a failure is a result that says whether the call can have been carried out.
 *
 * @param options - where to, what, and how long to wait in milliseconds
 * @returns the result
 * @example
 * await callJson({ address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMilliseconds: 500 });
 */
export function callJson(options: CallJsonOptions): Promise<JsonResult> {
  const { address, method, path, body, timeoutMilliseconds, agent = false, headers } = options;
  const { mostAnswerBytes = MOST_ANSWER_BYTES } = options;
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    let isConnected = false;
    const outgoing = request({
      host,
      port: Number(port),
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
    const finish = (result: JsonResult): void => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (reason: string): void => {
      finish({ kind: isConnected ? 'unknown' : 'notSent', reason });
    };
    const timer = setTimeout(() => {
      fail('timeout');
      outgoing.destroy();
    }, timeoutMilliseconds);
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        // A kept connection; a listener on it would stay for good.
        isConnected = true;
        return;
      }
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    outgoing.on('error', (error) => {
      fail(error.message);
    });
    outgoing.on('response', (answer) => {
      const chunks: Buffer[] = [];
      let size = 0;
      answer.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size <= mostAnswerBytes) chunks.push(chunk);
        else outgoing.destroy(new Error('answer too large'));
      });
      answer.on('error', (error) => {
        fail(error.message);
      });
      answer.on('end', () => {
        const value = parseJson(Buffer.concat(chunks).toString('utf8'));
        const { statusCode: status = 0, headers: answerHeaders } = answer;
        finish({ kind: 'answered', status, headers: answerHeaders, value });
      });
    });
    outgoing.end(text);
  });
}
