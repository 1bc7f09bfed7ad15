/**
 * Schemas and types of the messages between nodes.
 */
import { z } from 'zod';
import { headSchema } from '../configuration/index.js';

/** State of a member as observed by its peers. */
export const memberStateSchema = z.enum(['alive', 'leaving', 'suspect', 'dead']);
export type MemberState = z.infer<typeof memberStateSchema>;

/** Membership record of a node. The higher incarnation wins; at equal incarnations, the worse state wins. */
export const memberSchema = z.object({
  node: z.string(),
  incarnation: z.number(),
  state: memberStateSchema,
  peerAddress: z.string(),
  callerAddress: z.string(),
  availabilityZone: z.string(),
  revision: z.number().default(0),
});
export type Member = z.infer<typeof memberSchema>;

/** Versioned key-value pair disseminated by gossip; the higher version wins. */
export const factSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.string(),
});
export type Fact = z.infer<typeof factSchema>;

const gossipFields = {
  from: z.string(),
  revision: z.number(),
  members: z.array(memberSchema),
  facts: z.array(factSchema),
  /** Concurrency limits of the sender's busy pools, by hash of the pool key. */
  limits: z.array(z.object({ pool: z.number(), limit: z.number() })).default([]),
};

/** Messages between nodes. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ping'), sequence: z.number(), digest: z.number(), ...gossipFields }),
  z.object({ kind: z.literal('ack'), sequence: z.number(), digest: z.number(), ...gossipFields }),
  z.object({
    kind: z.literal('indirectPing'),
    sequence: z.number(),
    target: z.string(),
    ...gossipFields,
  }),
  z.object({ kind: z.literal('synchronize'), answer: z.boolean(), ...gossipFields }),
  z.object({
    kind: z.literal('configurationRequest'),
    from: z.string(),
    known: z.array(z.string()),
  }),
  z.object({
    kind: z.literal('configurationOffer'),
    from: z.string(),
    offer: z.string(),
    head: headSchema,
    shards: z.array(z.object({ digest: z.string(), text: z.string() })),
  }),
  z.object({ kind: z.literal('configurationTaken'), from: z.string(), offer: z.string() }),
  z.object({
    kind: z.literal('bookingQuery'),
    from: z.string(),
    query: z.string(),
    bookingKey: z.string(),
  }),
  z.object({
    kind: z.literal('bookingAnswer'),
    from: z.string(),
    query: z.string(),
    state: z.enum(['running', 'answered', 'absent']),
    status: z.number(),
    body: z.string(),
  }),
  z.object({
    kind: z.literal('ticketCall'),
    from: z.string(),
    query: z.string(),
    account: z.string(),
    idempotencyKey: z.string(),
    digest: z.string(),
    service: z.string(),
    selector: z.string(),
    method: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
    remainingMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('ticketReply'),
    from: z.string(),
    query: z.string(),
    status: z.number(),
    contentType: z.string(),
    body: z.string(),
    /** Name of the result code when the call has no reply; empty otherwise. */
    code: z.string(),
  }),
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
