/**
 * Rate limits of endpoints, as this node or another one heard them from the endpoints.
 *
 * A limit holds for the requests of all nodes together, so that each node tells the others at once what it heard. The
 * latest response of an endpoint decides, whichever node received it.
 */
import type { Clock } from '../../../types/clock/index.js';
import type { RateLimit, RateLimitFact } from '../../../types/rateLimit/index.js';
import type { EndpointRecord, NodeRecord } from '../../../types/site/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import { pickFanout } from '../pickFanout/index.js';

/** Where this node learned of a limit. */
export type RateLimitSource = 'response' | 'report' | 'peer';

/** Endpoint and the start for which a limit holds. */
export type EndpointRun = Pick<EndpointRecord, 'id' | 'startedAt'>;

/** Options of {@link createRateLimits}. */
export interface CreateRateLimitsOptions {
  readonly self: Pick<NodeRecord, 'name' | 'availabilityZone'>;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Pick<SiteLogger, 'log'>;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
  readonly send: (address: string, facts: readonly RateLimitFact[]) => void;
}

/** Rate limits that a node knows. */
export interface RateLimits {
  /** Returns the limit of an endpoint; undefined when none is known. */
  readonly find: (endpoint: EndpointRun) => RateLimit | undefined;
  /** Records what an endpoint announced in a response to this node; undefined for no limit. */
  readonly record: (
    endpoint: EndpointRun,
    requestsPerSecond: number | undefined,
    source: Exclude<RateLimitSource, 'peer'>,
  ) => void;
  /** Applies what other nodes heard. */
  readonly receive: (facts: readonly RateLimitFact[]) => void;
  /** Lists all that is known, for a node that has just started. */
  readonly list: () => RateLimitFact[];
  /** Sends recent changes to a random node, and forgets what is old. */
  readonly step: () => void;
}

/** Time after a change in which further ones are gathered into the same message, in milliseconds. */
const GATHER_MILLISECONDS = 5;
/** Time for which a change is sent in each round, in milliseconds. */
const ANNOUNCE_MILLISECONDS = 3_000;
/** Relative difference from which another value counts as a change that is told to other nodes. */
const CHANGE_SHARE = 0.05;
/** Time after the last response with a limit or without one after which it is forgotten, in milliseconds. */
const FORGET_MILLISECONDS = 60_000;
const MAXIMUM_FACTS_PER_MESSAGE = 40;

interface Entry {
  fact: RateLimitFact;
  knownSince: number;
  /** When its value last changed, in milliseconds. */
  changedAt: number;
}

function hasChanged(before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after;
  return Math.abs(after - before) > CHANGE_SHARE * Math.max(before, after);
}

/**
 * Creates the rate limits of a node that knows none.
 *
 * @param options - this node, the other nodes, and the way to send to them
 * @returns the rate limits
 * @example
 * createRateLimits(options).record(endpoint.record, 3.2, 'response');
 */
export function createRateLimits(options: CreateRateLimitsOptions): RateLimits {
  const { self, clock, random, logger, listAlive, send } = options;
  const { now } = clock;
  const entries = new Map<string, Entry>();
  let isFlushScheduled = false;
  let unsent: RateLimitFact[] = [];

  const sendTo = (addresses: readonly string[], facts: readonly RateLimitFact[]): void => {
    for (let start = 0; start < facts.length; start += MAXIMUM_FACTS_PER_MESSAGE) {
      const message = facts.slice(start, start + MAXIMUM_FACTS_PER_MESSAGE);
      for (const address of addresses) send(address, message);
    }
  };
  const flush = (): void => {
    isFlushScheduled = false;
    const facts = unsent;
    unsent = [];
    sendTo(pickFanout({ self, nodes: listAlive(), random }), facts);
  };
  const announce = (fact: RateLimitFact): void => {
    unsent.push(fact);
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    clock.schedule(GATHER_MILLISECONDS, flush);
  };
  const logChange = ({ endpoint, requestsPerSecond }: RateLimitFact, source: RateLimitSource) => {
    if (requestsPerSecond === undefined) logger.log('endpoint-limit-ended', { endpoint, source });
    else logger.log('endpoint-limits', { endpoint, requestsPerSecond, source });
  };
  const findEntry = ({ id, startedAt }: EndpointRun): Entry | undefined => {
    const entry = entries.get(id);
    return entry?.fact.startedAt === startedAt ? entry : undefined;
  };
  const apply = (fact: RateLimitFact, source: RateLimitSource): void => {
    const { endpoint: id, startedAt, requestsPerSecond, heardAt } = fact;
    const known = entries.get(id);
    if (known && startedAt < known.fact.startedAt) return;
    const entry = findEntry({ id, startedAt });
    if (entry && heardAt <= entry.fact.heardAt) return;
    const before = entry?.fact.requestsPerSecond;
    const isChange = hasChanged(before, requestsPerSecond);
    // An endpoint that announces nothing, as nearly all do, needs no entry.
    if (!entry && requestsPerSecond === undefined) return;
    const hadLimit = before !== undefined;
    entries.set(id, {
      fact: isChange ? fact : { ...fact, requestsPerSecond: before },
      knownSince: hadLimit && entry ? entry.knownSince : now(),
      changedAt: isChange ? now() : (entry?.changedAt ?? now()),
    });
    if (!isChange) return;
    logChange(fact, source);
    announce(fact);
  };
  return {
    find: (endpoint) => {
      const entry = findEntry(endpoint);
      const requestsPerSecond = entry?.fact.requestsPerSecond;
      if (!entry || requestsPerSecond === undefined) return undefined;
      const { fact, knownSince } = entry;
      return { requestsPerSecond, heardAt: fact.heardAt, knownSince };
    },
    record: ({ id, startedAt }, requestsPerSecond, source) => {
      apply({ endpoint: id, startedAt, requestsPerSecond, heardAt: now() }, source);
    },
    receive: (facts) => {
      for (const fact of facts) apply(fact, 'peer');
    },
    list: () => [...entries.values()].map(({ fact }) => fact),
    step: () => {
      for (const [id, { fact }] of entries)
        if (now() - fact.heardAt > FORGET_MILLISECONDS) entries.delete(id);
      const recent = [...entries.values()].filter(
        ({ changedAt }) => now() - changedAt < ANNOUNCE_MILLISECONDS,
      );
      const others = listAlive().filter(({ name }) => name !== self.name);
      const [other] = shuffleItems(others, random);
      if (recent.length === 0 || !other) return;
      sendTo(
        [other.peerAddress],
        recent.map(({ fact }) => fact),
      );
    },
  };
}
