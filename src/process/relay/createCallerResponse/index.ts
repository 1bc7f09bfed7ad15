/**
 * Adapter from a Node.js HTTP response to the caller port of the relay.
 */
import type { ServerResponse } from 'node:http';
import type { AbortCause, CallerResponse } from '../../../types/relay/index.js';
import { createWriteBatch } from '../createWriteBatch/index.js';

/**
 * Creates the port to a caller on an HTTP connection.
 *
 * @param response - the HTTP response
 * @param onAbort - called with the cause before the response is aborted
 * @returns the port
 * @example
 * createCallerResponse(response, () => undefined).begin(200, []);
 */
export function createCallerResponse(
  response: ServerResponse,
  onAbort: (cause: AbortCause) => void,
): CallerResponse {
  const batch = createWriteBatch((bytes, onWritten) => {
    response.write(bytes, onWritten);
  });
  return {
    isOpen: () => !response.headersSent && !response.destroyed,
    begin: (status, headers) => {
      response.writeHead(status, [...headers]);
    },
    write: batch.add,
    end: (bytes) => {
      batch.flush();
      response.end(bytes);
    },
    abort: (cause) => {
      batch.flush();
      onAbort(cause);
      // Where only the end of the connection ends the body, an ordinary end would look complete.
      if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
      response.destroy();
    },
    countBufferedBytes: () => response.writableLength + batch.countBytes(),
    onceDrained: batch.onceWritten,
    onDisconnect: (action) => {
      response.on('close', () => {
        if (!response.writableFinished) action();
      });
    },
  };
}
