/**
 * Links to other nodes, each with one goroutine and one bounded channel.
 */
import * as grpc from '@grpc/grpc-js';
import csp, { type Channel } from 'js-csp';
import type { PeerMessage } from '../../../types/peer/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import type { TlsSettings } from '../../settings/settingsSchema/index.js';
import {
  createCertificateProvider,
  PEER_CHANNEL_OPTIONS,
  PEER_METHOD,
} from '../servePeers/index.js';

/** Options of {@link createPeerLinks}. */
export interface CreatePeerLinksOptions {
  readonly key: string;
  readonly tls?: TlsSettings | undefined;
  readonly lifeCycle: LifeCycle;
  readonly onDropped: () => void;
}

/** Links of one node to its peers. */
export interface PeerLinks {
  readonly send: (address: string, message: PeerMessage) => void;
  readonly count: () => number;
}

interface Link {
  readonly client: grpc.Client;
  readonly messages: Channel<PeerMessage>;
  lastUsedAt: number;
}

const LINK_CHANNEL_CAPACITY = 256;
const SEND_TIMEOUT_MILLISECONDS = 2_000;
const IDLE_LINK_TIMEOUT_MILLISECONDS = 120_000;
const SWEEP_INTERVAL_MILLISECONDS = 30_000;
const MAXIMUM_RECONNECT_BACKOFF_MILLISECONDS = 1_000;
const INITIAL_RECONNECT_BACKOFF_MILLISECONDS = 100;

function createCredentials(tls: TlsSettings | undefined): grpc.ChannelCredentials {
  if (!tls) return grpc.credentials.createInsecure();
  const provider = createCertificateProvider(tls);
  return grpc.experimental.createCertificateProviderChannelCredentials(provider, provider);
}

/**
 * Creates the component that opens links to peers on demand and sends messages over them.
 *
 * A message is dropped and reported when its link's channel is full or the peer does not accept it.
 * The protocol between nodes tolerates the loss of any message.
 *
 * @param options - shared key, certificate, life cycle and callback for dropped messages
 * @returns the links
 * @example
 * createPeerLinks({ key, lifeCycle, onDropped }).send(address, message);
 */
export function createPeerLinks(options: CreatePeerLinksOptions): PeerLinks {
  const links = new Map<string, Link>();
  let isClosed = false;
  const metadata = new grpc.Metadata();
  metadata.set('authorization', `Bearer ${options.key}`);

  const sendMessage = (client: grpc.Client, message: PeerMessage): void => {
    const { path, requestSerialize, responseDeserialize } = PEER_METHOD;
    const deadline = Date.now() + SEND_TIMEOUT_MILLISECONDS;
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      message,
      metadata,
      { deadline },
      (error) => {
        if (error) options.onDropped();
      },
    );
  };
  const runLink = (link: Link): void => {
    csp.go(function* (): Generator<unknown, void, PeerMessage | null> {
      for (;;) {
        const message = yield csp.take(link.messages);
        if (message === null) break;
        // A closed client throws on its next request.
        if (isClosed) options.onDropped();
        else sendMessage(link.client, message);
      }
      link.client.close();
    });
  };
  const openLink = (address: string): Link => {
    const client = new grpc.Client(address, createCredentials(options.tls), {
      ...PEER_CHANNEL_OPTIONS,
      'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MILLISECONDS,
      'grpc.max_reconnect_backoff_ms': MAXIMUM_RECONNECT_BACKOFF_MILLISECONDS,
    });
    const messages = csp.chan<PeerMessage>(csp.buffers.fixed(LINK_CHANNEL_CAPACITY));
    const link = { client, messages, lastUsedAt: Date.now() };
    links.set(address, link);
    runLink(link);
    return link;
  };
  const closeIdleLinks = (): void => {
    for (const [address, link] of links) {
      if (Date.now() - link.lastUsedAt < IDLE_LINK_TIMEOUT_MILLISECONDS) continue;
      links.delete(address);
      link.messages.close();
    }
  };
  const sweep = setInterval(closeIdleLinks, SWEEP_INTERVAL_MILLISECONDS);
  options.lifeCycle.own({
    name: 'peer-links',
    close: () => {
      isClosed = true;
      clearInterval(sweep);
      for (const link of links.values()) {
        link.messages.close();
        link.client.close();
      }
      links.clear();
    },
  });

  return {
    send: (address, message) => {
      if (isClosed) {
        options.onDropped();
        return;
      }
      const link = links.get(address) ?? openLink(address);
      link.lastUsedAt = Date.now();
      if (!csp.offer(link.messages, message)) options.onDropped();
    },
    count: () => links.size,
  };
}
