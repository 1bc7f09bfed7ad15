/**
 * Messages between the nodes of a site.
 */
import { z } from 'zod';

/** A node as messages and the store tell it. */
export const nodeSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  incarnation: z.number(),
  isLeaving: z.boolean(),
});

/** A message between nodes. */
export const messageSchema = z.object({
  from: z.string(),
  /** Number of nodes that the sender knows to live, itself included. */
  nodesKnown: z.number().default(0),
  /** Beats of the sender and of some nodes that it knows: name, incarnation, beat. */
  beats: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Records of nodes that changed lately, or that the receiver may not know. */
  nodes: z.array(nodeSchema),
  version: z.number(),
  /** Store revision that the sender has seen, and whether it can reach the store. */
  revision: z.number(),
  isReachable: z.boolean(),
  /** Requests and tokens times layers of the sender, by endpoint; not in every message. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
  /** Endpoints that the sender believes to be lost, and for how many milliseconds more. */
  lost: z.array(z.tuple([z.string(), z.number()])),
  /** Endpoints that the sender saw leave the registry lately, while the store answered it. */
  gone: z.array(z.string()).default([]),
  /** Endpoints that said lately that they are leaving, each with its birth. */
  leaving: z.array(z.tuple([z.string(), z.number()])).default([]),
  /** Layers that orders brought lately: endpoint, its birth, its accepted orders, from, to. */
  layers: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
  /** Slow endpoints and their factor. */
  paces: z.array(z.tuple([z.string(), z.number()])),
  configuration: z.string().optional(),
  entries: z.array(z.tuple([z.string(), z.string()])).optional(),
});

/** A message between nodes. */
export type PeerNews = z.infer<typeof messageSchema>;

/** What this node has to tell, without its knowledge of nodes. */
export type OwnNews = Omit<
  PeerNews,
  'from' | 'nodesKnown' | 'beats' | 'nodes' | 'configuration' | 'entries'
>;
