/**
 * Decoding of updates between nodes.
 */
import type { z } from 'zod';
import {
  ISOLATED_FLAG,
  REACHES_STORE_FLAG,
  SLOWDOWN_SCALE,
  TOKEN_LAYERS_UNIT,
  WANTS_REPLY_FLAG,
  type DecodedMessage,
  type DecodeMessageOptions,
  type updateSchema,
} from '../peerMessageFormat/index.js';

/** Splits a flat list into groups of equal length; an incomplete last group is dropped. */
function splitIntoGroups(values: readonly number[], size: number): number[][] {
  const groups: number[][] = [];
  for (let index = 0; index + size <= values.length; index += size) {
    groups.push(values.slice(index, index + size));
  }
  return groups;
}

/**
 * Decodes an update.
 *
 * @param value - the parsed message
 * @param options - look-ups of the known nodes, endpoints and availability zones
 * @returns the update; without it when its sender is not known
 * @example
 * decodeUpdate(updateSchema.parse(value), options).kind; // 'update'
 */
export function decodeUpdate(
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
      isIsolated: (flags & ISOLATED_FLAG) !== 0,
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
