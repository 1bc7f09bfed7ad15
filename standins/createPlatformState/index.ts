/**
 * In-memory state of the platform's key-value service and VM list.
 */
import type {
  PlatformEntry,
  PlatformCall,
  PlatformResult,
  Vm,
} from '../../src/types/platform/index.js';

/** Options of {@link createPlatformState}. */
export interface CreatePlatformStateOptions {
  /** Returns the present time in milliseconds. */
  readonly clock: () => number;
  /** Delay after which a change of the VM list becomes visible, in milliseconds. */
  readonly vmListLagMilliseconds?: number;
}

/** State of a platform. */
export interface PlatformState {
  /** Performs a call; returns undefined for a watch whose key has not changed. */
  readonly call: (call: PlatformCall) => PlatformResult | undefined;
  /** Calls a listener with each key that changes; returns a function that removes the listener. */
  readonly onChange: (listener: (key: string) => void) => () => void;
  readonly setVms: (vms: readonly Vm[]) => void;
  readonly listVms: () => readonly Vm[];
  /** Returns the number of calls by kind. */
  readonly counts: () => Record<string, number>;
  readonly entries: (prefix: string) => PlatformEntry[];
}

const MAXIMUM_VALUE_BYTES = 1_048_576;

/** Entry with the lease that it is bound to. */
interface StoredEntry extends PlatformEntry {
  readonly lease: string | undefined;
}

/**
 * Creates the state of a platform.
 *
 * Each write, to any key, increments the revision by one. A key that is bound to a lease is removed when
 * the lease expires.
 *
 * @param options - clock, and delay of the VM list
 * @returns the platform
 * @example
 * createPlatformState({ clock: () => performance.now() }).call({ kind: 'get', key: 'a' });
 */
export function createPlatformState(options: CreatePlatformStateOptions): PlatformState {
  const { clock, vmListLagMilliseconds = 0 } = options;
  const entries = new Map<string, StoredEntry>();
  const leases = new Map<string, { expiresAt: number; readonly milliseconds: number }>();
  const listeners = new Set<(key: string) => void>();
  const counts: Record<string, number> = {};
  let vmLists: { readonly at: number; readonly vms: readonly Vm[] }[] = [];
  let revision = 0;
  let leaseNumber = 0;

  const isLive = (lease: string): boolean => (leases.get(lease)?.expiresAt ?? 0) > clock();
  const find = (key: string): StoredEntry | undefined => {
    const stored = entries.get(key);
    if (stored?.lease === undefined || isLive(stored.lease)) return stored;
    entries.delete(key);
    return undefined;
  };
  const omitLease = ({ key, value, revision: at }: StoredEntry): PlatformEntry => ({
    key,
    value,
    revision: at,
  });
  const listEntries = (prefix: string): PlatformEntry[] =>
    [...entries.keys()]
      .filter((key) => key.startsWith(prefix))
      .flatMap((key) => find(key) ?? [])
      .map(omitLease);
  const compareAndSwap = (
    call: Extract<PlatformCall, { kind: 'compareAndSwap' }>,
  ): PlatformResult => {
    const current = find(call.key);
    const isTooLarge = Buffer.byteLength(call.value) > MAXIMUM_VALUE_BYTES;
    if (isTooLarge || (call.lease !== undefined && !isLive(call.lease))) return { kind: 'refused' };
    if ((current?.revision ?? 0) !== call.expectedRevision) {
      return { kind: 'conflict', entry: current ? omitLease(current) : null };
    }
    revision += 1;
    entries.set(call.key, { key: call.key, value: call.value, revision, lease: call.lease });
    for (const listener of [...listeners]) listener(call.key);
    return { kind: 'swapped', revision };
  };
  const readVms = (): readonly Vm[] => {
    const visible = vmLists.filter(({ at }) => at <= clock() - vmListLagMilliseconds);
    vmLists = vmLists.slice(Math.max(0, visible.length - 1));
    return visible.at(-1)?.vms ?? [];
  };
  const HANDLERS: {
    [Kind in PlatformCall['kind']]: (
      call: Extract<PlatformCall, { kind: Kind }>,
    ) => PlatformResult | undefined;
  } = {
    get: ({ key }) => {
      const stored = find(key);
      return { kind: 'entry', entry: stored ? omitLease(stored) : null };
    },
    list: ({ prefix }) => ({ kind: 'entries', entries: listEntries(prefix) }),
    compareAndSwap,
    grantLease: ({ milliseconds }) => {
      leaseNumber += 1;
      const lease = `lease-${leaseNumber.toString()}`;
      leases.set(lease, { expiresAt: clock() + milliseconds, milliseconds });
      return { kind: 'lease', lease };
    },
    renewLease: ({ lease }) => {
      const known = leases.get(lease);
      if (!known || !isLive(lease)) return { kind: 'renewed', live: false };
      known.expiresAt = clock() + known.milliseconds;
      return { kind: 'renewed', live: true };
    },
    watch: ({ key, afterRevision }) => {
      const stored = find(key);
      if (!stored || stored.revision <= afterRevision) return undefined;
      return { kind: 'entry', entry: omitLease(stored) };
    },
    listVms: () => ({ kind: 'vms', vms: [...readVms()] }),
  };

  return {
    call: (call) => {
      counts[call.kind] = (counts[call.kind] ?? 0) + 1;
      const handler = HANDLERS[call.kind] as (made: PlatformCall) => PlatformResult | undefined;
      return handler(call);
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    setVms: (vms) => {
      vmLists.push({ at: vmLists.length === 0 ? -Infinity : clock(), vms });
    },
    listVms: () => vmLists.at(-1)?.vms ?? [],
    counts: () => counts,
    entries: listEntries,
  };
}
