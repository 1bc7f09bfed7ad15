/**
 * Answers that report an error to a caller.
 */
import {
  RESULT_CODES,
  type RequestOutcome,
  type ResultCodeName,
} from '../../process/resultCodes/index.js';
import type { NodeEffect } from '../../types/node/index.js';

/** Options of {@link answerError}. */
export interface AnswerErrorOptions {
  readonly request: string;
  readonly code: ResultCodeName;
  readonly message?: string | undefined;
  readonly retryAfterMilliseconds?: number | undefined;
  /** Outcome when it differs from the code's own, as for a retry whose earlier try may have run. */
  readonly outcome?: RequestOutcome | undefined;
}

/**
 * Formats the body of an error.
 *
 * @param code - name of the result code
 * @param message - what is wrong, where, and what to do
 * @param outcome - outcome when it differs from the code's own
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
 * Creates the effect that answers a request with an error.
 *
 * @param options - the request, the code, and when to come back in milliseconds
 * @returns the effect
 * @example
 * context.emit(answerError({ request, code: 'overloaded', retryAfterMilliseconds: 500 }));
 */
export function answerError(options: AnswerErrorOptions): NodeEffect {
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
 * Creates the effect that answers a request with JSON.
 *
 * @param request - identifier of the request
 * @param status - HTTP status
 * @param value - the value to send
 * @returns the effect
 * @example
 * context.emit(answerJson(request, 200, { ready: true }));
 */
export function answerJson(request: string, status: number, value: unknown): NodeEffect {
  const headers = { 'content-type': 'application/json' };
  return { kind: 'answer', request, status, headers, body: JSON.stringify(value) };
}
