/**
 * Encoding of messages between nodes: positional arrays in MessagePack, in which nodes, endpoints and
 * availability zones are identified by hashes of their names (tags).
 */
import { decode, encode } from '@msgpack/msgpack';
import type { z } from 'zod';
import { hashText } from '../../hashRendezvous/index.js';
import { decodeUpdate } from '../decodeUpdate/index.js';
import type { EncodedPartFacts } from '../partFactsCodec/index.js';
import {
  DEMAND_KIND,
  demandMessageSchema,
  FORMAT_VERSION,
  ISOLATED_FLAG,
  MAXIMUM_BYTES,
  PART_FACTS_KIND,
  partFactsMessageSchema,
  PERMIT_REPLY_KIND,
  PERMIT_REQUEST_KIND,
  permitReplyMessageSchema,
  permitRequestMessageSchema,
  RATE_LIMITS_KIND,
  rateLimitsMessageSchema,
  REACHES_STORE_FLAG,
  SLOWDOWN_SCALE,
  STORE_CHANGES_KIND,
  storeChangesSchema,
  TOKEN_LAYERS_UNIT,
  UPDATE_KIND,
  updateSchema,
  WANTS_REPLY_FLAG,
  type DecodedMessage,
  type DecodeMessageOptions,
} from '../peerMessageFormat/index.js';
import type { PeerUpdate, StoreChanges } from '../peerMessages/index.js';

/**
 * Computes the tag of a node on the wire.
 *
 * @param node - its name and incarnation
 * @returns an integer below 2^32
 * @example
 * tagNode({ name: 'node-1', incarnation: 1 });
 */
export function tagNode(node: { readonly name: string; readonly incarnation: number }): number {
  return hashText(`${node.name}/${node.incarnation}`);
}

/**
 * Computes the tag of an endpoint on the wire.
 *
 * @param id - the endpoint's identifier
 * @returns an integer below 2^32
 * @example
 * tagEndpoint('i-7f3a91c2');
 */
export function tagEndpoint(id: string): number {
  return hashText(id);
}

function encodeHeartbeats(heartbeats: PeerUpdate['heartbeats']): number[] {
  return heartbeats.flatMap(([name, incarnation, heartbeat]) => [
    tagNode({ name, incarnation }),
    heartbeat,
  ]);
}

/**
 * Encodes an update.
 *
 * @param update - the update
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodeUpdate(update), port, host);
 */
export function encodeUpdate(update: PeerUpdate): Uint8Array {
  const flags =
    (update.wantsReply ? WANTS_REPLY_FLAG : 0) +
    (update.isReachable ? REACHES_STORE_FLAG : 0) +
    (update.isIsolated ? ISOLATED_FLAG : 0);
  return encode([
    FORMAT_VERSION,
    UPDATE_KIND,
    flags,
    update.nodesKnown,
    update.version,
    update.revision,
    encodeHeartbeats(update.heartbeats),
    encodeHeartbeats(update.lostNodes),
    update.nodes,
    update.loads?.flatMap(([id, requests, tokenLayers]) => [
      tagEndpoint(id),
      requests,
      Math.ceil(tokenLayers / TOKEN_LAYERS_UNIT),
    ]) ?? null,
    update.lost.map(tagEndpoint),
    update.deregistered.map(tagEndpoint),
    update.leaving.flatMap(([id, startedAt]) => [tagEndpoint(id), startedAt]),
    update.layers.flatMap(([id, ...numbers]) => [tagEndpoint(id), ...numbers]),
    update.slowdowns.flatMap(([id, slowdown]) => [
      tagEndpoint(id),
      Math.round(slowdown * SLOWDOWN_SCALE),
    ]),
    update.zones.flatMap(([zone, age]) => [hashText(zone), Math.round(age)]),
  ]);
}

/**
 * Encodes changes of the store.
 *
 * @param changes - the changes
 * @param incarnation - incarnation of the sender
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodeStoreChanges(changes, incarnation), port, host);
 */
export function encodeStoreChanges(changes: StoreChanges, incarnation: number): Uint8Array {
  return encode([
    FORMAT_VERSION,
    STORE_CHANGES_KIND,
    tagNode({ name: changes.from, incarnation }),
    changes.after,
    changes.revision,
    changes.isShortened,
    changes.items.map(({ key, revision, value }) => [key, revision, value ?? null]),
  ]);
}

