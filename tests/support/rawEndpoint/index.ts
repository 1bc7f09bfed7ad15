/**
 * Endpoint whose responses are written byte by byte, so that they may violate the protocol.
 */
import { createServer, type Socket } from 'node:net';
import { listenOnLoopback } from '../../../standins/listenOnLoopback/index.js';

/** Request that a {@link RawEndpoint} received. */
export interface RawRequest {
  /** Identifier of the attempt; empty when the request has none. */
  readonly attempt: string;
  /** Number of the last event that the caller has. */
  readonly lastEventId: number;
}

/** Writes the response to a request. */
export type RawResponder = (socket: Socket, request: RawRequest) => void;

/** Running endpoint. */
export interface RawEndpoint {
  readonly id: string;
  readonly address: string;
  /** Requests that it received, without those for its report. */
  readonly received: RawRequest[];
  /** Layers that it hosts, as it reports them. */
  readonly layers: { readonly from: number; readonly to: number };
  readonly close: () => Promise<void>;
}

const LAYERS = { from: 0, to: 4 };
const REPORT = JSON.stringify({
  sequence: 1,
  busy: false,
  layers: { ...LAYERS, version: 1 },
  pace: 1,
  stalled: [],
});
const REPORT_RESPONSE = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${REPORT.length}\r\n\r\n${REPORT}`;
const HEAD_END = '\r\n\r\n';

function readField(head: string, name: string): string {
  return new RegExp(`^${name}: (.*)\r$`, 'im').exec(head)?.[1] ?? '';
}

/** Calls back with the head of a request once its body has arrived. */
function readRequest(socket: Socket, onRequest: (head: string) => void): void {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
    const end = text.indexOf(HEAD_END);
    if (end < 0) return;
    const head = text.slice(0, end + HEAD_END.length);
    if (text.length < head.length + Number(readField(head, 'content-length'))) return;
    text = '';
    onRequest(head);
  });
}

/**
 * Serves an endpoint that returns valid reports and responds to other requests as a callback does.
 *
 * @param id - identifier of the endpoint
 * @param respond - writes the response to a request
 * @returns the endpoint
 * @example
 * await serveRawEndpoint('plain-1', (socket) => socket.end('HTTP/1.1 200 OK\r\n'));
 */
export async function serveRawEndpoint(id: string, respond: RawResponder): Promise<RawEndpoint> {
  const sockets = new Set<Socket>();
  const received: RawRequest[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    // Node.js resets connections that it no longer needs.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
    });
    socket.on('end', () => {
      socket.end();
    });
    readRequest(socket, (head) => {
      if (head.startsWith('GET /report ')) {
        socket.end(REPORT_RESPONSE);
        return;
      }
      const request = {
        attempt: readField(head, 'attempt-id'),
        lastEventId: Number(readField(head, 'last-event-id')),
      };
      received.push(request);
      respond(socket, request);
    });
  });
  const address = await listenOnLoopback(server);
  return {
    id,
    address,
    received,
    layers: LAYERS,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}
