/**
 * Encoding of rate limits and permits for messages between nodes, which have clocks of their own.
 */
import type { PermitReply, PermitRequest, RateLimitFact } from '../../../types/rateLimit/index.js';

/** Factor of rates on the wire, where they are integers. */
const RATE_SCALE = 1_000;
/** Rates on the wire are one higher, as 0 stands for no limit. */
const RATE_OFFSET = 1;
/** Maximum rate on the wire, in requests per second; a higher one limits nothing. */
const MAXIMUM_PER_SECOND = 1_000_000_000;
/** Numbers of one fact: endpoint, start, rate and age. */
export const NUMBERS_PER_FACT = 4;

/** Identifies endpoints by a number on the wire. */
export interface EndpointTags {
  readonly tagEndpoint: (id: string) => number;
  /** Returns the identifier of the endpoint with a tag, if it is known. */
  readonly findEndpoint: (tag: number) => string | undefined;
}

/**
 * Encodes facts as numbers.
 *
 * @param facts - the facts, with times in milliseconds on the clock of this node
 * @param now - the time of this node in milliseconds
 * @param tagEndpoint - returns the tag of an endpoint
 * @returns four numbers for each fact
 * @example
 * encodeRateLimits(facts, clock.now(), tagEndpoint);
 */
export function encodeRateLimits(
  facts: readonly RateLimitFact[],
  now: number,
  tagEndpoint: EndpointTags['tagEndpoint'],
): number[] {
  return facts.flatMap(({ endpoint, startedAt, requestsPerSecond, heardAt }) => [
    tagEndpoint(endpoint),
    startedAt,
    requestsPerSecond === undefined
      ? 0
      : RATE_OFFSET + Math.round(Math.min(MAXIMUM_PER_SECOND, requestsPerSecond) * RATE_SCALE),
    Math.max(0, Math.round(now - heardAt)),
  ]);
}

/**
 * Decodes facts; those about endpoints that this node does not know are omitted.
 *
 * @param numbers - four numbers for each fact
 * @param now - the time of this node in milliseconds
 * @param findEndpoint - returns the endpoint with a tag
 * @returns the facts, with times in milliseconds on the clock of this node
 * @example
 * decodeRateLimits(encodeRateLimits(facts, now, tagEndpoint), now, findEndpoint);
 */
export function decodeRateLimits(
  numbers: readonly number[],
  now: number,
  findEndpoint: EndpointTags['findEndpoint'],
): RateLimitFact[] {
  const facts: RateLimitFact[] = [];
  for (let index = 0; index + NUMBERS_PER_FACT <= numbers.length; index += NUMBERS_PER_FACT) {
    const [tag = 0, startedAt = 0, rate = 0, age = 0] = numbers.slice(index);
    const endpoint = findEndpoint(tag);
    if (endpoint === undefined) continue;
    const requestsPerSecond = rate === 0 ? undefined : (rate - RATE_OFFSET) / RATE_SCALE;
    facts.push({ endpoint, startedAt, requestsPerSecond, heardAt: now - age });
  }
  return facts;
}

/**
 * Encodes the request for a permit.
 *
 * @param request - the request
 * @param now - the time of this node in milliseconds
 * @param tagEndpoint - returns the tag of an endpoint
 * @returns its number, the wait limit in milliseconds, and the limit that is known
 * @example
 * encodePermitRequest(request, clock.now(), tagEndpoint);
 */
export function encodePermitRequest(
  { id, fact, maximumWaitMilliseconds }: PermitRequest,
  now: number,
  tagEndpoint: EndpointTags['tagEndpoint'],
): number[] {
  const fields = encodeRateLimits([fact], now, tagEndpoint);
  return [id, Math.max(0, Math.floor(maximumWaitMilliseconds)), ...fields];
}

/**
 * Decodes the request for a permit.
 *
 * @param numbers - the encoded request
 * @param now - the time of this node in milliseconds
 * @param findEndpoint - returns the endpoint with a tag
 * @returns the request; undefined when this node does not know its endpoint
 * @example
 * decodePermitRequest(encodePermitRequest(request, now, tagEndpoint), now, findEndpoint);
 */
export function decodePermitRequest(
  [id = 0, maximumWaitMilliseconds = 0, ...fields]: readonly number[],
  now: number,
  findEndpoint: EndpointTags['findEndpoint'],
): PermitRequest | undefined {
  const [fact] = decodeRateLimits(fields, now, findEndpoint);
  if (fact?.requestsPerSecond === undefined) return undefined;
  const { requestsPerSecond } = fact;
  return { id, maximumWaitMilliseconds, fact: { ...fact, requestsPerSecond } };
}

/**
 * Encodes the reply to the request for a permit. A wait is rounded up.
 *
 * @param reply - the reply
 * @returns its number, 1 where the permit is granted, and the wait in milliseconds
 * @example
 * encodePermitReply({ id: 1, isGranted: true, waitMilliseconds: 0.2 }); // [1, 1, 1]
 */
export function encodePermitReply({ id, isGranted, waitMilliseconds }: PermitReply): number[] {
  return [id, isGranted ? 1 : 0, Math.ceil(waitMilliseconds)];
}

/**
 * Decodes the reply to the request for a permit.
 *
 * @param numbers - the encoded reply
 * @returns the reply
 * @example
 * decodePermitReply([1, 1, 250]).isGranted; // true
 */
export function decodePermitReply([
  id = 0,
  granted = 0,
  waitMilliseconds = 0,
]: readonly number[]): PermitReply {
  return { id, isGranted: granted === 1, waitMilliseconds };
}
