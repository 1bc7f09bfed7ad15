/**
 * The configuration in force on a node: how it is watched, fetched, passed on and applied.
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

/** The configuration in force with the head and shards that it was built from. */
export interface InForce {
  readonly head: ConfigurationHead;
  readonly configuration: Configuration;
}

/** Options of {@link createConfiguration}. */
export interface CreateConfigurationOptions {
  readonly context: NodeContext;
  readonly findMember: (node: string) => Member | undefined;
  readonly onApplied: (configuration: Configuration) => void;
  /** Tells whether an offered revision replaces the one in force. */
  readonly isNewer?: ((offered: number, inForce: number) => boolean) | undefined;
}

/** Messages that the configuration takes. */
export type ConfigurationMessage = Extract<
  PeerMessage,
  { kind: 'configurationRequest' | 'configurationOffer' | 'configurationTaken' }
>;

/** The configuration of one node. */
export interface ConfigurationStore {
  readonly start: () => void;
  readonly receive: (message: ConfigurationMessage) => void;
  readonly requestFrom: (peer: Member) => void;
  readonly inForce: () => InForce;
  /** Fetches missing shards of a head and applies it; calls back when it is in force or cannot be. */
  readonly takeHead: (head: ConfigurationHead, done?: () => void) => void;
  readonly addShard: (text: string) => void;
  /** Offers the configuration in force to peers; calls back with the number that took it. */
  readonly offer: (
    peers: readonly Member[],
    waitMilliseconds: number,
    done: (taken: number) => void,
  ) => void;
}

const EMPTY_HEAD: ConfigurationHead = { revision: 0, shards: [], changes: [] };
const WATCH_RETRY_MILLISECONDS = 1_000;
const REQUEST_INTERVAL_MILLISECONDS = 500;

/**
 * Creates the configuration of one node.
 *
 * A node applies only a revision that is higher than the one in force, whether it comes from the
 * platform's watch or from a peer, and only when every shard's digest is right.
 *
 * @param options - the context, the members, and what to call when a revision is in force
 * @returns the configuration
 * @example
 * createConfiguration({ context, findMember, onApplied }).start();
 */
export function createConfiguration(options: CreateConfigurationOptions): ConfigurationStore {
  const { context, isNewer = (offered, inForce) => offered > inForce } = options;
  const shards = new Map<string, string>();
  const offers = new Map<string, (node: string) => void>();
  let current: InForce = {
    head: EMPTY_HEAD,
    configuration: { revision: 0, objects: [], selectors: [] },
  };
  let requestedAt = -Infinity;
  let wasReached = true;

  const listMissing = (head: ConfigurationHead): string[] =>
    head.shards.map(({ digest }) => digest).filter((digest) => !shards.has(digest));
  const forgetUnused = (): void => {
    const used = new Set(current.head.shards.map(({ digest }) => digest));
    for (const digest of shards.keys()) if (!used.has(digest)) shards.delete(digest);
  };
  const apply = (head: ConfigurationHead): void => {
    if (!isNewer(head.revision, current.head.revision)) return;
    current = { head, configuration: buildConfiguration(head, shards) };
    forgetUnused();
    context.log('info', 'configuration-applied', { revision: head.revision });
    options.onApplied(current.configuration);
  };
  const addShard = (text: string): void => {
    shards.set(digestText(text), text);
  };
  const fetchShards = (missing: readonly string[], done: () => void): void => {
    let awaited = missing.length;
    for (const digest of missing) {
      context.callPlatform({ kind: 'get', key: nameShardKey(digest) }, (result) => {
        const text = result.kind === 'entry' ? result.entry?.value : undefined;
        if (text !== undefined && digestText(text) === digest) addShard(text);
        awaited -= 1;
        if (awaited === 0) done();
      });
    }
  };
  const takeHead = (head: ConfigurationHead, done: () => void = () => undefined): void => {
    if (!isNewer(head.revision, current.head.revision)) {
      done();
      return;
    }
    const missing = listMissing(head);
    if (missing.length === 0) {
      apply(head);
      done();
      return;
    }
    fetchShards(missing, () => {
      if (listMissing(head).length === 0) apply(head);
      done();
    });
  };

  const takeWatch = (result: PlatformResult, knownRevision: number): number => {
    if (result.kind !== 'entry' || !result.entry) return knownRevision;
    const head = readHead(result.entry.value);
    if (!head) return knownRevision;
    if (head.revision < current.head.revision) {
      context.log('warn', 'stored-revision-is-lower', {
        stored: head.revision,
        inForce: current.head.revision,
      });
    }
    takeHead(head);
    return isNewer(head.revision, current.head.revision) ? knownRevision : result.entry.revision;
  };
  const watch = (knownRevision: number): void => {
    const waitMilliseconds = wasReached ? WATCH_TIMEOUT_MILLISECONDS : 0;
    context.callPlatform(
      { kind: 'watch', key: HEAD_KEY, afterRevision: knownRevision, waitMilliseconds },
      (result) => {
        wasReached = result.kind === 'entry';
        const next = takeWatch(result, knownRevision);
        if (wasReached && next !== knownRevision) {
          watch(next);
          return;
        }
        const delay = wasReached ? 50 : WATCH_RETRY_MILLISECONDS * (0.5 + context.random());
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
    head: current.head,
    shards: current.head.shards
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
      takeHead(message.head, () => {
        const peer = options.findMember(message.from);
        if (message.offer === '' || !peer) return;
        if (current.head.revision < message.head.revision) return;
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
    inForce: () => current,
    takeHead,
    addShard,
    offer: (peers, waitMilliseconds, done) => {
      if (peers.length === 0) {
        done(0);
        return;
      }
      const offer = context.nextId('offer');
      const taken = new Set<string>();
      const finish = (): void => {
        if (!offers.delete(offer)) return;
        context.cancel(timer);
        done(taken.size);
      };
      const timer = context.schedule(waitMilliseconds, finish);
      offers.set(offer, (node) => {
        taken.add(node);
        if (taken.size === peers.length) finish();
      });
      for (const peer of peers) send(peer, createOffer(offer, []));
    },
  };
}
