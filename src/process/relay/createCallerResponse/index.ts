/**
 * A caller's HTTP response as the relay's port.
 */
import type { ServerResponse } from 'node:http';
import type { CallerResponse } from '../../../types/relay/index.js';

/**
 * Creates the port to a caller that waits on an HTTP connection.
 *
 * @param response - the response
 * @returns the port
 * @example
 * createCallerResponse(response).begin(200, []);
 */
export function createCallerResponse(response: ServerResponse): CallerResponse {
  return {
    isOpen: () => !response.headersSent && !response.destroyed,
    begin: (status, headers) => {
      response.writeHead(status, [...headers]);
    },
    write: (bytes) => {
      response.write(bytes);
    },
    end: (bytes) => {
      response.end(bytes);
    },
    abort: () => {
      response.destroy();
    },
    countBufferedBytes: () => response.writableLength,
    onceDrained: (action) => {
      response.once('drain', action);
    },
    onDisconnect: (action) => {
      response.on('close', () => {
        if (!response.writableFinished) action();
      });
    },
  };
}
