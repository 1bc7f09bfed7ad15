/**
 * gRPC listener for messages from other nodes.
 */
import { readFileSync } from 'node:fs';
import * as grpc from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import { equalsInConstantTime, readBearerKey } from '../../../request/authorizeCaller/index.js';
import { peerMessageSchema, type PeerMessage } from '../../../types/peer/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import type { ListenerSettings, TlsSettings } from '../../settings/settingsSchema/index.js';
import { ListenError } from '../listenHttp/index.js';

/** Options of {@link servePeers}. */
export interface ServePeersOptions {
  readonly listener: ListenerSettings;
  readonly key: string;
  readonly lifeCycle: LifeCycle;
  /** Feeds a message; returns false when the node cannot accept it now. */
  readonly feed: (message: PeerMessage) => boolean;
}

/** Encodes a message as MessagePack. */
function serialize(value: unknown): Buffer {
  return Buffer.from(encode(value));
}

function deserialize(bytes: Buffer): unknown {
  return decode(bytes);
}

/** The only gRPC method between nodes: it accepts a message and returns an empty reply. */
export const PEER_METHOD = {
  path: '/marjoramcleat.Peers/Send',
  requestStream: false,
  responseStream: false,
  requestSerialize: serialize,
  requestDeserialize: deserialize,
  responseSerialize: serialize,
  responseDeserialize: deserialize,
} as const satisfies grpc.MethodDefinition<unknown, unknown>;

const CERTIFICATE_REFRESH_INTERVAL_MILLISECONDS = 5_000;
const MAXIMUM_MESSAGE_BYTES = 67_108_864;

/** Channel options of both servers and clients. */
export const PEER_CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
};

/**
 * Creates a provider that reloads a certificate when its files are replaced.
 *
 * @param tls - files of the certificate
 * @returns the provider
 * @example
 * createCertificateProvider(tls);
 */
export function createCertificateProvider(
  tls: TlsSettings,
): grpc.experimental.FileWatcherCertificateProvider {
  return new grpc.experimental.FileWatcherCertificateProvider({
    certificateFile: tls.certificateFile,
    privateKeyFile: tls.keyFile,
    ...(tls.authorityFile !== undefined && { caCertificateFile: tls.authorityFile }),
    refreshIntervalMs: CERTIFICATE_REFRESH_INTERVAL_MILLISECONDS,
  });
}

function createCredentials(options: ServePeersOptions): grpc.ServerCredentials {
  const { tls } = options.listener;
  if (!tls) return grpc.ServerCredentials.createInsecure();
  readFileSync(tls.certificateFile);
  const provider = createCertificateProvider(tls);
  return grpc.experimental.createCertificateProviderServerCredentials(
    provider,
    tls.authorityFile === undefined ? null : provider,
    tls.authorityFile !== undefined,
  );
}

function isAuthorized(metadata: grpc.Metadata, key: string): boolean {
  const [header] = metadata.get('authorization');
  const presented = readBearerKey(typeof header === 'string' ? header : undefined);
  return presented !== undefined && equalsInConstantTime(presented, key);
}

/**
 * Serves messages from other nodes.
 *
 * Messages are validated against their schema; a peer without the shared key is refused.
 *
 * @param options - listener, shared key, life cycle and receiver of messages
 * @returns the bound port; rejects with {@link ListenError}
 * @example
 * await servePeers({ listener, key, lifeCycle, feed });
 */
export async function servePeers(options: ServePeersOptions): Promise<number> {
  const { listener, key, lifeCycle, feed } = options;
  const server = new grpc.Server(PEER_CHANNEL_OPTIONS);
  const handle: grpc.handleUnaryCall<unknown, unknown> = (call, done) => {
    if (!isAuthorized(call.metadata, key)) {
      done({ code: grpc.status.UNAUTHENTICATED, details: 'wrong shared key' });
      return;
    }
    const message = peerMessageSchema.safeParse(call.request);
    if (!message.success) {
      done({ code: grpc.status.INVALID_ARGUMENT, details: 'not a message of this version' });
      return;
    }
    const isAccepted = feed(message.data);
    if (isAccepted) done(null, {});
    else done({ code: grpc.status.RESOURCE_EXHAUSTED, details: 'the node is busy' });
  };
  server.addService({ send: PEER_METHOD }, { send: handle });
  const address = `${listener.host}:${listener.port.toString()}`;
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, createCredentials(options), (error, bound) => {
      if (error) reject(new ListenError('peers', address, error));
      else resolve(bound);
    });
  });
  lifeCycle.own({
    name: 'peers-listener',
    close: () => {
      server.forceShutdown();
    },
  });
  return port;
}
