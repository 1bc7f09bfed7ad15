/**
 * Buffer of a body that arrives in pieces.
 *
 * Protects against bodies in very small chunks: each piece that the parser emits is an object, and a view on a read of
 * up to 64 KB. The pieces are copied into blocks, so that a body costs at most about twice its bytes.
 */

/** Why a piece is not stored. */
export type BodyBufferRefusal = 'tooLarge' | 'tooManyChunks' | 'noMemory';

/** Buffer of one body. */
export interface BodyBuffer {
  /** Stores a piece; returns why it cannot be stored. */
  readonly append: (piece: Buffer) => BodyBufferRefusal | undefined;
  /** Returns the body; nothing may be appended afterwards. */
  readonly join: () => Buffer;
  /** Drops the stored bytes. */
  readonly clear: () => void;
}

/** Options of {@link createBodyBuffer}. */
export interface CreateBodyBufferOptions {
  readonly maximumBytes: number;
  readonly maximumChunks: number;
  /** Reserves memory for a block of so many bytes; returns false without room. */
  readonly reserve: (bytes: number) => boolean;
}

/**
 * Maximum number of pieces of a response. A sound response has far fewer; each piece costs processor time, which one
 * without an end would take from all other requests.
 */
export const MAXIMUM_RESPONSE_CHUNKS = 131_072;
const MINIMUM_BLOCK_BYTES = 1_024;
/** A block is as large as all before it up to this size, so that few are needed and little of the last is unused. */
const MAXIMUM_BLOCK_BYTES = 262_144;

/**
 * Creates an empty buffer.
 *
 * @param options - maximum size in bytes and number of pieces, and the memory reservation
 * @returns the buffer
 * @example
 * createBodyBuffer({ maximumBytes: 4_096, maximumChunks: 64, reserve: () => true }).join();
 */
export function createBodyBuffer(options: CreateBodyBufferOptions): BodyBuffer {
  const { maximumBytes, maximumChunks, reserve } = options;
  let blocks: Buffer[] = [];
  let size = 0;
  let chunks = 0;
  /** Bytes of the last block that are in use. */
  let used = 0;
  const addBlock = (needed: number): boolean => {
    const preferred = Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, size));
    const bytes = Math.max(needed, Math.min(preferred, maximumBytes - size));
    if (!reserve(bytes)) return false;
    blocks.push(Buffer.allocUnsafeSlow(bytes));
    used = 0;
    return true;
  };
  return {
    append: (piece) => {
      chunks += 1;
      if (size + piece.length > maximumBytes) return 'tooLarge';
      if (chunks > maximumChunks) return 'tooManyChunks';
      let taken = 0;
      while (taken < piece.length) {
        const block = blocks.at(-1);
        const copied = block ? piece.copy(block, used, taken) : 0;
        taken += copied;
        used += copied;
        size += copied;
        if (taken < piece.length && !addBlock(piece.length - taken)) return 'noMemory';
      }
      return undefined;
    },
    join: () => {
      const [first] = blocks;
      if (first && blocks.length === 1) return first.subarray(0, size);
      return Buffer.concat(blocks, size);
    },
    clear: () => {
      blocks = [];
    },
  };
}
