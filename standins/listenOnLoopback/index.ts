/**
 * Binds servers of any kind to the loopback interface.
 */
import type { Server } from 'node:net';

/** Options of {@link listenOnLoopback}. */
export interface ListenOnLoopbackOptions {
  /** Port; a free one by default. */
  readonly port?: number;
  /** Loopback address; 127.0.0.1 by default. */
  readonly host?: string;
}

/**
 * Starts a server on the loopback interface.
 *
 * @param server - server that is not listening
 * @param options - port and address
 * @returns host and port; rejects when the port is in use
 * @example
 * await listenOnLoopback(createServer()); // '127.0.0.1:40123'
 */
export async function listenOnLoopback(
  server: Server,
  { port = 0, host = '127.0.0.1' }: ListenOnLoopbackOptions = {},
): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const bound = server.address();
  return `${host}:${typeof bound === 'object' && bound ? bound.port : port}`;
}
