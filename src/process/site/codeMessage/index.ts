/**
 * Form of messages between nodes on the wire: positional arrays in MessagePack, in which nodes and
 * endpoints go by hashes of their names.
 */
import { decode, encode } from '@msgpack/msgpack';
import { z } from 'zod';
import { hashText } from '../../hashRendezvous/index.js';
import type { PeerNews, StoreChanges } from '../peerNews/index.js';
import { nodeSchema } from '../peerNews/index.js';

/** A message that was read. */
export type DecodedMessage =
  | { readonly kind: 'news'; readonly news: PeerNews }
  | { readonly kind: 'changes'; readonly changes: StoreChanges }
  /** The sender is not known, so that nothing in the message can be trusted to be news. */
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

/** Version of the form; messages of other versions are dropped. */
const FORM_VERSION = 1;
const NEWS_KIND = 1;
const CHANGES_KIND = 2;
/** Factor of a pace on the wire, which is a whole number. */
const PACE_SCALE = 100;
/** Unit of memory on the wire, in tokens times layers. */
const TOKEN_LAYERS_UNIT = 256;
/** Longest message that is read, in bytes. */
const MOST_BYTES = 65_536;

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

const count = z.custom<number>(isCount);
// One check for a whole list: these are most of a message, and each node reads many messages.
const counts = z.custom<number[]>((value) => Array.isArray(value) && value.every(isCount));
const newsSchema = z.tuple([
  z.literal(FORM_VERSION),
  z.literal(NEWS_KIND),
  // Flags: bit 0 wants an answer, bit 1 reaches the store.
  count,
  count,
  count,
  count,
  // Beats, and then nodes that fell silent: tag, beat, tag, beat and so on.
  counts,
  counts,
  z.array(nodeSchema),
  // Loads: tag, requests, memory and so on; null when they are left out.
  counts.nullable(),
  counts,
  counts,
  // Leaving: tag, birth and so on.
  counts,
  // Layers: tag, birth, accepted orders, from, to and so on.
  counts,
  // Paces: tag, factor and so on.
  counts,
  // Availability zones: tag, age and so on.
  counts,
]);
const changesSchema = z.tuple([
  z.literal(FORM_VERSION),
  z.literal(CHANGES_KIND),
  count,
  count,
  count,
  z.boolean(),
  z.array(z.tuple([z.string(), count, z.string().nullable()])),
]);

const WANTS_ANSWER = 1;
const IS_REACHABLE = 2;

/**
 * Computes the tag of a node on the wire.
 *
 * @param node - its name and incarnation
 * @returns a whole number below 2^32
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
 * @returns a whole number below 2^32
 * @example
 * tagEndpoint('i-7f3a91c2');
 */
export function tagEndpoint(id: string): number {
  return hashText(id);
}

function tagBeats(beats: PeerNews['beats']): number[] {
  return beats.flatMap(([name, incarnation, beat]) => [tagNode({ name, incarnation }), beat]);
}

/**
 * Encodes news.
 *
 * @param news - the news
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodeNews(news), port, host);
 */
export function encodeNews(news: PeerNews): Uint8Array {
  const flags = (news.wantsAnswer ? WANTS_ANSWER : 0) + (news.isReachable ? IS_REACHABLE : 0);
  return encode([
    FORM_VERSION,
    NEWS_KIND,
    flags,
    news.nodesKnown,
    news.version,
    news.revision,
    tagBeats(news.beats),
    tagBeats(news.lostNodes),
    news.nodes,
    news.loads?.flatMap(([id, requests, tokenLayers]) => [
      tagEndpoint(id),
      requests,
      Math.ceil(tokenLayers / TOKEN_LAYERS_UNIT),
    ]) ?? null,
    news.lost.map(tagEndpoint),
    news.gone.map(tagEndpoint),
    news.leaving.flatMap(([id, bornAt]) => [tagEndpoint(id), bornAt]),
    news.layers.flatMap(([id, ...numbers]) => [tagEndpoint(id), ...numbers]),
    news.paces.flatMap(([id, pace]) => [tagEndpoint(id), Math.round(pace * PACE_SCALE)]),
    news.zones.flatMap(([zone, age]) => [hashText(zone), Math.round(age)]),
  ]);
}

