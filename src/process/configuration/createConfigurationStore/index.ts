/**
 * Active configuration of a node: it is watched, fetched, offered to peers and applied.
 */
import { WATCH_TIMEOUT_MILLISECONDS } from '../../../constants/index.js';
import type { Configuration, ConfigurationHead } from '../../../types/configuration/index.js';
import type { Member, PeerMessage } from '../../../types/peer/index.js';
import type { PlatformResult } from '../../../types/platform/index.js';
import { digestText } from '../../../version/digestText/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import {
  buildConfiguration,
  HEAD_KEY,
  nameShardKey,
  readHead,
} from '../storedConfiguration/index.js';

/** The active configuration with the head that it was built from. */
export interface ActiveConfiguration {
  readonly head: ConfigurationHead;
  readonly configuration: Configuration;
}

/** Options of {@link createConfigurationStore}. */
export interface CreateConfigurationStoreOptions {
  readonly context: NodeContext;
  readonly findMember: (node: string) => Member | undefined;
  readonly onApplied: (configuration: Configuration) => void;
  /** Returns whether an offered revision replaces the active one. */
  readonly isNewer?: ((offeredRevision: number, activeRevision: number) => boolean) | undefined;
}

/** Messages that the configuration store handles. */
export type ConfigurationMessage = Extract<
  PeerMessage,
  { kind: 'configurationRequest' | 'configurationOffer' | 'configurationTaken' }
>;

/** Configuration store of one node. */
export interface ConfigurationStore {
  readonly start: () => void;
  readonly receive: (message: ConfigurationMessage) => void;
  readonly requestFrom: (peer: Member) => void;
  readonly getActive: () => ActiveConfiguration;
  /** Fetches the missing shards of a head and applies it; `done` is called also when this fails. */
  readonly applyHead: (head: ConfigurationHead, done?: () => void) => void;
  readonly addShard: (text: string) => void;
  /**
   * Offers the active configuration to peers; `done` receives the number of peers that applied it in
   * time.
   */
  readonly offer: (
    peers: readonly Member[],
    waitMilliseconds: number,
    done: (acceptedPeers: number) => void,
  ) => void;
}

const EMPTY_HEAD: ConfigurationHead = { revision: 0, shards: [], changes: [] };
const WATCH_RETRY_MILLISECONDS = 1_000;
const REQUEST_INTERVAL_MILLISECONDS = 500;

/**
 * Creates the configuration store of one node.
 *
 * A node applies only a revision that is higher than the active one, from the platform's watch and
 * from peers alike, and only when the digest of every shard matches.
 *
 * @param options - the context, the members, and the callback for an applied revision
 * @returns the configuration store
 * @example
 * createConfigurationStore({ context, findMember, onApplied }).start();
 */
