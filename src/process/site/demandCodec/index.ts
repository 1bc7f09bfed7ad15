/**
 * Encoding of the demand of a node as numbers, for messages between nodes.
 */
import type { PriorityDemand, ServiceDemand } from '../../../types/admission/index.js';
import { hashText } from '../../hashRendezvous/index.js';

/** Demand of a node, for some of its services. */
export interface DemandReport {
  /** Tag of the node. */
  readonly sender: number;
  /** Demand by the tag of the service. */
  readonly demands: ReadonlyMap<number, ServiceDemand>;
}

/** Factor of rates on the wire, where they are integers. */
const RATE_SCALE = 100;
/** Unit of memory on the wire, in token-layers. */
const TOKEN_LAYERS_UNIT = 1_024;
/** Maximum of a number on the wire, so that sums over all nodes stay exact. */
const MAXIMUM_NUMBER = 0xffff_ffff;
/** Numbers before the priorities of a service: its tag, the mean stay and the number of priorities. */
const NUMBERS_PER_SERVICE = 3;
/** Numbers of a priority: the priority, two rates, and what its requests hold in requests and memory. */
const NUMBERS_PER_PRIORITY = 5;
/** Maximum number of priorities in a message, over all services. */
export const MAXIMUM_DEMAND_PRIORITIES = 24;
/** Maximum length of a message, in which each service has a priority at least. */
const MAXIMUM_NUMBERS =
  1 + MAXIMUM_DEMAND_PRIORITIES * (NUMBERS_PER_SERVICE + NUMBERS_PER_PRIORITY);

function toInteger(value: number): number {
  return Math.min(MAXIMUM_NUMBER, Math.max(0, Math.round(value)));
}

function encodePriority(demand: PriorityDemand): number[] {
  return [
    demand.priority,
    toInteger(demand.requestsPerSecond * RATE_SCALE),
    toInteger(demand.tokenLayersPerSecond / TOKEN_LAYERS_UNIT),
    toInteger(demand.heldRequests),
    toInteger(demand.heldTokenLayers / TOKEN_LAYERS_UNIT),
  ];
}

function decodePriority(numbers: readonly number[]): PriorityDemand {
  const [priority = 0, rate = 0, tokenLayerRate = 0, heldRequests = 0, held = 0] = numbers;
  return {
    priority,
    requestsPerSecond: rate / RATE_SCALE,
    tokenLayersPerSecond: tokenLayerRate * TOKEN_LAYERS_UNIT,
    heldRequests,
    heldTokenLayers: held * TOKEN_LAYERS_UNIT,
  };
}

/**
 * Encodes the demand of a node.
 *
 * @param sender - tag of the node
 * @param demands - demand by service, with at most `MAXIMUM_DEMAND_PRIORITIES` priorities in total
 * @returns the numbers of the message
 * @example
 * encodeDemands(tagNode(self), new Map([['assistant', demand]]));
 */
export function encodeDemands(
  sender: number,
  demands: ReadonlyMap<string, ServiceDemand>,
): number[] {
  const services = [...demands].flatMap(([service, { stayMilliseconds, priorities }]) => [
    hashText(service),
    toInteger(stayMilliseconds),
    priorities.length,
    ...priorities.flatMap(encodePriority),
  ]);
  return [sender, ...services];
}

/**
 * Decodes the demand of a node.
 *
 * @param numbers - numbers of the message, from any sender
 * @returns the demand by tag of the service, or undefined when the numbers are malformed
 * @example
 * decodeDemands(encodeDemands(tagNode(self), demands))?.demands.size;
 */
export function decodeDemands(numbers: readonly number[]): DemandReport | undefined {
  const [sender] = numbers;
  if (sender === undefined || numbers.length > MAXIMUM_NUMBERS) return undefined;
  const demands = new Map<number, ServiceDemand>();
  let decoded = 0;
  let index = 1;
  while (index < numbers.length) {
    const [tag = 0, stayMilliseconds = 0, count = 0] = numbers.slice(index);
    const from = index + NUMBERS_PER_SERVICE;
    decoded += count;
    index = from + count * NUMBERS_PER_PRIORITY;
    if (index > numbers.length || decoded > MAXIMUM_DEMAND_PRIORITIES) return undefined;
    const priorities = Array.from({ length: count }, (_, position) => {
      const start = from + position * NUMBERS_PER_PRIORITY;
      return decodePriority(numbers.slice(start, start + NUMBERS_PER_PRIORITY));
    });
    demands.set(tag, { stayMilliseconds, priorities });
  }
  return { sender, demands };
}
