/**
 * Encoding of messages between nodes: positional arrays in MessagePack, in which nodes, endpoints and
 * availability zones are identified by hashes of their names (tags).
 */
import { decode, encode } from '@msgpack/msgpack';
import { z } from 'zod';
import { hashText } from '../../hashRendezvous/index.js';
import { partFactsSchema, type EncodedPartFacts } from '../partFactsCodec/index.js';
import type { PeerUpdate, StoreChanges } from '../peerMessages/index.js';
import { nodeSchema } from '../peerMessages/index.js';

/** Result of decoding a message. */
export type DecodedMessage =
  | { readonly kind: 'update'; readonly update: PeerUpdate }
  | { readonly kind: 'changes'; readonly changes: StoreChanges }
  | { readonly kind: 'parts'; readonly facts: EncodedPartFacts }
  /** The sender is unknown, so that the age of the message cannot be determined. */
  | { readonly kind: 'unknownSender' }
  | { readonly kind: 'unreadable' };

/** Options of {@link decodeMessage}. */
export interface DecodeMessageOptions {
  /** Name and incarnation of the node with a tag, if it is known. */
  readonly findNode: (
    tag: number,
  ) => { readonly name: string; readonly incarnation: number } | undefined;
  /** Identifier of the endpoint with a tag, if it is known. */
  readonly findEndpoint: (tag: number) => string | undefined;
  /** Name of the availability zone with a tag, if it is known. */
  readonly findZone: (tag: number) => string | undefined;
}

/** Version of the message format; messages of other versions are dropped. */
const FORMAT_VERSION = 1;
const UPDATE_KIND = 1;
const STORE_CHANGES_KIND = 2;
const PART_FACTS_KIND = 3;
/** Factor of slowdowns on the wire, where they are integers. */
const SLOWDOWN_SCALE = 100;
/** Unit of memory on the wire, in token-layers. */
const TOKEN_LAYERS_UNIT = 256;
/** Maximum length of a message that is decoded, in bytes. */
const MAXIMUM_BYTES = 65_536;

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

const count = z.custom<number>(isCount);
// One check for the list: such lists are most of a message, and each node decodes many messages.
const counts = z.custom<number[]>((value) => Array.isArray(value) && value.every(isCount));
const updateSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(UPDATE_KIND),
  // Flags: bit 0 requests a reply, bit 1 reports access to the store.
  count,
  count,
  count,
  count,
  // Heartbeat counters, then nodes that stopped responding: tag, counter, tag, counter and so on.
  counts,
  counts,
  z.array(nodeSchema),
  // Loads: tag, requests, memory and so on; null when they are omitted.
  counts.nullable(),
  counts,
  counts,
  // Leaving: tag, start time and so on.
  counts,
  // Layers: tag, start time, accepted orders, from, to and so on.
  counts,
  // Slowdowns: tag, factor and so on.
  counts,
  // Availability zones: tag, age and so on.
  counts,
]);
const storeChangesSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(STORE_CHANGES_KIND),
  count,
  count,
  count,
  z.boolean(),
  z.array(z.tuple([z.string(), count, z.string().nullable()])),
]);

const partFactsMessageSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(PART_FACTS_KIND),
  partFactsSchema,
]);

const WANTS_REPLY_FLAG = 1;
const REACHES_STORE_FLAG = 2;

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
    (update.wantsReply ? WANTS_REPLY_FLAG : 0) + (update.isReachable ? REACHES_STORE_FLAG : 0);
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

/** Splits a flat list into groups of equal length; an incomplete last group is dropped. */
function splitIntoGroups(values: readonly number[], size: number): number[][] {
  const groups: number[][] = [];
  for (let index = 0; index + size <= values.length; index += size) {
    groups.push(values.slice(index, index + size));
  }
  return groups;
}

function decodeUpdate(
  value: z.infer<typeof updateSchema>,
  { findNode, findEndpoint, findZone }: DecodeMessageOptions,
): DecodedMessage {
  const [, , flags, nodesKnown, version, revision, heartbeats, lostNodes, nodes] = value;
  const [loads, lost, deregistered, leaving, layers, slowdowns, zones] = value.slice(9) as [
    number[] | null,
    number[],
    number[],
    number[],
    number[],
    number[],
    number[],
  ];
  const readHeartbeats = (flat: readonly number[]): [string, number, number][] =>
    splitIntoGroups(flat, 2).flatMap(([node = 0, heartbeat = 0]) => {
      const known = findNode(node);
      return known ? [[known.name, known.incarnation, heartbeat]] : [];
    });
  const readIds = (tags: readonly number[]): string[] =>
    tags.flatMap((tag) => findEndpoint(tag) ?? []);
  /**
   * Returns the groups that start with the tag of a known endpoint, which becomes its identifier.
   */
  const readEndpoints = (flat: readonly number[], size: number): [string, ...number[]][] =>
    splitIntoGroups(flat, size).flatMap(([tag = 0, ...numbers]) => {
      const id = findEndpoint(tag);
      return id === undefined ? [] : [[id, ...numbers] as [string, ...number[]]];
    });
  const sender = findNode(heartbeats[0] ?? -1);
  if (!sender) return { kind: 'unknownSender' };
  return {
    kind: 'update',
    update: {
      from: sender.name,
      wantsReply: (flags & WANTS_REPLY_FLAG) !== 0,
      isReachable: (flags & REACHES_STORE_FLAG) !== 0,
      nodesKnown,
      version,
      revision,
      heartbeats: readHeartbeats(heartbeats),
      lostNodes: readHeartbeats(lostNodes),
      zones: splitIntoGroups(zones, 2).flatMap(([zone = 0, age = 0]) => {
        const name = findZone(zone);
        return name === undefined ? [] : [[name, age] as const];
      }),
      nodes,
      loads:
        loads === null
          ? undefined
          : readEndpoints(loads, 3).map(([id, requests = 0, memory = 0]) => [
              id,
              requests,
              memory * TOKEN_LAYERS_UNIT,
            ]),
      lost: readIds(lost),
      deregistered: readIds(deregistered),
      leaving: readEndpoints(leaving, 2).map(([id, startedAt = 0]) => [id, startedAt]),
      layers: readEndpoints(layers, 5).map(([id, startedAt = 0, orders = 0, from = 0, to = 0]) => [
        id,
        startedAt,
        orders,
        from,
        to,
      ]),
      slowdowns: readEndpoints(slowdowns, 2).map(([id, slowdown = 0]) => [
        id,
        slowdown / SLOWDOWN_SCALE,
      ]),
    },
  };
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
  const update = updateSchema.safeParse(value);
  if (update.success) return decodeUpdate(update.data, options);
  const changes = storeChangesSchema.safeParse(value);
  if (changes.success) return decodeStoreChanges(changes.data, options);
  const parts = partFactsMessageSchema.safeParse(value);
  if (parts.success) return { kind: 'parts', facts: parts.data[2] };
  return { kind: 'unreadable' };
}
