/**
 * Final answers to callers.
 */
import { formatError } from '../../../request/answerError/index.js';
import type { CallerResponse } from '../../../types/relay/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';

/** Options of {@link sendFailure}. */
export interface SendFailureOptions {
  readonly code: ResultCodeName;
  /** When the caller may come back, in seconds. */
  readonly retryAfterSeconds?: number | undefined;
  readonly closes?: boolean;
}

/**
 * Answers with a failure, unless an answer has begun or the caller has gone.
 *
 * @param response - the caller's response
 * @param options - the result code and when to come back
 * @returns nothing
 * @example
 * sendFailure(response, { code: 'overloaded', retryAfterSeconds: 0.5 });
 */
export function sendFailure(response: CallerResponse, options: SendFailureOptions): void {
  const { code, retryAfterSeconds, closes = false } = options;
  if (!response.isOpen()) return;
  const body = formatError(code);
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    `${Buffer.byteLength(body)}`,
  ];
  if (retryAfterSeconds !== undefined) headers.push('Retry-After', retryAfterSeconds.toFixed(2));
  if (closes) headers.push('Connection', 'close');
  response.begin(RESULT_CODES[code].httpStatus, headers);
  response.end(body);
}

/** An endpoint's whole answer, with headers for the caller. */
export interface BufferedResponse {
  readonly status: number;
  /** Flat list of names and values, without the length. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Sends an endpoint's whole answer.
 *
 * @param response - the caller's response
 * @param answer - status, headers and body
 * @returns nothing
 * @example
 * sendBufferedResponse(response, { status: 200, headers: [], body });
 */
export function sendBufferedResponse(response: CallerResponse, answer: BufferedResponse): void {
  const { status, headers, body } = answer;
  response.begin(status, [...headers, 'Content-Length', String(body.length)]);
  response.end(body);
}
