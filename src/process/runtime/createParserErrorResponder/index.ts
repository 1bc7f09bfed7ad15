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
   * Tracks a request as open until its response has ended; returns false when nothing is answered after an error
   * of its connection.
   */
  readonly admit: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** Responds to an error of the HTTP parser, and closes the connection, after a response that is due. */
  readonly respond: (error: NodeJS.ErrnoException, socket: Duplex) => void;
}

/** Result codes of requests that cannot be parsed, by the error code of the runtime. */
const PARSER_ERROR_CODES: Readonly<Record<string, ResultCodeName>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'bodyTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'bodyTimeout',
};

/** Ends a connection after the response that is due or being sent on it. */
function closeAfter(response: ServerResponse, socket: Duplex): void {
  if (!response.headersSent) response.setHeader('Connection', 'close');
  response.once('close', () => {
    // Ends the connection also where the head of the response promised to keep it.
    socket.end();
  });
}

/**
 * Creates the responder of a server.
 *
 * While a completely received request of the connection is open, the caller would take the response for that
 * of the open request. The open request is answered then, and nothing after it.
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
  const openRequests = new WeakMap<Duplex, Map<IncomingMessage, ServerResponse>>();
  /** Connections that are closed after the response that is due. */
  const endedConnections = new WeakSet<Duplex>();
  const findDueResponse = (socket: Duplex): ServerResponse | undefined => {
    const complete = [...(openRequests.get(socket) ?? [])].filter(([request]) => request.complete);
    return complete.at(-1)?.[1];
  };
  return {
    admit: (request, response) => {
      const { socket } = request;
      if (endedConnections.has(socket)) {
        // The rest of a request that came too late must not cut the response that is due.
        if (!findDueResponse(socket)) socket.destroy();
        return false;
      }
      const requests = openRequests.get(socket) ?? new Map<IncomingMessage, ServerResponse>();
      openRequests.set(socket, requests);
      requests.set(request, response);
      response.once('close', () => {
        requests.delete(request);
      });
      return true;
    },
    respond: (error, socket) => {
      if (!socket.writable || socket.readableEnded) {
        socket.destroy();
        return;
      }
      // The parser reports each further chunk of the connection.
      if (endedConnections.has(socket)) return;
      endedConnections.add(socket);
      const due = findDueResponse(socket);
      if (due) {
        onClose('afterRequest');
        closeAfter(due, socket);
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
      onClose(name);
      socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
    },
  };
}
