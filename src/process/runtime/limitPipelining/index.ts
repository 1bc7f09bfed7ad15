/**
 * Back-pressure on pipelined requests of a connection of an HTTP server.
 *
 * Protects against callers that send thousands of requests without reading responses: the parser handles all
 * requests of a read before a pause of the socket takes effect.
 */
import type { Socket } from 'node:net';

/** Options of {@link limitPipelining}. */
export interface LimitPipeliningOptions {
  /** Returns whether the next request of the connection must wait. */
  readonly isFull: () => boolean;
  /** Called with the bytes that wait until earlier requests are answered. */
  readonly onWait: (bytes: number) => void;
}

/** Parsing of one connection. */
export interface RequestGate {
  /** Continues after a response has ended, unless the connection is still full. */
  readonly resume: () => void;
}

/** Socket with the flag of the HTTP server that pauses it while too many bytes of responses wait. */
type ServerSocket = Socket & { readonly _paused?: boolean };

/** End of a head: the line break before its blank line, and the blank line. */
const HEAD_END = Buffer.from('\n\r\n');
/** Limit of a slice, so that a paused body stops soon after the pause, in bytes. */
const MAXIMUM_SLICE_BYTES = 16_384;

function findSliceEnd(bytes: Buffer, start: number): number {
  const limit = Math.min(bytes.length, start + MAXIMUM_SLICE_BYTES);
  const found = bytes.subarray(start, limit).indexOf(HEAD_END);
  return found === -1 ? limit : start + found + HEAD_END.length;
}

/**
 * Passes the bytes of a connection to the HTTP server in slices that end where a head may end, and only while
 * the connection may have another request. Must be called by a listener for new connections of the server.
 *
 * @param connection - connection that the HTTP server has begun to read
 * @param options - whether the connection is full, and the receiver of the number of waiting bytes
 * @returns the gate
 * @example
 * server.on('connection', (socket) => limitPipelining(socket, { isFull, onWait }));
 */
export function limitPipelining(
  connection: Socket,
  { isFull, onWait }: LimitPipeliningOptions,
): RequestGate {
  const socket: ServerSocket = connection;
  const parsers = socket.listeners('data') as ((bytes: Buffer) => void)[];
  socket.removeAllListeners('data');
  let isWaiting = false;
  // The HTTP server expects no bytes between its own pause and the end of that.
  const mayParse = (): boolean => !isFull() && !socket.isPaused() && socket._paused !== true;
  const keep = (rest: Buffer): void => {
    isWaiting = isFull();
    // A flowing socket would emit the rest at once.
    socket.pause();
    socket.unshift(rest);
    onWait(socket.readableLength);
  };
  socket.on('data', (bytes: Buffer) => {
    let start = 0;
    while (start < bytes.length && !socket.destroyed) {
      if (!mayParse()) {
        keep(bytes.subarray(start));
        return;
      }
      const end = findSliceEnd(bytes, start);
      const slice = bytes.subarray(start, end);
      for (const parse of parsers) parse.call(socket, slice);
      start = end;
    }
    onWait(0);
  });
  return {
    resume: () => {
      if (!isWaiting || isFull() || socket.destroyed) return;
      isWaiting = false;
      if (socket._paused !== true) socket.resume();
    },
  };
}
