/**
 * Format of the messages between nodes, as MessagePack arrays.
 */
import { z } from 'zod';
import { partFactsSchema, type EncodedPartFacts } from '../partFactsCodec/index.js';
import { nodeSchema, type PeerUpdate, type StoreChanges } from '../peerMessages/index.js';

/** Result of decoding a message. */
export type DecodedMessage =
  | { readonly kind: 'update'; readonly update: PeerUpdate }
  | { readonly kind: 'changes'; readonly changes: StoreChanges }
  | { readonly kind: 'parts'; readonly facts: EncodedPartFacts }
  | {
      readonly kind: 'rateLimits' | 'permitRequest' | 'permitReply' | 'demand';
      readonly numbers: readonly number[];
    }
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
export const FORMAT_VERSION = 1;
/** Kind of a message: its second element. */
export const UPDATE_KIND = 1;
export const STORE_CHANGES_KIND = 2;
export const PART_FACTS_KIND = 3;
export const RATE_LIMITS_KIND = 4;
export const PERMIT_REQUEST_KIND = 5;
export const PERMIT_REPLY_KIND = 6;
export const DEMAND_KIND = 7;
/** Factor of slowdowns on the wire, where they are integers. */
export const SLOWDOWN_SCALE = 100;
/** Unit of memory on the wire, in token-layers. */
export const TOKEN_LAYERS_UNIT = 256;
/** Maximum length of a message that is decoded, in bytes. */
export const MAXIMUM_BYTES = 65_536;

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

const count = z.custom<number>(isCount);
// One check for the list: such lists are most of a message, and each node decodes many messages.
const counts = z.custom<number[]>((value) => Array.isArray(value) && value.every(isCount));
/** Schema of an update. */
export const updateSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(UPDATE_KIND),
  // Flags: bit 0 requests a reply, bit 1 reports access to the store, bit 2 that no endpoint is reached.
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
/** Schema of changes of the store. */
export const storeChangesSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(STORE_CHANGES_KIND),
  count,
  count,
  count,
  z.boolean(),
  z.array(z.tuple([z.string(), count, z.string().nullable()])),
]);

/** Schema of facts about parts. */
export const partFactsMessageSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.literal(PART_FACTS_KIND),
  partFactsSchema,
]);

const numbersOf = <Kind extends number>(kind: Kind) =>
  z.tuple([z.literal(FORMAT_VERSION), z.literal(kind), counts]);
/** Schemas of rate limits, of requests for permits, of their replies and of demand, which consist of numbers. */
export const rateLimitsMessageSchema = numbersOf(RATE_LIMITS_KIND);
export const permitRequestMessageSchema = numbersOf(PERMIT_REQUEST_KIND);
export const permitReplyMessageSchema = numbersOf(PERMIT_REPLY_KIND);
export const demandMessageSchema = numbersOf(DEMAND_KIND);

/** Flags of an update. */
export const WANTS_REPLY_FLAG = 1;
export const REACHES_STORE_FLAG = 2;
export const ISOLATED_FLAG = 4;
