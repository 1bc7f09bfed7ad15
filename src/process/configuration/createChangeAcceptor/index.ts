/**
 * Acceptance of operators' changes.
 */
import { Result } from 'true-myth';
import type {
  ConfigurationChange,
  Configuration,
  ConfigurationHead,
} from '../../../types/configuration/index.js';
import type { Member } from '../../../types/peer/index.js';
import type { PlatformEntry, PlatformResult } from '../../../types/platform/index.js';
import { applyOperations, type ChangeRefusal } from '../../../version/applyOperations/index.js';
import { splitShards, type StoredShard } from '../../../version/splitShards/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { ConfigurationStore } from '../createConfigurationStore/index.js';
import { HEAD_KEY, nameShardKey, readHead } from '../storedConfiguration/index.js';

/** Reason why a change was not accepted, or why its acceptance is unknown. */
export type ChangeFailure = ChangeRefusal | { readonly kind: 'unavailable' | 'unsettled' };

/** An accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  /** Number of peers that have applied the revision, besides this node. */
  readonly peers: number;
}

/** Options of {@link createChangeAcceptor}. */
export interface CreateChangeAcceptorOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationStore;
  /** Peers that receive an accepted change before the response is sent. */
  readonly choosePeers: () => readonly Member[];
}

/** Acceptor of changes on one node. */
export interface ChangeAcceptor {
  readonly accept: (
    change: ConfigurationChange,
    done: (result: Result<AcceptedChange, ChangeFailure>) => void,
  ) => void;
}

type Done = (result: Result<AcceptedChange, ChangeFailure>) => void;

interface PendingChange {
  readonly change: ConfigurationChange;
  readonly done: Done;
  tries: number;
  /** True once a swap of the head has an unknown result and may have taken effect. */
  isInDoubt: boolean;
}

const MAXIMUM_TRIES = 12;
const RETRY_DELAY_MILLISECONDS = 150;
const OFFER_TIMEOUT_MILLISECONDS = 500;
const REMEMBERED_CHANGES = 256;
const RETIRED_SHARD_MILLISECONDS = 600_000;

function buildNextHead(
  head: ConfigurationHead,
  change: ConfigurationChange,
  next: Configuration,
  stored: readonly StoredShard[],
): ConfigurationHead {
  return {
    revision: next.revision,
    shards: stored.map(({ name, digest }) => ({ name, digest })),
    changes: [...head.changes, change.id].slice(-REMEMBERED_CHANGES),
  };
}

/**
 * Creates the component of a node that accepts operators' changes of the configuration.
 *
 * A change is accepted when the compare-and-swap of the head is confirmed. After a lost reply, the
 * head is read and searched for the change's id, and the swap is repeated under the same id when it
 * is missing; each id is applied once.
 *
 * @param options - the context, the configuration and the peers that receive offers
 * @returns the acceptor
 * @example
 * createChangeAcceptor({ context, configuration, choosePeers }).accept(change, (result) => respond(result));
 */
