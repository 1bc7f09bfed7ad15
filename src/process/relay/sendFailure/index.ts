/**
 * Final responses to callers.
 */
import { formatError } from '../../../request/createErrorResponse/index.js';
import type { CallerResponse } from '../../../types/relay/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';

/** Options of {@link sendFailure}. */
export interface SendFailureOptions {
  readonly code: ResultCodeName;
  /** Time after which the caller may retry, in seconds. */
  readonly retryAfterSeconds?: number | undefined;
  /** Whether the connection is closed after the response. */
  readonly closes?: boolean;
}

/**
 * Sends a failure response, unless a response has begun or the caller has disconnected.
 *
 * @param response - the caller's response
 * @param options - the result code, the `Retry-After` in seconds and whether to close
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

/** Complete response of an endpoint, with headers for the caller. */
export interface BufferedResponse {
  readonly status: number;
  /** Flat list of header names and values, without `Content-Length`. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Sends the complete response of an endpoint to the caller.
 *
 * @param response - the caller's response
 * @param endpointResponse - status, headers and body
 * @returns nothing
 * @example
 * sendBufferedResponse(response, { status: 200, headers: [], body });
 */
export function sendBufferedResponse(
  response: CallerResponse,
  endpointResponse: BufferedResponse,
): void {
  const { status, headers, body } = endpointResponse;
  response.begin(status, [...headers, 'Content-Length', String(body.length)]);
  response.end(body);
}
