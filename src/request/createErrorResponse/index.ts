/**
 * Responses that report an error to a caller.
 */
import {
  RESULT_CODES,
  type RequestOutcome,
  type ResultCodeName,
} from '../../process/resultCodes/index.js';
import type { NodeEffect } from '../../types/node/index.js';

/** Options of {@link createErrorResponse}. */
export interface CreateErrorResponseOptions {
  readonly request: string;
  readonly code: ResultCodeName;
  readonly message?: string | undefined;
  readonly retryAfterMilliseconds?: number | undefined;
  /** Overrides the outcome of the result code, for example for a retry whose earlier try may have run. */
  readonly outcome?: RequestOutcome | undefined;
}

/**
 * Formats the body of an error response.
 *
 * @param code - name of the result code
 * @param message - what is wrong, where, and what to do
 * @param outcome - outcome that overrides the one of the result code
 * @returns the JSON text `{ error: { code, name, message, outcome } }`
 * @example
 * formatError('notFound', 'no model is named x');
 */
export function formatError(
  code: ResultCodeName,
  message?: string,
  outcome?: RequestOutcome,
): string {
  const { code: number, name, outcome: defaultOutcome, meaning } = RESULT_CODES[code];
  return JSON.stringify({
    error: { code: number, name, message: message ?? meaning, outcome: outcome ?? defaultOutcome },
  });
}

/**
 * Creates the effect that responds to a request with an error.
 *
 * @param options - the request, the result code and the retry delay in milliseconds
 * @returns the effect
 * @example
 * context.emit(createErrorResponse({ request, code: 'overloaded', retryAfterMilliseconds: 500 }));
 */
export function createErrorResponse(options: CreateErrorResponseOptions): NodeEffect {
  const { request, code, message, retryAfterMilliseconds, outcome } = options;
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  if (retryAfterMilliseconds !== undefined) {
    headers['retry-after'] = Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000)).toString();
  }
  const { httpStatus } = RESULT_CODES[code];
  return {
    kind: 'answer',
    request,
    status: httpStatus,
    headers,
    body: formatError(code, message, outcome),
  };
}

/**
 * Creates the effect that responds to a request with JSON.
 *
 * @param request - identifier of the request
 * @param status - HTTP status
 * @param value - the value to serialize as the response body
 * @returns the effect
 * @example
 * context.emit(createJsonResponse(request, 200, { ready: true }));
 */
export function createJsonResponse(request: string, status: number, value: unknown): NodeEffect {
  const headers = { 'content-type': 'application/json' };
  return { kind: 'answer', request, status, headers, body: JSON.stringify(value) };
}
