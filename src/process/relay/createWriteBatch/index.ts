/**
 * Batch of small pieces that are written to a connection together.
 *
 * Protects against many small events for a caller that does not read: each write that waits costs the runtime several
 * objects, far more than the bytes of an event. One write at a time is passed on; what comes meanwhile is copied into
 * blocks and becomes the next write.
 */
import { createBodyBuffer, type BodyBuffer } from '../../runtime/createBodyBuffer/index.js';

/** Batch of one connection. */
export interface WriteBatch {
  /** Adds a piece; pieces that are added in the same turn of the event loop are written together. */
  readonly add: (piece: Buffer) => void;
  /** Writes the pieces without waiting for the write in progress. */
  readonly flush: () => void;
  /** Returns the number of bytes that were not passed on yet. */
  readonly countBytes: () => number;
  /** Registers a callback that runs once when everything has been written. */
  readonly onceWritten: (action: () => void) => void;
}

/** Writes bytes, and calls back when they have been passed to the operating system. */
export type Write = (bytes: Buffer, onWritten: () => void) => void;

const UNLIMITED = {
  maximumBytes: Number.POSITIVE_INFINITY,
  maximumChunks: Number.POSITIVE_INFINITY,
  reserve: () => true,
};

/**
 * Creates an empty batch.
 *
 * @param write - writes bytes to the connection
 * @returns the batch
 * @example
 * createWriteBatch((bytes, done) => socket.write(bytes, done)).add(Buffer.from('id: 1\n\n'));
 */
export function createWriteBatch(write: Write): WriteBatch {
  /** The only piece; the buffer replaces it when another one follows. */
  let single: Buffer | undefined;
  let buffer: BodyBuffer | undefined;
  let bytes = 0;
  let writes = 0;
  let isScheduled = false;
  let actions: (() => void)[] = [];
  const recordWritten = (): void => {
    writes -= 1;
    if (bytes > 0) schedule();
    else if (writes === 0) runActions();
  };
  const runActions = (): void => {
    const due = actions;
    actions = [];
    for (const action of due) action();
  };
  const flush = (): void => {
    const joined = buffer?.join() ?? single;
    single = undefined;
    buffer = undefined;
    bytes = 0;
    if (!joined) return;
    writes += 1;
    write(joined, recordWritten);
  };
  const schedule = (): void => {
    if (isScheduled || writes > 0) return;
    isScheduled = true;
    queueMicrotask(() => {
      isScheduled = false;
      if (writes === 0) flush();
    });
  };
  const store = (piece: Buffer): void => {
    if (bytes === 0) {
      single = piece;
      return;
    }
    buffer ??= createBodyBuffer(UNLIMITED);
    if (single) buffer.append(single);
    single = undefined;
    buffer.append(piece);
  };
  return {
    add: (piece) => {
      if (piece.length === 0) return;
      store(piece);
      bytes += piece.length;
      schedule();
    },
    flush,
    countBytes: () => bytes,
    onceWritten: (action) => {
      actions.push(action);
    },
  };
}
