/**
 * Reader of the body of a caller's request.
 */
import type { IncomingMessage } from 'node:http';
import { createBodyBuffer } from '../../runtime/createBodyBuffer/index.js';
import type { MemoryReservation } from '../createBodyMemoryLimit/index.js';

/** Outcome of reading a body. */
export type BodyOutcome =
  | { readonly kind: 'complete'; readonly body: Buffer | undefined }
  | { readonly kind: 'tooLarge' }
  /** The body arrived in more pieces than allowed. */
  | { readonly kind: 'tooManyChunks' }
  /** The memory limit of all bodies is reached. */
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'disconnected' };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maximumBytes: number;
  /** Maximum number of pieces in which the body may arrive. */
  readonly maximumChunks: number;
  readonly timeoutMilliseconds: number;
  /** Called when bytes arrived. */
  readonly onProgress?: () => void;
  readonly memory: Pick<MemoryReservation, 'add'>;
}

/**
 * Reads a complete body.
 *
 * @param incoming - the caller's request
 * @param options - maximum size in bytes and in pieces, time limit in milliseconds and the memory reservation
 * @returns the body, which is undefined when the request has none, or why it was not read
 * @example
 * await readBody(incoming, { maximumBytes, maximumChunks, timeoutMilliseconds: 3_000, memory });
 */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BodyOutcome> {
  const { maximumBytes, maximumChunks, timeoutMilliseconds, memory, onProgress } = options;
  const { headers } = incoming;
  const length = Number(headers['content-length'] ?? 0);
  const hasBody =
    headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
  if (length > maximumBytes) return Promise.resolve({ kind: 'tooLarge' });
  return new Promise((resolve) => {
    const buffer = createBodyBuffer({ maximumBytes, maximumChunks, reserve: memory.add });
    let isDone = false;
    const finish = (outcome: BodyOutcome): void => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      buffer.clear();
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      finish({ kind: 'timeout' });
    }, timeoutMilliseconds);
    incoming.on('data', (chunk: Buffer) => {
      // Bytes after the outcome must not reserve memory again, which nothing would release.
      if (isDone) return;
      onProgress?.();
      const refusal = buffer.append(chunk);
      if (refusal) finish({ kind: refusal });
    });
    incoming.on('end', () => {
      finish({ kind: 'complete', body: hasBody ? buffer.join() : undefined });
    });
    incoming.on('error', () => {
      finish({ kind: 'disconnected' });
    });
    incoming.on('close', () => {
      finish({ kind: 'disconnected' });
    });
  });
}
