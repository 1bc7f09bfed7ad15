/**
 * Account of the memory that callers make a process hold, with one budget for all connections.
 *
 * Protects against callers that stay connected with unfinished bodies, unread responses and pipelined requests.
 */

/** What a connection holds: open requests, bodies, the unparsed rest of a read, or bytes that wait for the reader. */
export const HELD_KINDS = ['request', 'body', 'unparsed', 'response'] as const;
export type HeldKind = (typeof HELD_KINDS)[number];

/** Share that has no room for more bytes. */
export type ExceededShare = 'connection' | 'account' | 'total';

/** Bytes that one connection holds. */
export interface MemoryHolder {
  /**
   * Holds more bytes; returns the share that has no room for them, after closing connections without progress
   * did not make any. Nothing is held then.
   */
  readonly hold: (kind: HeldKind, bytes: number) => ExceededShare | undefined;
  /** Releases bytes that are held. */
  readonly release: (kind: HeldKind, bytes: number) => void;
  /** Returns the bytes that are held, of one kind or of all. */
  readonly countHeld: (kind?: HeldKind) => number;
  /** Counts the held bytes for a client account from now on; returns false, and does not, without room in its share. */
  readonly assignAccount: (account: string) => boolean;
  /** Records that bytes of a body arrived, or that the caller read bytes. */
  readonly recordProgress: () => void;
  /** Sets the number of requests that were passed on and have no complete response. */
  readonly setRunning: (requests: number) => void;
  /** Releases everything; further calls have no effect. */
  readonly close: () => void;
}

/** Memory account of one process. */
export interface MemoryAccount {
  /** Adds a connection; `evict` is called when it is closed to make room, after its bytes were released. */
  readonly openHolder: (evict: (kind: HeldKind) => void) => MemoryHolder;
  /** Returns the bytes that are held, of one kind or of all. */
  readonly countHeld: (kind?: HeldKind) => number;
  /** Returns the number of client accounts that hold bytes. */
  readonly countAccounts: () => number;
}

/** Options of {@link createMemoryAccount}. */
export interface CreateMemoryAccountOptions {
  /** Maximum of all connections together, in bytes. */
  readonly totalBytes: number;
  /** Maximum of one connection, in bytes. */
  readonly connectionBytes: number;
  /** Maximum of all connections of one client account, in bytes. */
  readonly accountBytes: number;
  /** Time without progress after which a connection may be closed to make room, in milliseconds. */
  readonly stallMilliseconds: number;
  /** Returns the time in milliseconds. */
  readonly now: () => number;
}

/** State of one connection. */
interface HolderState {
  readonly bytes: Record<HeldKind, number>;
  readonly evict: (kind: HeldKind) => void;
  account: string | undefined;
  progressedAt: number;
  running: number;
  isClosed: boolean;
}

function createCounts(): Record<HeldKind, number> {
  return { request: 0, body: 0, unparsed: 0, response: 0 };
}

function sumCounts(bytes: Readonly<Record<HeldKind, number>>): number {
  return bytes.request + bytes.body + bytes.unparsed + bytes.response;
}

/** Returns the kind of bytes for which an idle connection may be closed; undefined when it may not be closed. */
function findEvictionCause({ bytes, running }: HolderState): HeldKind | undefined {
  if (bytes.response > 0) return 'response';
  return bytes.body > 0 && running === 0 ? 'body' : undefined;
}

/**
 * Creates an empty account.
 *
 * @param options - the shares in bytes, the time without progress in milliseconds and the clock
 * @returns the account
 * @example
 * createMemoryAccount(options).openHolder(() => socket.destroy()).hold('body', 4_096); // undefined
 */
