/**
 * Messages between the nodes of a site, as the nodes work with them.
 */
import { z } from 'zod';
import type { NodeRecord } from '../../../types/site/index.js';

/** A node as questions, answers and the store tell it. */
export const nodeSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  incarnation: z.number(),
  isLeaving: z.boolean(),
});

/** Requests of one node on an endpoint, and the memory that they take in tokens times layers. */
export type EndpointLoadNews = readonly [endpoint: string, requests: number, tokenLayers: number];

/** Layers that an order brought: endpoint, its birth, its accepted orders, from, to. */
export type LayerNews = readonly [
  endpoint: string,
  bornAt: number,
  acceptedOrders: number,
  from: number,
  to: number,
];

/** A short message between nodes; it may be lost, and may come more than once. */
export interface PeerNews {
  readonly from: string;
  /** Whether the receiver is asked to answer with a message of its own. */
  readonly wantsAnswer: boolean;
  /** Number of nodes that the sender knows to live, itself included. */
  readonly nodesKnown: number;
  /** Beats of the sender, first, and of some nodes that it knows: name, incarnation, beat. */
  readonly beats: readonly (readonly [name: string, incarnation: number, beat: number])[];
  /** Nodes that fell silent lately: name, incarnation, and the last beat that was heard. */
  readonly lostNodes: readonly (readonly [name: string, incarnation: number, beat: number])[];
  /** Other availability zones, and milliseconds since a node of the sender's zone heard them directly. */
  readonly zones: readonly (readonly [availabilityZone: string, age: number])[];
  /** Records of some nodes that changed lately. */
  readonly nodes: readonly NodeRecord[];
  readonly version: number;
  /** Store revision that the sender has seen, and whether it can reach the store. */
  readonly revision: number;
  readonly isReachable: boolean;
  /** Load of the sender by endpoint; not in every message. */
  readonly loads?: readonly EndpointLoadNews[] | undefined;
  /** Endpoints that the sender believes to be lost. */
  readonly lost: readonly string[];
  /** Endpoints that the sender saw leave the registry lately, while the store answered it. */
  readonly gone: readonly string[];
  /** Endpoints that said lately that they are leaving, each with its birth. */
  readonly leaving: readonly (readonly [endpoint: string, bornAt: number])[];
  readonly layers: readonly LayerNews[];
  /** Slow endpoints and their factor. */
  readonly paces: readonly (readonly [endpoint: string, pace: number])[];
}

/** What this node has to tell, without its knowledge of nodes. */
export type OwnNews = Omit<
  PeerNews,
  'from' | 'wantsAnswer' | 'nodesKnown' | 'beats' | 'lostNodes' | 'zones' | 'nodes'
>;

/** A question for what is too long for messages. */
export const questionSchema = z.object({
  node: nodeSchema,
  version: z.number(),
  /** Store revision that the asking node has seen, and whether it can reach the store. */
  revision: z.number(),
  isReachable: z.boolean(),
});

/** A question for what is too long for messages. */
export type PeerQuestion = z.infer<typeof questionSchema>;

/** Answer to a {@link PeerQuestion}. */
export const answerSchema = z.object({
  /** All nodes that the answering node knows to live, itself included. */
  nodes: z.array(nodeSchema),
  /** Configuration in force, where it is newer than that of the asking node. */
  configuration: z.string().optional(),
  revision: z.number(),
  /** Registry entries by identifier, where the asking node cannot read them itself. */
  entries: z.array(z.tuple([z.string(), z.string()])).optional(),
});

/** Answer to a {@link PeerQuestion}. */
export type PeerAnswer = z.infer<typeof answerSchema>;

/** Changes of the store that a node passes on to those that do not watch it. */
export interface StoreChanges {
  readonly from: string;
  /** Revision after which these are all changes. */
  readonly after: number;
  /** Revision up to which these are all changes. */
  readonly revision: number;
  /** Changes in order; the value is undefined when the item was removed. */
  readonly items: readonly {
    readonly key: string;
    readonly revision: number;
    readonly value: string | undefined;
  }[];
  /** Whether an item is left out for its length. */
  readonly isShortened: boolean;
}
