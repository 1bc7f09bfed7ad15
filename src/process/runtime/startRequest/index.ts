/**
 * Start of an HTTP request whose address and headers may be ones that the runtime refuses.
 */
import { request, type ClientRequest, type RequestOptions } from 'node:http';
import { Result } from 'true-myth';
import { describeError } from '../../describeError/index.js';
import { splitAddress } from '../splitAddress/index.js';

/**
 * Starts a request; the runtime throws on a port, a header or a path that cannot be sent.
 *
 * @param address - host and port
 * @param options - method, path, headers and agent
 * @returns the request, or why nothing of it can be sent
 * @example
 * startRequest('10.0.0.1:80', { method: 'GET', path: '/' }).isOk; // true
 */
export function startRequest(
  address: string,
  options: RequestOptions,
): Result<ClientRequest, string> {
  const target = splitAddress(address);
  if (!target) return Result.err(`no address to connect to: ${JSON.stringify(address)}`);
  try {
    return Result.ok(request({ ...options, ...target }));
  } catch (error) {
    return Result.err(describeError(error));
  }
}
