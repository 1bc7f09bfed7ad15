/**
 * Messages between the nodes of a site, as the nodes work with them.
 */
import { z } from 'zod';
import { partFactsSchema } from '../partFactsCodec/index.js';
import type { NodeRecord } from '../../../types/site/index.js';

/** Schema of a node's record in requests, replies and the store. */
export const nodeSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  incarnation: z.int().min(0),
  isLeaving: z.boolean(),
});

/** Requests of one node at an endpoint, and their KV-cache memory in token-layers. */
export type EndpointLoadUpdate = readonly [endpoint: string, requests: number, tokenLayers: number];

/**
 * Layers that an endpoint loaded after an order; `startedAt` is the Unix time of its start in
 * milliseconds.
 */
export type LayerUpdate = readonly [
  endpoint: string,
  startedAt: number,
  acceptedOrders: number,
  from: number,
  to: number,
];

/** Short message between nodes; it may be lost or arrive more than once. */
export interface PeerUpdate {
  readonly from: string;
  /** Whether the receiver should reply with an update of its own. */
  readonly wantsReply: boolean;
  /** Number of live nodes that the sender knows, itself included. */
  readonly nodesKnown: number;
  /** Heartbeat counters: that of the sender first, then those of some nodes that it knows. */
  readonly heartbeats: readonly (readonly [name: string, incarnation: number, heartbeat: number])[];
  /** Nodes that recently stopped responding, each with the last heartbeat counter received. */
  readonly lostNodes: readonly (readonly [name: string, incarnation: number, heartbeat: number])[];
  /**
   * Other availability zones, and milliseconds since a node of the sender's zone last received a
   * message from there.
   */
  readonly zones: readonly (readonly [availabilityZone: string, age: number])[];
  /** Records of some nodes that changed recently. */
  readonly nodes: readonly NodeRecord[];
  readonly version: number;
  /** Store revision that the sender has seen, and whether it can reach the store. */
  readonly revision: number;
  readonly isReachable: boolean;
  /** Whether the sender is cut off from nearly all endpoints. */
  readonly isIsolated: boolean;
  /** Load of the sender by endpoint; not in every message. */
  readonly loads?: readonly EndpointLoadUpdate[] | undefined;
  /** Endpoints that the sender recently found to be unreachable. */
  readonly lost: readonly string[];
  /**
   * Endpoints that were recently removed from the registry while the sender's access to the store was
   * stable.
   */
  readonly deregistered: readonly string[];
  /**
   * Endpoints that recently announced their shutdown, each with the Unix time of its start in
   * milliseconds.
   */
  readonly leaving: readonly (readonly [endpoint: string, startedAt: number])[];
  readonly layers: readonly LayerUpdate[];
  /**
   * Endpoints that are or recently were slow, with the factor on the normal step time; 1 is normal.
   */
  readonly slowdowns: readonly (readonly [endpoint: string, slowdown: number])[];
}

/** Part of an update that does not concern the state of other nodes. */
export type LocalState = Omit<
  PeerUpdate,
  'from' | 'wantsReply' | 'nodesKnown' | 'heartbeats' | 'lostNodes' | 'zones' | 'nodes'
>;

/** Schema of {@link PeerRequest}. */
export const peerRequestSchema = z.object({
  node: nodeSchema,
  version: z.number(),
  /** Store revision that the requesting node has seen, and whether it can reach the store. */
  revision: z.number(),
  isReachable: z.boolean(),
  /** Whether the reply may contain a compressed configuration; absent from nodes of earlier versions. */
  acceptsCompression: z.boolean().optional(),
});

/** Request for data that is too long for messages. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

const rateLimitSchema = z.object({
  endpoint: z.string(),
  startedAt: z.number(),
  /** Absent where the endpoint announced that it has no limit. */
  requestsPerSecond: z.number().min(0).optional(),
  /** Milliseconds since the response that announced it. */
  age: z.number().min(0),
});

/** Schema of {@link PeerReply}. */
export const peerReplySchema = z.object({
  /** All live nodes that the replying node knows, itself included. */
  nodes: z.array(nodeSchema),
  /** Active configuration, where it is newer than that of the requesting node. */
  configuration: z.string().optional(),
  /** The same, compressed, where the requesting node accepts that. */
  compressedConfiguration: z.string().optional(),
  revision: z.number(),
  /** Registry entries by identifier, where the requesting node cannot read them itself. */
  entries: z.array(z.tuple([z.string(), z.string()])).optional(),
  /** Facts about parts that crashed endpoints; absent from nodes of earlier versions. */
  parts: partFactsSchema.optional(),
  /** Rate limits of endpoints; absent from nodes of earlier versions. */
  rateLimits: z.array(rateLimitSchema).optional(),
});

/** Reply to a {@link PeerRequest}. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** Changes of the store that a node forwards to nodes that do not watch the store. */
export interface StoreChanges {
  readonly from: string;
  /** Revision after which the list of changes is complete. */
  readonly after: number;
  /** Revision up to which the list of changes is complete. */
  readonly revision: number;
  /** Changes in order; the value is undefined when the item was removed. */
  readonly items: readonly {
    readonly key: string;
    readonly revision: number;
    readonly value: string | undefined;
  }[];
  /** Whether items were omitted because of their length. */
  readonly isShortened: boolean;
}
