/**
 * Refusal of a request for which the process has no room.
 */
import type { ServerResponse } from 'node:http';
import { formatError } from '../../../request/createErrorResponse/index.js';
import { RESULT_CODES } from '../../resultCodes/index.js';

const RETRY_AFTER_SECONDS = 0.5;

/**
 * Refuses a request as not run, and closes its connection after the response.
 *
 * @param response - response that has not begun
 * @returns nothing
 * @example
 * if (!guard.admit(request, response)) refuseOverloaded(response);
 */
export function refuseOverloaded(response: ServerResponse): void {
  response.writeHead(RESULT_CODES.overloaded.httpStatus, {
    'Content-Type': 'application/json',
    'Retry-After': RETRY_AFTER_SECONDS.toFixed(2),
    Connection: 'close',
  });
  response.end(formatError('overloaded'));
}
