/**
 * Sends an HTTP request of which only the status is needed.
 */
import { request } from 'node:http';

/**
 * Requests a path and reads the complete response.
 *
 * @param address - host and port
 * @param path - the path
 * @param headers - request headers
 * @returns the status code, or 0 when no complete response arrived
 * @example
 * await fetchStatus('127.0.0.1:8080', '/readyz', {}); // 200
 */
export function fetchStatus(
  address: string,
  path: string,
  headers: Record<string, string>,
): Promise<number> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = request({ host, port: Number(port), path, headers, agent: false });
    outgoing.on('error', () => {
      resolve(0);
    });
    outgoing.on('response', (incoming) => {
      incoming.resume();
      incoming.on('close', () => {
        resolve(incoming.complete ? (incoming.statusCode ?? 0) : 0);
      });
    });
    outgoing.end();
  });
}
