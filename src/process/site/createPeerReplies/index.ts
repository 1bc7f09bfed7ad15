/**
 * Requests between nodes for data that is too long for messages, and the replies to them.
 */
import type { PartFacts } from '../../../types/breaker/index.js';
import { createConfigurationCodec } from '../createConfigurationCodec/index.js';
import type { Peers } from '../createPeers/index.js';
import type { RateLimits } from '../createRateLimits/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { SiteState } from '../createSiteState/index.js';
import type { StoreFollower } from '../createStoreFollower/index.js';
import { decodePartFacts, encodePartFacts } from '../partFactsCodec/index.js';
import { peerReplySchema, type PeerReply, type PeerRequest } from '../peerMessages/index.js';

/** Options of {@link createPeerReplies}. */
export interface CreatePeerRepliesOptions {
  readonly peers: Pick<Peers, 'addNodes' | 'getSelf' | 'listAlive'>;
  readonly state: SiteState;
  readonly logger: SiteLogger;
  readonly now: () => number;
  readonly getFollower: () => Pick<StoreFollower, 'getRevision' | 'isReachable'>;
  /** Facts about parts: those that this node knows, and the callback for those of a peer. */
  readonly getParts: () => {
    readonly list: () => PartFacts;
    readonly receive: (facts: PartFacts) => void;
  };
  readonly getRateLimits: () => Pick<RateLimits, 'list' | 'receive'>;
}

/** Requests and replies of one node. */
export interface PeerReplies {
  /** Returns the store revision of the registry that this node has, from the store or from a peer. */
  readonly getRevision: () => number;
  readonly createRequest: () => PeerRequest;
  /** Creates the reply to the request of a peer. */
  readonly create: (request: PeerRequest) => PeerReply;
  /** Applies the reply of a peer; returns what it contained, or undefined when it is invalid. */
  readonly apply: (reply: unknown) => { readonly hasParts: boolean } | undefined;
}

/**
 * Creates the requests and replies of a node.
 *
 * @param options - the other nodes, the state of this node, and where facts of peers go
 * @returns the requests and replies
 * @example
 * createPeerReplies(options).apply(await peerPort.sendRequest(address, request));
 */
export function createPeerReplies(options: CreatePeerRepliesOptions): PeerReplies {
  const { peers, state, logger, now, getFollower, getParts, getRateLimits } = options;
  const codec = createConfigurationCodec();
  /** Store revision of the registry as peers reported it while this node could not reach the store. */
  let reportedRevision = 0;

  const getRevision = (): number => Math.max(getFollower().getRevision(), reportedRevision);
  const listConfiguration = (
    request: PeerRequest,
  ): Pick<PeerReply, 'configuration' | 'compressedConfiguration'> => {
    const text = state.getConfigurationText();
    if (text === undefined || request.version >= state.getVersion()) return {};
    return request.acceptsCompression
      ? { compressedConfiguration: codec.compress(text) }
      : { configuration: text };
  };
  const applyConfiguration = (reply: PeerReply): void => {
    const { configuration, compressedConfiguration: compressed } = reply;
    const text = compressed === undefined ? configuration : codec.decompress(compressed);
    if (text !== undefined) state.applyConfiguration(text, 'peer');
    else if (compressed !== undefined)
      logger.log('configuration-unreadable', { source: 'peer', bytes: compressed.length });
  };
  const applyEntries = ({ entries, revision }: PeerReply): void => {
    if (!entries || getFollower().isReachable() || revision <= reportedRevision) return;
    reportedRevision = revision;
    const present = new Set(entries.map(([id]) => id));
    for (const [id, text] of entries) state.applyEndpoint(id, text, 'peer');
    for (const [id] of state.listRegistryEntries()) {
      if (!present.has(id)) state.applyEndpoint(id, undefined, 'peer');
    }
  };
  const applyRateLimits = (rateLimits: NonNullable<PeerReply['rateLimits']>): void => {
    const facts = rateLimits.map(({ endpoint, startedAt, requestsPerSecond, age }) => ({
      endpoint,
      startedAt,
      requestsPerSecond,
      heardAt: now() - age,
    }));
    getRateLimits().receive(facts);
  };

  return {
    getRevision,
    createRequest: () => ({
      node: peers.getSelf(),
      version: state.getVersion(),
      revision: getRevision(),
      isReachable: getFollower().isReachable(),
      acceptsCompression: true,
    }),
    create: (request) => {
      peers.addNodes([request.node]);
      const revision = getRevision();
      const needsEntries = !request.isReachable && request.revision < revision;
      return {
        nodes: peers.listAlive(),
        revision,
        ...listConfiguration(request),
        ...(needsEntries && { entries: state.listRegistryEntries() }),
        parts: encodePartFacts(getParts().list(), now()),
        rateLimits: getRateLimits()
          .list()
          .map(({ heardAt, ...limit }) => ({ ...limit, age: Math.max(0, now() - heardAt) })),
      };
    },
    apply: (value) => {
      const parsed = peerReplySchema.safeParse(value);
      if (!parsed.success) return undefined;
      const reply = parsed.data;
      peers.addNodes(reply.nodes);
      applyConfiguration(reply);
      applyEntries(reply);
      if (reply.rateLimits) applyRateLimits(reply.rateLimits);
      if (reply.parts) getParts().receive(decodePartFacts(reply.parts, now()));
      return { hasParts: reply.parts !== undefined };
    },
  };
}