export function createMemoryAccount(options: CreateMemoryAccountOptions): MemoryAccount {
  const { totalBytes, connectionBytes, accountBytes, stallMilliseconds, now } = options;
  const holders = new Set<HolderState>();
  const totals = createCounts();
  const accounts = new Map<string, number>();

  const addToAccount = (account: string | undefined, bytes: number): void => {
    if (account === undefined || bytes === 0) return;
    const held = (accounts.get(account) ?? 0) + bytes;
    if (held > 0) accounts.set(account, held);
    else accounts.delete(account);
  };
  const add = (holder: HolderState, kind: HeldKind, bytes: number): void => {
    holder.bytes[kind] += bytes;
    totals[kind] += bytes;
    addToAccount(holder.account, bytes);
  };
  const close = (holder: HolderState): void => {
    for (const kind of HELD_KINDS) add(holder, kind, -holder.bytes[kind]);
    holder.isClosed = true;
    holders.delete(holder);
  };
  /** Returns how many more bytes an account would hold than its share. */
  const findExcess = (account: string | undefined, bytes: number): number =>
    account === undefined ? 0 : (accounts.get(account) ?? 0) + bytes - accountBytes;
  /** Lists connections without progress whose bytes count, those with the most bytes first. */
  const listEvictable = (asking: HolderState, account: string | undefined): HolderState[] => {
    const progressedBefore = now() - stallMilliseconds;
    return [...holders]
      .filter(
        (holder) =>
          holder !== asking &&
          holder.progressedAt <= progressedBefore &&
          (account === undefined || holder.account === account) &&
          findEvictionCause(holder) !== undefined,
      )
      .sort((first, second) => sumCounts(second.bytes) - sumCounts(first.bytes));
  };
  /** Returns whether closing connections without progress can free so many bytes. */
  const canFree = (asking: HolderState, missing: number, account?: string): boolean =>
    missing <= 0 ||
    listEvictable(asking, account).reduce((sum, { bytes }) => sum + sumCounts(bytes), 0) >= missing;
  const free = (asking: HolderState, missing: number, account?: string): void => {
    if (missing <= 0) return;
    let freed = 0;
    for (const holder of listEvictable(asking, account)) {
      if (freed >= missing) break;
      const kind = findEvictionCause(holder) ?? 'request';
      freed += sumCounts(holder.bytes);
      close(holder);
      holder.evict(kind);
    }
  };

  const createHolder = (holder: HolderState): MemoryHolder => ({
    hold: (kind, bytes) => {
      if (holder.isClosed) return 'connection';
      if (sumCounts(holder.bytes) + bytes > connectionBytes) return 'connection';
      const { account } = holder;
      const findMissing = (): number => sumCounts(totals) + bytes - totalBytes;
      // Both are checked before either closes a connection, so that none is closed for a refusal.
      if (!canFree(holder, findExcess(account, bytes), account)) return 'account';
      if (!canFree(holder, findMissing())) return 'total';
      free(holder, findExcess(account, bytes), account);
      free(holder, findMissing());
      add(holder, kind, bytes);
      return undefined;
    },
    release: (kind, bytes) => {
      if (!holder.isClosed) add(holder, kind, -Math.min(bytes, holder.bytes[kind]));
    },
    countHeld: (kind) => (kind === undefined ? sumCounts(holder.bytes) : holder.bytes[kind]),
    assignAccount: (account) => {
      if (holder.isClosed) return false;
      if (holder.account === account) return true;
      const bytes = sumCounts(holder.bytes);
      if (!canFree(holder, findExcess(account, bytes), account)) return false;
      free(holder, findExcess(account, bytes), account);
      addToAccount(holder.account, -bytes);
      holder.account = account;
      addToAccount(account, bytes);
      return true;
    },
    recordProgress: () => {
      holder.progressedAt = now();
    },
    setRunning: (requests) => {
      holder.running = requests;
    },
    close: () => {
      if (!holder.isClosed) close(holder);
    },
  });

  return {
    openHolder: (evict) => {
      const holder: HolderState = {
        bytes: createCounts(),
        evict,
        account: undefined,
        progressedAt: now(),
        running: 0,
        isClosed: false,
      };
      holders.add(holder);
      return createHolder(holder);
    },
    countHeld: (kind) => (kind === undefined ? sumCounts(totals) : totals[kind]),
    countAccounts: () => accounts.size,
  };
}