export function createConfigurationStore(
  options: CreateConfigurationStoreOptions,
): ConfigurationStore {
  const {
    context,
    isNewer = (offeredRevision, activeRevision) => offeredRevision > activeRevision,
  } = options;
  const shards = new Map<string, string>();
  const offers = new Map<string, (node: string) => void>();
  let active: ActiveConfiguration = {
    head: EMPTY_HEAD,
    configuration: { revision: 0, objects: [], selectors: [] },
  };
  let requestedAt = -Infinity;
  let isStoreReachable = true;

  const listMissing = (head: ConfigurationHead): string[] =>
    head.shards.map(({ digest }) => digest).filter((digest) => !shards.has(digest));
  const removeUnusedShards = (): void => {
    const used = new Set(active.head.shards.map(({ digest }) => digest));
    for (const digest of shards.keys()) if (!used.has(digest)) shards.delete(digest);
  };
  const activate = (head: ConfigurationHead): void => {
    if (!isNewer(head.revision, active.head.revision)) return;
    active = { head, configuration: buildConfiguration(head, shards) };
    removeUnusedShards();
    context.log('info', 'configuration-applied', { revision: head.revision });
    options.onApplied(active.configuration);
  };
  const addShard = (text: string): void => {
    shards.set(digestText(text), text);
  };
  const fetchShards = (missing: readonly string[], done: () => void): void => {
    let pendingReads = missing.length;
    for (const digest of missing) {
      context.callPlatform({ kind: 'get', key: nameShardKey(digest) }, (result) => {
        const text = result.kind === 'entry' ? result.entry?.value : undefined;
        if (text !== undefined && digestText(text) === digest) addShard(text);
        pendingReads -= 1;
        if (pendingReads === 0) done();
      });
    }
  };
  const applyHead = (head: ConfigurationHead, done: () => void = () => undefined): void => {
    if (!isNewer(head.revision, active.head.revision)) {
      done();
      return;
    }
    const missing = listMissing(head);
    if (missing.length === 0) {
      activate(head);
      done();
      return;
    }
    fetchShards(missing, () => {
      if (listMissing(head).length === 0) activate(head);
      done();
    });
  };

  const applyWatchResult = (result: PlatformResult, knownRevision: number): number => {
    if (result.kind !== 'entry' || !result.entry) return knownRevision;
    const head = readHead(result.entry.value);
    if (!head) return knownRevision;
    if (head.revision < active.head.revision) {
      context.log('warn', 'stored-revision-is-lower', {
        stored: head.revision,
        inForce: active.head.revision,
      });
    }
    applyHead(head);
    return isNewer(head.revision, active.head.revision) ? knownRevision : result.entry.revision;
  };
  const watch = (knownRevision: number): void => {
    const waitMilliseconds = isStoreReachable ? WATCH_TIMEOUT_MILLISECONDS : 0;
    context.callPlatform(
      { kind: 'watch', key: HEAD_KEY, afterRevision: knownRevision, waitMilliseconds },
      (result) => {
        isStoreReachable = result.kind === 'entry';
        const next = applyWatchResult(result, knownRevision);
        if (isStoreReachable && next !== knownRevision) {
          watch(next);
          return;
        }
        const delay = isStoreReachable ? 50 : WATCH_RETRY_MILLISECONDS * (0.5 + context.random());
        context.schedule(delay, () => {
          watch(next);
        });
      },
      WATCH_TIMEOUT_MILLISECONDS + 2_000,
    );
  };

  const send = (peer: Member, message: PeerMessage): void => {
    context.emit({ kind: 'sendPeer', address: peer.peerAddress, message });
  };
  const createOffer = (offer: string, known: readonly string[]): PeerMessage => ({
    kind: 'configurationOffer',
    from: context.node,
    offer,
    head: active.head,
    shards: active.head.shards
      .filter(({ digest }) => !known.includes(digest))
      .map(({ digest }) => ({ digest, text: shards.get(digest) ?? '' })),
  });
  const HANDLERS: {
    [Kind in ConfigurationMessage['kind']]: (
      message: Extract<ConfigurationMessage, { kind: Kind }>,
    ) => void;
  } = {
    configurationRequest: (message) => {
      const peer = options.findMember(message.from);
      if (peer) send(peer, createOffer('', message.known));
    },
    configurationOffer: (message) => {
      for (const { text, digest } of message.shards) {
        if (digestText(text) === digest) addShard(text);
      }
      applyHead(message.head, () => {
        const peer = options.findMember(message.from);
        if (message.offer === '' || !peer) return;
        if (active.head.revision < message.head.revision) return;
        send(peer, { kind: 'configurationTaken', from: context.node, offer: message.offer });
      });
    },
    configurationTaken: (message) => {
      offers.get(message.offer)?.(message.from);
    },
  };

  return {
    start: () => {
      watch(0);
    },
    receive: (message) => {
      const handler = HANDLERS[message.kind] as (received: ConfigurationMessage) => void;
      handler(message);
    },
    requestFrom: (peer) => {
      if (context.now() - requestedAt < REQUEST_INTERVAL_MILLISECONDS) return;
      requestedAt = context.now();
      send(peer, { kind: 'configurationRequest', from: context.node, known: [...shards.keys()] });
    },
    getActive: () => active,
    applyHead,
    addShard,
    offer: (peers, waitMilliseconds, done) => {
      if (peers.length === 0) {
        done(0);
        return;
      }
      const offer = context.nextId('offer');
      const acceptedBy = new Set<string>();
      const finish = (): void => {
        if (!offers.delete(offer)) return;
        context.cancel(timer);
        done(acceptedBy.size);
      };
      const timer = context.schedule(waitMilliseconds, finish);
      offers.set(offer, (node) => {
        acceptedBy.add(node);
        if (acceptedBy.size === peers.length) finish();
      });
      for (const peer of peers) send(peer, createOffer(offer, []));
    },
  };
}
