/**
 * Start of HTTP requests whose address, path and headers may come from other machines.
 */
import { request, type ClientRequest, type RequestOptions } from 'node:http';
import { Result } from 'true-myth';

/**
 * Starts a request.
 *
 * The runtime throws on an invalid port, path or header; callers of this function may run in a callback, where
 * nothing would catch that.
 *
 * @param options - options of the runtime's request
 * @returns the request, or why it is invalid; nothing has been sent then
 * @example
 * tryRequest({ host: '127.0.0.1', port: 99_999 }).isErr; // true
 */
export function tryRequest(options: RequestOptions): Result<ClientRequest, string> {
  try {
    return Result.ok(request(options));
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}
