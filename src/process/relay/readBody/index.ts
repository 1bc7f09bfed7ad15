/**
 * Reader of the body of a caller's request.
 */
import type { IncomingMessage } from 'node:http';
import type { MemoryReservation } from '../createBodyMemoryLimit/index.js';

/** Outcome of reading a body. */
export type BodyOutcome =
  | { readonly kind: 'complete'; readonly body: Buffer | undefined }
  | { readonly kind: 'tooLarge' }
  /** The memory limit of all bodies is reached. */
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'disconnected' };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maximumBytes: number;
  readonly timeoutMilliseconds: number;
  readonly memory: Pick<MemoryReservation, 'add'>;
}

/**
 * Reads a complete body.
 *
 * @param incoming - the caller's request
 * @param options - maximum size in bytes, time limit in milliseconds and the memory reservation
 * @returns the body, which is undefined when the request has none, or why it was not read
 * @example
 * await readBody(incoming, { maximumBytes: 4_194_304, timeoutMilliseconds: 3_000, memory });
 */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BodyOutcome> {
  const { maximumBytes, timeoutMilliseconds, memory } = options;
  const { headers } = incoming;
  const length = Number(headers['content-length'] ?? 0);
  const hasBody =
    headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
  if (length > maximumBytes) return Promise.resolve({ kind: 'tooLarge' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let isDone = false;
    const finish = (outcome: BodyOutcome): void => {
      isDone = true;
      clearTimeout(timer);
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      finish({ kind: 'timeout' });
    }, timeoutMilliseconds);
    incoming.on('data', (chunk: Buffer) => {
      // Bytes after the outcome must not reserve memory again, which nothing would release.
      if (isDone) return;
      size += chunk.length;
      if (size > maximumBytes) finish({ kind: 'tooLarge' });
      else if (!memory.add(chunk.length)) finish({ kind: 'noMemory' });
      else chunks.push(chunk);
    });
    incoming.on('end', () => {
      finish({ kind: 'complete', body: hasBody ? Buffer.concat(chunks) : undefined });
    });
    incoming.on('error', () => {
      finish({ kind: 'disconnected' });
    });
    incoming.on('close', () => {
      finish({ kind: 'disconnected' });
    });
  });
}
