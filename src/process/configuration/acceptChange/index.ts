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
import type { ConfigurationStore } from '../createConfiguration/index.js';
import { HEAD_KEY, nameShardKey, readHead } from '../storedConfiguration/index.js';

/** Why a change was not accepted, or not known to be. */
export type ChangeFailure = ChangeRefusal | { readonly kind: 'unavailable' | 'unsettled' };

/** An accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  /** Number of peers that hold the revision besides this node. */
  readonly peers: number;
}

/** Options of {@link createAcceptor}. */
export interface CreateAcceptorOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationStore;
  /** Peers that get an accepted change before it is answered. */
  readonly choosePeers: () => readonly Member[];
}

/** Accepts changes on one node. */
export interface Acceptor {
  readonly accept: (
    change: ConfigurationChange,
    done: (result: Result<AcceptedChange, ChangeFailure>) => void,
  ) => void;
}

type Done = (result: Result<AcceptedChange, ChangeFailure>) => void;

interface Work {
  readonly change: ConfigurationChange;
  readonly done: Done;
  tries: number;
  /** True once a swap of the head may have taken effect without our knowing. */
  isInDoubt: boolean;
}

const LARGEST_TRIES = 12;
const RETRY_MILLISECONDS = 150;
const OFFER_MILLISECONDS = 500;
const CHANGES_REMEMBERED = 256;
const RETIRED_SHARD_MILLISECONDS = 600_000;

function replaceHead(
  head: ConfigurationHead,
  change: ConfigurationChange,
  next: Configuration,
  stored: readonly StoredShard[],
): ConfigurationHead {
  return {
    revision: next.revision,
    shards: stored.map(({ name, digest }) => ({ name, digest })),
    changes: [...head.changes, change.id].slice(-CHANGES_REMEMBERED),
  };
}

/**
 * Creates the acceptor of one node.
 *
 * A change is accepted when the compare-and-swap of the head is confirmed. A lost reply is settled
 * by reading the head back and looking for the change's id, and by repeating the swap under the
 * same id; an id is applied once.
 *
 * @param options - the context, the configuration and the peers to offer to
 * @returns the acceptor
 * @example
 * createAcceptor({ context, configuration, choosePeers }).accept(change, (result) => answer(result));
 */
export function createAcceptor(options: CreateAcceptorOptions): Acceptor {
  const { context, configuration } = options;

  const finish = (work: Work, revision: number): void => {
    configuration.offer(options.choosePeers(), OFFER_MILLISECONDS, (peers) => {
      work.done(Result.ok({ revision, peers }));
    });
  };
  const fail = (work: Work): void => {
    work.done(Result.err({ kind: work.isInDoubt ? 'unsettled' : 'unavailable' }));
  };
  const again = (work: Work): void => {
    work.tries += 1;
    if (work.tries >= LARGEST_TRIES) {
      fail(work);
      return;
    }
    const delay = RETRY_MILLISECONDS * context.random() * work.tries;
    context.schedule(delay, () => {
      readHeadAndApply(work);
    });
  };
  const retireShards = (previous: ConfigurationHead, next: ConfigurationHead): void => {
    const kept = new Set(next.shards.map(({ digest }) => digest));
    const dropped = previous.shards.filter(({ digest }) => !kept.has(digest));
    if (dropped.length === 0) return;
    const milliseconds = RETIRED_SHARD_MILLISECONDS;
    context.callPlatform({ kind: 'grantLease', milliseconds }, (granted) => {
      if (granted.kind !== 'lease') return;
      for (const { digest } of dropped) retireShard(nameShardKey(digest), granted.lease);
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
    work: Work,
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
        takeSwap(work, result, previous, next);
      },
    );
  };
  const takeSwap = (
    work: Work,
    result: PlatformResult,
    previous: ConfigurationHead,
    next: ConfigurationHead,
  ): void => {
    if (result.kind === 'swapped') {
      configuration.takeHead(next);
      retireShards(previous, next);
      finish(work, next.revision);
      return;
    }
    if (result.kind === 'unknown') work.isInDoubt = true;
    again(work);
  };
  const writeShards = (
    stored: readonly StoredShard[],
    done: (isWritten: boolean) => void,
  ): void => {
    let awaited = stored.length;
    let isWritten = true;
    const settle = (result: PlatformResult): void => {
      isWritten &&= result.kind === 'swapped' || result.kind === 'conflict';
      awaited -= 1;
      if (awaited === 0) done(isWritten);
    };
    for (const { digest, text } of stored) {
      const key = nameShardKey(digest);
      context.callPlatform(
        { kind: 'compareAndSwap', key, expectedRevision: 0, value: text },
        (result) => {
          keepShard(key, text, result, settle);
        },
      );
    }
  };
  /** A shard that is there already may stand under a lease that ends it: it is written anew. */
  const keepShard = (
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
  const applyTo = (work: Work, entry: PlatformEntry | null): void => {
    const { head, configuration: base } = configuration.inForce();
    const applied = applyOperations(base, work.change);
    if (applied.isErr) {
      work.done(Result.err(work.isInDoubt ? { kind: 'unsettled' } : applied.error));
      return;
    }
    const stored = splitShards(applied.value);
    const known = new Set(head.shards.map(({ digest }) => digest));
    const fresh = stored.filter(({ digest }) => !known.has(digest) || !entry);
    const next = replaceHead(head, work.change, applied.value, stored);
    for (const { text } of fresh) configuration.addShard(text);
    writeShards(fresh.length > 0 ? fresh : stored.slice(0, 1), (isWritten) => {
      if (isWritten) swapHead(work, entry, head, next);
      else again(work);
    });
  };
  const readHeadAndApply = (work: Work): void => {
    context.callPlatform({ kind: 'get', key: HEAD_KEY }, (result) => {
      if (result.kind !== 'entry') {
        again(work);
        return;
      }
      const head = result.entry ? readHead(result.entry.value) : undefined;
      if (!head) {
        applyTo(work, result.entry);
        return;
      }
      configuration.takeHead(head, () => {
        if (head.changes.includes(work.change.id)) {
          finish(work, head.revision);
          return;
        }
        if (configuration.inForce().head.revision < head.revision) again(work);
        else applyTo(work, result.entry);
      });
    });
  };

  return {
    accept: (change, done) => {
      readHeadAndApply({ change, done, tries: 0, isInDoubt: false });
    },
  };
}