/**
 * Encodes facts about parts. Nodes of earlier versions drop them as unreadable.
 *
 * @param facts - the facts, with ages
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodePartFactsMessage(facts), port, host);
 */
export function encodePartFactsMessage(facts: EncodedPartFacts): Uint8Array {
  return encode([FORMAT_VERSION, PART_FACTS_KIND, facts]);
}

/**
 * Encodes a message that consists of numbers. Nodes of earlier versions drop it as unreadable.
 *
 * @param kind - kind of the message
 * @param numbers - its numbers
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodeNumbersMessage(PERMIT_REPLY_KIND, encodePermitReply(reply)), port, host);
 */
export function encodeNumbersMessage(kind: number, numbers: readonly number[]): Uint8Array {
  return encode([FORMAT_VERSION, kind, numbers]);
}

function decodeStoreChanges(
  value: z.infer<typeof storeChangesSchema>,
  { findNode }: DecodeMessageOptions,
): DecodedMessage {
  const [, , sender, after, revision, isShortened, items] = value;
  const from = findNode(sender)?.name;
  if (from === undefined) return { kind: 'unknownSender' };
  return {
    kind: 'changes',
    changes: {
      from,
      after,
      revision,
      isShortened,
      items: items.map(([key, changedAt, text]) => ({
        key,
        revision: changedAt,
        value: text ?? undefined,
      })),
    },
  };
}

function readValue(bytes: Uint8Array): unknown {
  if (bytes.length > MAXIMUM_BYTES) return undefined;
  try {
    return decode(bytes);
  } catch {
    // The caller counts the message as unreadable.
    return undefined;
  }
}

type MessageDecoder = (value: unknown, options: DecodeMessageOptions) => DecodedMessage | undefined;

/** Creates the decoder of a message that consists of numbers. */
function decodeNumbers(
  kind: Extract<DecodedMessage, { readonly numbers: readonly number[] }>['kind'],
  schema: z.ZodType<[number, number, number[]]>,
): MessageDecoder {
  return (value) => {
    const parsed = schema.safeParse(value);
    return parsed.success ? { kind, numbers: parsed.data[2] } : undefined;
  };
}

/** Decoders by the kind of the message; each returns undefined for a message that it cannot read. */
const DECODERS: Readonly<Record<number, MessageDecoder>> = {
  [UPDATE_KIND]: (value, options) => {
    const update = updateSchema.safeParse(value);
    return update.success ? decodeUpdate(update.data, options) : undefined;
  },
  [STORE_CHANGES_KIND]: (value, options) => {
    const changes = storeChangesSchema.safeParse(value);
    return changes.success ? decodeStoreChanges(changes.data, options) : undefined;
  },
  [PART_FACTS_KIND]: (value) => {
    const parts = partFactsMessageSchema.safeParse(value);
    return parts.success ? { kind: 'parts', facts: parts.data[2] } : undefined;
  },
  [RATE_LIMITS_KIND]: decodeNumbers('rateLimits', rateLimitsMessageSchema),
  [PERMIT_REQUEST_KIND]: decodeNumbers('permitRequest', permitRequestMessageSchema),
  [PERMIT_REPLY_KIND]: decodeNumbers('permitReply', permitReplyMessageSchema),
  [DEMAND_KIND]: decodeNumbers('demand', demandMessageSchema),
};

/**
 * Decodes a message.
 *
 * Nodes, endpoints and availability zones that this node does not know are omitted.
 *
 * @param bytes - bytes of one datagram, from any sender
 * @param options - look-ups of the known nodes, endpoints and availability zones
 * @returns the message, or the reason why there is none
 * @example
 * decodeMessage(bytes, { findNode, findEndpoint, findZone }).kind; // 'update'
 */
export function decodeMessage(bytes: Uint8Array, options: DecodeMessageOptions): DecodedMessage {
  const value = readValue(bytes);
  const kind: unknown = Array.isArray(value) ? value[1] : undefined;
  const decodeKind = typeof kind === 'number' ? DECODERS[kind] : undefined;
  return decodeKind?.(value, options) ?? { kind: 'unreadable' };
}
