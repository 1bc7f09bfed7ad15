/**
 * Endpoints that send bytes without an end until the node closes the connection.
 */
import { createServer, type Socket } from 'node:net';
import { listenOnLoopback } from '../../../standins/listenOnLoopback/index.js';

/** Bytes that an endpoint writes: a start, and a piece repeated until the connection is closed. */
export interface EndlessBytes {
  readonly start: string;
  readonly piece: string;
}

/** What an endpoint sends to a request: bytes with or without an end, or nothing. */
export type Responder = (requestLine: string) => EndlessBytes;

/** Running endpoint. */
export interface EndlessEndpoint {
  readonly address: string;
  /** Sets what it sends from now on. */
  readonly setResponder: (responder: Responder) => void;
  readonly close: () => Promise<void>;
}

/** Size of a piece, in bytes, so that few writes carry many bytes. */
export const PIECE_BYTES = 16_384;

/** Repeats a text up to the size of a piece. */
export function fillPiece(text: string): string {
  return text.repeat(Math.ceil(PIECE_BYTES / text.length));
}

const STATUS = 'HTTP/1.1 200 OK\r\n';
const SEAL = 'Server-Seal: sealed\r\n';
const CHUNKED = `${STATUS}${SEAL}Transfer-Encoding: chunked\r\n\r\n`;
const FILLER = 'x'.repeat(PIECE_BYTES);
const HEADER_LINES = fillPiece(`Name: ${'x'.repeat(90)}\r\n`);
/** Chunks of one byte each. */
const TINY_CHUNKS = fillPiece('1\r\nx\r\n');

/** Responses of which one part has no end, by that part. */
export const ENDLESS_RESPONSES: Readonly<Record<string, EndlessBytes>> = {
  'a status line': { start: 'HTTP/1.1 200 ', piece: FILLER },
  'a header name': { start: STATUS, piece: FILLER },
  'a header value': { start: `${STATUS}Long: `, piece: FILLER },
  'header lines': { start: STATUS, piece: HEADER_LINES },
  'interim heads': { start: '', piece: fillPiece('HTTP/1.1 102 Processing\r\n\r\n') },
  'a body with a length': {
    start: `${STATUS}${SEAL}Content-Length: 99999999999\r\n\r\n`,
    piece: FILLER,
  },
  'a body without a length': { start: `${STATUS}${SEAL}\r\n`, piece: FILLER },
  'large chunks': { start: CHUNKED, piece: `${PIECE_BYTES.toString(16)}\r\n${FILLER}\r\n` },
  'chunks of one byte': { start: CHUNKED, piece: TINY_CHUNKS },
  'a chunk extension': { start: `${CHUNKED}1;`, piece: FILLER },
  trailers: { start: `${CHUNKED}0\r\n`, piece: HEADER_LINES },
  'bytes after the end': { start: `${STATUS}${SEAL}Content-Length: 4\r\n\r\ndone`, piece: FILLER },
};

const STREAM_FIELDS = `${STATUS}${SEAL}Content-Type: text/event-stream\r\n`;
const CHUNKED_STREAM = `${STREAM_FIELDS}Transfer-Encoding: chunked\r\n\r\n`;
const EVENT_START = 'id: 1\ndata: ';

/** Streams of which one part has no end, by that part. */
export const ENDLESS_STREAMS: Readonly<Record<string, EndlessBytes>> = {
  'an event': { start: `${STREAM_FIELDS}\r\n${EVENT_START}`, piece: FILLER },
  'an event in chunks of one byte': {
    start: `${CHUNKED_STREAM}${EVENT_START.length.toString(16)}\r\n${EVENT_START}\r\n`,
    piece: TINY_CHUNKS,
  },
  'a failure in chunks of one byte': {
    start: CHUNKED.replace('200 OK', '500 Failed'),
    piece: TINY_CHUNKS,
  },
  'header lines': { start: STATUS, piece: HEADER_LINES },
};

/** Serves an endpoint that sends nothing until it is told what. */
export async function serveEndlessEndpoint(): Promise<EndlessEndpoint> {
  const sockets = new Set<Socket>();
  let respond: Responder = () => ({ start: '', piece: '' });
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', (bytes: Buffer) => {
      const [requestLine = ''] = bytes.toString('latin1').split('\r\n');
      const { start, piece } = respond(requestLine);
      const write = (): void => {
        while (piece !== '' && !socket.destroyed) if (!socket.write(piece)) break;
      };
      socket.on('drain', write);
      if (start !== '') socket.write(start);
      write();
    });
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    setResponder: (responder) => {
      respond = responder;
    },
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}
