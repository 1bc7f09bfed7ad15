/**
 * Reading of a caller's body.
 */
import type { IncomingMessage } from 'node:http';
import type { MemoryReservation } from '../createBodyAllowance/index.js';

/** Outcome of reading a body. */
export type BodyOutcome =
  | { readonly kind: 'whole'; readonly body: Buffer | undefined }
  | { readonly kind: 'tooLarge' }
  /** There is no memory for it now. */
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'gone' };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maximumBytes: number;
  readonly timeoutMilliseconds: number;
  readonly memory: Pick<MemoryReservation, 'add'>;
}

/**
 * Reads a whole body.
 *
 * @param incoming - the caller's request
 * @param options - bounds on its size in bytes and its time in milliseconds, and memory for it
 * @returns the body, undefined when the request has none, or why there is none
 * @example
 * await readBody(incoming, { mostBytes: 4_194_304, timeoutMilliseconds: 3_000, memory });
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
    const finish = (outcome: BodyOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      finish({ kind: 'timeout' });
    }, timeoutMilliseconds);
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maximumBytes) finish({ kind: 'tooLarge' });
      else if (!memory.add(chunk.length)) finish({ kind: 'noMemory' });
      else chunks.push(chunk);
    });
    incoming.on('end', () => {
      finish({ kind: 'whole', body: hasBody ? Buffer.concat(chunks) : undefined });
    });
    incoming.on('error', () => {
      finish({ kind: 'gone' });
    });
    incoming.on('close', () => {
      finish({ kind: 'gone' });
    });
  });
}
