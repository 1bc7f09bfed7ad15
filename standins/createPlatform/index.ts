/**
 * State of the platform's key-value service and VM list, without a network.
 */
import type {
  PlatformEntry,
  PlatformCall,
  PlatformResult,
  Vm,
} from '../../src/types/platform/index.js';

/** Options of {@link createPlatform}. */
export interface CreatePlatformOptions {
  /** Present time in milliseconds. */
  readonly clock: () => number;
  /** Time by which the VM list lags behind, in milliseconds. */
  readonly vmListLagMilliseconds?: number;
}

/** The state of the platform. */
export interface Platform {
  /** Performs a call; a watch without news returns undefined. */
  readonly call: (call: PlatformCall) => PlatformResult | undefined;
  readonly onChange: (listener: (key: string) => void) => () => void;
  readonly setVms: (vms: readonly Vm[]) => void;
  readonly listVms: () => readonly Vm[];
  /** Number of calls by kind. */
  readonly counts: () => Record<string, number>;
  readonly entries: (prefix: string) => PlatformEntry[];
}

const LARGEST_VALUE_BYTES = 1_048_576;

interface Stored extends PlatformEntry {
  readonly lease: string | undefined;
}

/**
 * Creates the state of a platform.
 *
 * Revisions grow by one with every write over all keys. A key under a lease vanishes with the lease.
 *
 * @param options - clock and lag of the VM list
 * @returns the platform
 * @example
 * createPlatform({ clock: () => performance.now() }).call({ kind: 'get', key: 'a' });
 */
export function createPlatform(options: CreatePlatformOptions): Platform {
  const { clock, vmListLagMilliseconds = 0 } = options;
  const entries = new Map<string, Stored>();
  const leases = new Map<string, { until: number; readonly milliseconds: number }>();
  const listeners = new Set<(key: string) => void>();
  const counts: Record<string, number> = {};
  let vmLists: { readonly at: number; readonly vms: readonly Vm[] }[] = [];
  let revision = 0;
  let leaseNumber = 0;

  const isLive = (lease: string): boolean => (leases.get(lease)?.until ?? 0) > clock();
  const find = (key: string): Stored | undefined => {
    const stored = entries.get(key);
    if (stored?.lease === undefined || isLive(stored.lease)) return stored;
    entries.delete(key);
    return undefined;
  };
  const publish = ({ key, value, revision: at }: Stored): PlatformEntry => ({
    key,
    value,
    revision: at,
  });
  const list = (prefix: string): PlatformEntry[] =>
    [...entries.keys()]
      .filter((key) => key.startsWith(prefix))
      .flatMap((key) => find(key) ?? [])
      .map(publish);
  const swap = (call: Extract<PlatformCall, { kind: 'compareAndSwap' }>): PlatformResult => {
    const present = find(call.key);
    const isTooLarge = Buffer.byteLength(call.value) > LARGEST_VALUE_BYTES;
    if (isTooLarge || (call.lease !== undefined && !isLive(call.lease))) return { kind: 'refused' };
    if ((present?.revision ?? 0) !== call.expectedRevision) {
      return { kind: 'conflict', entry: present ? publish(present) : null };
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
      return { kind: 'entry', entry: stored ? publish(stored) : null };
    },
    list: ({ prefix }) => ({ kind: 'entries', entries: list(prefix) }),
    compareAndSwap: swap,
    grantLease: ({ milliseconds }) => {
      leaseNumber += 1;
      const lease = `lease-${leaseNumber.toString()}`;
      leases.set(lease, { until: clock() + milliseconds, milliseconds });
      return { kind: 'lease', lease };
    },
    renewLease: ({ lease }) => {
      const held = leases.get(lease);
      if (!held || !isLive(lease)) return { kind: 'renewed', live: false };
      held.until = clock() + held.milliseconds;
      return { kind: 'renewed', live: true };
    },
    watch: ({ key, afterRevision }) => {
      const stored = find(key);
      if (!stored || stored.revision <= afterRevision) return undefined;
      return { kind: 'entry', entry: publish(stored) };
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
    entries: list,
  };
}
