/**
 * Callers that make a process hold as much as they can: they send without reading, and stay connected.
 */
import { connect, type Socket } from 'node:net';

/** Address that callers connect to. */
export interface TargetAddress {
  readonly host: string;
  readonly port: number;
}

/** Callers of one kind, each on its own connection. */
export interface UntrustedCallers {
  /** Resolves when the target takes nothing more, or has closed every connection. */
  readonly settle: () => Promise<void>;
  readonly countOpen: () => number;
  readonly close: () => void;
}

/** Options of {@link startCallers}. */
export interface StartCallersOptions {
  readonly target: TargetAddress;
  readonly connections: number;
  /** Bytes that each caller sends, block by block. */
  readonly blocks: readonly Buffer[];
}

const CHECK_MILLISECONDS = 250;
/** Number of checks without progress after which nothing more is sent. */
const QUIET_CHECKS = 6;
const MAXIMUM_CHECKS = 80;

function countSentBytes(sockets: readonly Socket[]): number {
  return sockets.reduce(
    (sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength,
    0,
  );
}

/**
 * Connects callers that send their blocks and read nothing.
 *
 * @param options - target, number of connections and what each sends
 * @returns the callers
 * @example
 * await startCallers({ target, connections: 10, blocks }).settle();
 */
export function startCallers(options: StartCallersOptions): UntrustedCallers {
  const { target, connections, blocks } = options;
  const sockets = Array.from({ length: connections }, () => {
    const socket = connect({ ...target, allowHalfOpen: true });
    socket.pause();
    socket.on('error', () => undefined);
    for (const block of blocks) socket.write(block);
    return socket;
  });
  const countOpen = (): number => sockets.filter(({ destroyed }) => !destroyed).length;
  const describeProgress = (): string => `${countOpen()} ${countSentBytes(sockets)}`;
  return {
    countOpen,
    settle: async () => {
      let last = '';
      for (let check = 0, quiet = 0; check < MAXIMUM_CHECKS && quiet < QUIET_CHECKS; check += 1) {
        await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
        const progress = describeProgress();
        quiet = progress === last ? quiet + 1 : 0;
        last = progress;
      }
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/**
 * Returns the bytes of a request whose chunked body stops short of its end.
 *
 * @param head - request line and headers without those of the body
 * @param chunkBytes - size of each chunk in bytes
 * @param chunks - number of chunks
 * @returns the head, and the chunks in one block
 * @example
 * formatUnfinishedBody('POST /book/1 HTTP/1.1\r\nHost: a\r\n', 2, 100_000);
 */
export function formatUnfinishedBody(head: string, chunkBytes: number, chunks: number): Buffer[] {
  const chunk = `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`;
  return [
    Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`),
    Buffer.from(chunk.repeat(chunks)),
  ];
}