/**
 * Encodes changes of the store.
 *
 * @param changes - the changes
 * @param incarnation - incarnation of the sender
 * @returns the bytes of one datagram
 * @example
 * socket.send(encodeChanges(changes, incarnation), port, host);
 */
export function encodeChanges(changes: StoreChanges, incarnation: number): Uint8Array {
  return encode([
    FORM_VERSION,
    CHANGES_KIND,
    tagNode({ name: changes.from, incarnation }),
    changes.after,
    changes.revision,
    changes.isShortened,
    changes.items.map(({ key, revision, value }) => [key, revision, value ?? null]),
  ]);
}

/** Cuts a flat list into groups of equal length; what is left over is dropped. */
function group(values: readonly number[], size: number): number[][] {
  const groups: number[][] = [];
  for (let index = 0; index + size <= values.length; index += size) {
    groups.push(values.slice(index, index + size));
  }
  return groups;
}

function decodeNews(
  value: z.infer<typeof newsSchema>,
  { findNode, findEndpoint, findZone }: DecodeMessageOptions,
): DecodedMessage {
  const [, , flags, nodesKnown, version, revision, beats, lostNodes, nodes] = value;
  const [loads, lost, gone, leaving, layers, paces, zones] = value.slice(9) as [
    number[] | null,
    number[],
    number[],
    number[],
    number[],
    number[],
    number[],
  ];
  const readBeats = (flat: readonly number[]): [string, number, number][] =>
    group(flat, 2).flatMap(([node = 0, beat = 0]) => {
      const known = findNode(node);
      return known ? [[known.name, known.incarnation, beat]] : [];
    });
  const readIds = (tags: readonly number[]): string[] =>
    tags.flatMap((each) => findEndpoint(each) ?? []);
  /** Groups that begin with the tag of a known endpoint. */
  const readEndpoints = (flat: readonly number[], size: number): [string, ...number[]][] =>
    group(flat, size).flatMap(([each = 0, ...numbers]) => {
      const id = findEndpoint(each);
      return id === undefined ? [] : [[id, ...numbers] as [string, ...number[]]];
    });
  const sender = findNode(beats[0] ?? -1);
  if (!sender) return { kind: 'unknownSender' };
  return {
    kind: 'news',
    news: {
      from: sender.name,
      wantsAnswer: (flags & WANTS_ANSWER) !== 0,
      isReachable: (flags & IS_REACHABLE) !== 0,
      nodesKnown,
      version,
      revision,
      beats: readBeats(beats),
      lostNodes: readBeats(lostNodes),
      zones: group(zones, 2).flatMap(([zone = 0, age = 0]) => {
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
      gone: readIds(gone),
      leaving: readEndpoints(leaving, 2).map(([id, bornAt = 0]) => [id, bornAt]),
      layers: readEndpoints(layers, 5).map(([id, bornAt = 0, orders = 0, from = 0, to = 0]) => [
        id,
        bornAt,
        orders,
        from,
        to,
      ]),
      paces: readEndpoints(paces, 2).map(([id, pace = 0]) => [id, pace / PACE_SCALE]),
    },
  };
}

function decodeChanges(
  value: z.infer<typeof changesSchema>,
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
  if (bytes.length > MOST_BYTES) return undefined;
  try {
    return decode(bytes);
  } catch {
    // The caller counts it as unreadable.
    return undefined;
  }
}

/**
 * Decodes a message.
 *
 * Nodes and endpoints that this node does not know are left out.
 *
 * @param bytes - bytes of one datagram, from anybody
 * @param options - what this node knows
 * @returns the message, or why there is none
 * @example
 * decodeMessage(bytes, { findNode, findEndpoint }).kind; // 'news'
 */
export function decodeMessage(bytes: Uint8Array, options: DecodeMessageOptions): DecodedMessage {
  const value = readValue(bytes);
  const news = newsSchema.safeParse(value);
  if (news.success) return decodeNews(news.data, options);
  const changes = changesSchema.safeParse(value);
  if (changes.success) return decodeChanges(changes.data, options);
  return { kind: 'unreadable' };
}
