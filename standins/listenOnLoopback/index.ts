/**
 * Listening on loopback, for servers of any kind.
 */
import type { Server } from 'node:net';

/** Options of {@link listenOnLoopback}. */
export interface ListenOnLoopbackOptions {
  /** Port; any free one by default. */
  readonly port?: number;
  /** Address of loopback; 127.0.0.1 by default. */
  readonly host?: string;
}

/**
 * Lets a server listen on loopback.
 *
 * @param server - the server, which does not listen yet
 * @param options - where
 * @returns host and port; rejects when the port is taken
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