export function createChangeAcceptor(options: CreateChangeAcceptorOptions): ChangeAcceptor {
  const { context, configuration } = options;

  const finish = (pending: PendingChange, revision: number): void => {
    configuration.offer(options.choosePeers(), OFFER_TIMEOUT_MILLISECONDS, (peers) => {
      pending.done(Result.ok({ revision, peers }));
    });
  };
  const fail = (pending: PendingChange): void => {
    pending.done(Result.err({ kind: pending.isInDoubt ? 'unsettled' : 'unavailable' }));
  };
  const retry = (pending: PendingChange): void => {
    pending.tries += 1;
    if (pending.tries >= MAXIMUM_TRIES) {
      fail(pending);
      return;
    }
    const delay = RETRY_DELAY_MILLISECONDS * context.random() * pending.tries;
    context.schedule(delay, () => {
      readHeadAndApply(pending);
    });
  };
  const retireShards = (previous: ConfigurationHead, next: ConfigurationHead): void => {
    const retained = new Set(next.shards.map(({ digest }) => digest));
    const unused = previous.shards.filter(({ digest }) => !retained.has(digest));
    if (unused.length === 0) return;
    const milliseconds = RETIRED_SHARD_MILLISECONDS;
    context.callPlatform({ kind: 'grantLease', milliseconds }, (granted) => {
      if (granted.kind !== 'lease') return;
      for (const { digest } of unused) retireShard(nameShardKey(digest), granted.lease);
    });
  };
  const retireShard = (key: string, lease: string): void => {
    context.callPlatform({ kind: 'get', key }, (result) => {
      if (result.kind !== 'entry' || !result.entry) return;
      const { value, revision: expectedRevision } = result.entry;
      context.callPlatform(
        { kind: 'compareAndSwap', key, expectedRevision, value, lease },
        () => undefined,
      );
    });
  };
  const swapHead = (
    pending: PendingChange,
    entry: PlatformEntry | null,
    previous: ConfigurationHead,
    next: ConfigurationHead,
  ): void => {
    const value = JSON.stringify(next);
    context.callPlatform(
      {
        kind: 'compareAndSwap',
        key: HEAD_KEY,
        expectedRevision: entry?.revision ?? 0,
        value,
      },
      (result) => {
        handleSwapResult(pending, result, previous, next);
      },
    );
  };
  const handleSwapResult = (
    pending: PendingChange,
    result: PlatformResult,
    previous: ConfigurationHead,
    next: ConfigurationHead,
  ): void => {
    if (result.kind === 'swapped') {
      configuration.applyHead(next);
      retireShards(previous, next);
      finish(pending, next.revision);
      return;
    }
    if (result.kind === 'unknown') pending.isInDoubt = true;
    retry(pending);
  };
  const writeShards = (
    stored: readonly StoredShard[],
    done: (isWritten: boolean) => void,
  ): void => {
    let pendingWrites = stored.length;
    let isWritten = true;
    const settle = (result: PlatformResult): void => {
      isWritten &&= result.kind === 'swapped' || result.kind === 'conflict';
      pendingWrites -= 1;
      if (pendingWrites === 0) done(isWritten);
    };
    for (const { digest, text } of stored) {
      const key = nameShardKey(digest);
      context.callPlatform(
        { kind: 'compareAndSwap', key, expectedRevision: 0, value: text },
        (result) => {
          retainShard(key, text, result, settle);
        },
      );
    }
  };
  /** Rewrites an existing shard without a lease, because it may be stored under one that expires. */
  const retainShard = (
    key: string,
    value: string,
    result: PlatformResult,
    done: (result: PlatformResult) => void,
  ): void => {
    if (result.kind !== 'conflict' || !result.entry) {
      done(result);
      return;
    }
    const expectedRevision = result.entry.revision;
    context.callPlatform({ kind: 'compareAndSwap', key, expectedRevision, value }, done);
  };
  const applyTo = (pending: PendingChange, entry: PlatformEntry | null): void => {
    const { head, configuration: base } = configuration.getActive();
    const applied = applyOperations(base, pending.change);
    if (applied.isErr) {
      pending.done(Result.err(pending.isInDoubt ? { kind: 'unsettled' } : applied.error));
      return;
    }
    const stored = splitShards(applied.value);
    const known = new Set(head.shards.map(({ digest }) => digest));
    const newShards = stored.filter(({ digest }) => !known.has(digest) || !entry);
    const next = buildNextHead(head, pending.change, applied.value, stored);
    for (const { text } of newShards) configuration.addShard(text);
    writeShards(newShards.length > 0 ? newShards : stored.slice(0, 1), (isWritten) => {
      if (isWritten) swapHead(pending, entry, head, next);
      else retry(pending);
    });
  };
  const readHeadAndApply = (pending: PendingChange): void => {
    context.callPlatform({ kind: 'get', key: HEAD_KEY }, (result) => {
      if (result.kind !== 'entry') {
        retry(pending);
        return;
      }
      const head = result.entry ? readHead(result.entry.value) : undefined;
      if (!head) {
        applyTo(pending, result.entry);
        return;
      }
      configuration.applyHead(head, () => {
        if (head.changes.includes(pending.change.id)) {
          finish(pending, head.revision);
          return;
        }
        if (configuration.getActive().head.revision < head.revision) retry(pending);
        else applyTo(pending, result.entry);
      });
    });
  };

  return {
    accept: (change, done) => {
      readHeadAndApply({ change, done, tries: 0, isInDoubt: false });
    },
  };
}
