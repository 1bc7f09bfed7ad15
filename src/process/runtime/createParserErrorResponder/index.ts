/**
 * Responses to bytes on a caller's connection that are not a valid request.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatError } from '../../../request/createErrorResponse/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';

/** Why a connection is closed: the result code of the response, or that a request was open on it. */
export type ParserErrorCause = ResultCodeName | 'afterRequest';

/** Responder to invalid bytes, for the connections of one server. */
export interface ParserErrorResponder {
  /**
   * Tracks a request as open until its response has ended; returns false, and closes the connection,
   * when its response has already been sent as that to an error.
   */
  readonly admit: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** Responds to an error of the HTTP parser, and closes the connection. */
  readonly respond: (error: NodeJS.ErrnoException, socket: Duplex) => void;
}

/** Result codes of requests that cannot be parsed, by the error code of the runtime. */
const PARSER_ERROR_CODES: Readonly<Record<string, ResultCodeName>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'bodyTimeout',
};

/**
 * Creates the responder of a server.
 *
 * While a completely received request of the connection is open, the caller would take the response
 * for that of the open request, so the connection is closed instead.
 *
 * @param onClose - called with the cause when a connection is closed that its caller had not closed
 * @returns the responder
 * @example
 * const responder = createParserErrorResponder(console.log);
 * server.on('clientError', responder.respond);
 */
export function createParserErrorResponder(
  onClose: (cause: ParserErrorCause) => void = () => undefined,
): ParserErrorResponder {
  const openRequests = new WeakMap<Duplex, Set<IncomingMessage>>();
  /** Connections whose caller has a response that may promise that its request was not executed. */
  const endedConnections = new WeakSet<Duplex>();
  const hasCompleteRequest = (socket: Duplex): boolean =>
    [...(openRequests.get(socket) ?? [])].some(({ complete }) => complete);
  return {
    admit: (request, response) => {
      if (endedConnections.has(request.socket)) {
        request.socket.destroy();
        return false;
      }
      const requests = openRequests.get(request.socket) ?? new Set();
      openRequests.set(request.socket, requests);
      requests.add(request);
      response.once('close', () => {
        requests.delete(request);
      });
      return true;
    },
    respond: (error, socket) => {
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      if (hasCompleteRequest(socket)) {
        if (!socket.readableEnded) onClose('afterRequest');
        socket.destroy();
        return;
      }
      const name = PARSER_ERROR_CODES[error.code ?? ''] ?? 'malformedRequest';
      const { httpStatus } = RESULT_CODES[name];
      const body = formatError(name);
      const head = [
        `HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus] ?? ''}`,
        'Content-Type: application/json',
        `Content-Length: ${Buffer.byteLength(body)}`,
        'Connection: close',
      ];
      endedConnections.add(socket);
      onClose(name);
      socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
    },
  };
}
