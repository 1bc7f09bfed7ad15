/**
 * Permits to send requests to endpoints with a rate limit, which holds for all nodes together.
 *
 * One node issues the permits for an endpoint, named by rendezvous hashing over the live nodes. A node that does not
 * reach the issuer keeps to a small part of the limit, which it may use alone.
 */
import { MILLISECONDS_PER_SECOND } from '../../../constants/index.js';
import { createPermitIssuer } from '../../../request/createPermitIssuer/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type {
  PermitDecision,
  PermitReply,
  PermitRequest,
  RateLimit,
} from '../../../types/rateLimit/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import type { EndpointRun, RateLimits } from '../createRateLimits/index.js';

/** Options of {@link createPermits}. */
export interface CreatePermitsOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly rateLimits: Pick<RateLimits, 'find' | 'receive'>;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
  /** Counts the nodes that are live or were lost recently, this one included. */
  readonly countKnown: () => number;
  readonly sendRequest: (address: string, request: PermitRequest) => void;
  readonly sendReply: (address: string, reply: PermitReply) => void;
}

/** Which node granted or denied a permit: the issuer of all nodes, or this one out of its own part. */
export type PermitOrigin = 'issuer' | 'part';

/** Decision about the permit to send a request now. */
export interface Permit extends PermitDecision {
  readonly origin: PermitOrigin;
}

/** Permits of one node. */
export interface Permits {
  /** Returns the limit of an endpoint that needs permits; undefined for any other one. */
  readonly findLimit: (endpoint: EndpointRun) => RateLimit | undefined;
  /** Estimates the time until a request may be sent to an endpoint, in milliseconds; 0 without a limit. */
  readonly estimateWait: (endpoint: EndpointRun) => number;
  /**
   * Asks for the permit to send one request; resolves when the request may be sent, or when it may not be sent within
   * the wait limit.
   */
  readonly acquire: (
    endpoint: EndpointRun,
    limit: RateLimit,
    maximumWaitMilliseconds: number,
  ) => Promise<Permit>;
  /** Handles the request of another node. */
  readonly handleRequest: (request: PermitRequest, address: string) => void;
  /** Handles the reply of another node. */
  readonly handleReply: (reply: PermitReply) => void;
}

/** Time after which an unanswered request is repeated, in milliseconds, and how often it is sent. */
const REPLY_MILLISECONDS = 60;
const MAXIMUM_SENDS = 2;
/**
 * Minimum rate of an issuer, so that an endpoint that announces 0 gets a request from time to time and can end its
 * limit, in requests per second.
 */
const MINIMUM_PER_SECOND = 0.25;
/** Share of the limit that all nodes together may use without the issuer. */
const PARTS_SHARE = 0.4;
/**
 * Share of the limit that an issuer grants, for each share of the known nodes that it counts as live. Nodes that are
 * cut off from each other have an issuer each.
 */
const ISSUED_SHARE_PER_LIVE_SHARE = 1.2;
/** Wait that a node names which is not the issuer, while nodes differ in which are live, in milliseconds. */
const OTHER_ISSUER_WAIT_MILLISECONDS = 100;
/** Maximum wait that is expected after the issuer did not answer, in milliseconds. */
const MAXIMUM_PART_WAIT_MILLISECONDS = 1_000;
/** Time after its due time in which a permit may be used, in milliseconds. */
const USE_MILLISECONDS = 300;

function formatKey({ id, startedAt }: EndpointRun): string {
  return `${id}/${startedAt}`;
}

/**
 * Creates the permits of a node.
 *
 * @param options - the rate limits, the other nodes, and the ways to send to them
 * @returns the permits
 * @example
 * await createPermits(options).acquire(endpoint.record, limit, 500);
 */
export function createPermits(options: CreatePermitsOptions): Permits {
  const { self, clock, rateLimits, listAlive, countKnown, sendRequest, sendReply } = options;
  const { now } = clock;
  const issuer = createPermitIssuer({ minimumPerSecond: MINIMUM_PER_SECOND });
  const ownPart = createPermitIssuer();
  const waiting = new Map<number, (decision: PermitDecision) => void>();
  /** Time at which the next permit for an endpoint is expected, by endpoint, in milliseconds. */
  const expectedAt = new Map<string, number>();
  let requests = 0;

  const findIssuer = (id: string): NodeRecord | undefined => {
    const nodes = listAlive().filter(({ isLeaving }) => !isLeaving);
    const name = findOwner(
      `permits/${id}`,
      nodes.map((node) => node.name),
    );
    return nodes.find((node) => node.name === name);
  };
  const issue = (
    endpoint: EndpointRun,
    requestsPerSecond: number,
    maximumWaitMilliseconds: number,
  ): PermitDecision => {
    const share = ISSUED_SHARE_PER_LIVE_SHARE * (listAlive().length / countKnown());
    const permitsPerSecond = requestsPerSecond * Math.min(1, share);
    const demand = { key: formatKey(endpoint), permitsPerSecond, maximumWaitMilliseconds };
    return issuer.reserve(demand, now());
  };
  const issueOwnPart = (
    endpoint: EndpointRun,
    { requestsPerSecond, knownSince }: RateLimit,
    maximumWaitMilliseconds: number,
  ): PermitDecision => {
    const permitsPerSecond = (requestsPerSecond * PARTS_SHARE) / countKnown();
    const key = formatKey(endpoint);
    const demand = { key, permitsPerSecond, maximumWaitMilliseconds, since: knownSince };
    return ownPart.reserve(demand, now());
  };
  /** Asks another node; resolves to undefined when it does not reply. */
  const ask = (
    address: string,
    fact: PermitRequest['fact'],
    maximumWaitMilliseconds: number,
  ): Promise<PermitDecision | undefined> =>
    new Promise((resolve) => {
      requests += 1;
      const id = requests;
      let sends = 0;
      let cancelTimer = (): void => undefined;
      const finish = (decision?: PermitDecision): void => {
        cancelTimer();
        waiting.delete(id);
        resolve(decision);
      };
      const send = (): void => {
        if (sends === MAXIMUM_SENDS) {
          finish();
          return;
        }
        sends += 1;
        sendRequest(address, { id, fact, maximumWaitMilliseconds });
        cancelTimer = clock.schedule(REPLY_MILLISECONDS, send);
      };
      waiting.set(id, finish);
      send();
    });
  const decide = async (
    endpoint: EndpointRun,
    limit: RateLimit,
    maximumWaitMilliseconds: number,
  ): Promise<Permit> => {
    const { id, startedAt } = endpoint;
    const { requestsPerSecond, heardAt } = limit;
    const node = findIssuer(id);
    if (!node || node.name === self) {
      return {
        ...issue(endpoint, requestsPerSecond, maximumWaitMilliseconds),
        origin: 'issuer',
      };
    }
    const fact = { endpoint: id, startedAt, requestsPerSecond, heardAt };
    const decision = await ask(node.peerAddress, fact, maximumWaitMilliseconds);
    if (decision) return { ...decision, origin: 'issuer' };
    return { ...issueOwnPart(endpoint, limit, maximumWaitMilliseconds), origin: 'part' };
  };
  /** Decides about the request of another node. */
  const decideFor = (endpoint: EndpointRun, maximumWaitMilliseconds: number): PermitDecision => {
    const limit = rateLimits.find(endpoint);
    // This node heard later than the requesting one that the limit has ended.
    if (!limit) return { isGranted: true, waitMilliseconds: 0 };
    if (findIssuer(endpoint.id)?.name !== self)
      return { isGranted: false, waitMilliseconds: OTHER_ISSUER_WAIT_MILLISECONDS };
    return issue(endpoint, limit.requestsPerSecond, maximumWaitMilliseconds);
  };
  const waitFor = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      clock.schedule(milliseconds, resolve);
    });
  const recordExpected = (
    endpoint: EndpointRun,
    { requestsPerSecond }: RateLimit,
    { isGranted, waitMilliseconds, origin }: Permit,
  ): void => {
    const rate = Math.max(MINIMUM_PER_SECOND, requestsPerSecond);
    const interval = isGranted ? MILLISECONDS_PER_SECOND / rate : 0;
    const wait = waitMilliseconds + interval;
    // The issuer, or a new one, may answer the next request.
    const expected = origin === 'part' ? Math.min(wait, MAXIMUM_PART_WAIT_MILLISECONDS) : wait;
    expectedAt.set(endpoint.id, now() + expected);
  };

  return {
    findLimit: rateLimits.find,
    estimateWait: (endpoint) => {
      if (rateLimits.find(endpoint)) return Math.max(0, (expectedAt.get(endpoint.id) ?? 0) - now());
      expectedAt.delete(endpoint.id);
      return 0;
    },
    acquire: async (endpoint, limit, maximumWaitMilliseconds) => {
      const permit = await decide(endpoint, limit, maximumWaitMilliseconds);
      recordExpected(endpoint, limit, permit);
      if (!permit.isGranted || permit.waitMilliseconds === 0) return permit;
      const dueAt = now() + permit.waitMilliseconds;
      await waitFor(permit.waitMilliseconds);
      // A node that was held up must not send what it was permitted long ago.
      const isUsable = now() - dueAt <= USE_MILLISECONDS;
      return { ...permit, isGranted: isUsable, waitMilliseconds: 0 };
    },
    handleRequest: ({ id, fact, maximumWaitMilliseconds }, address) => {
      rateLimits.receive([fact]);
      const run = { id: fact.endpoint, startedAt: fact.startedAt };
      sendReply(address, { id, ...decideFor(run, maximumWaitMilliseconds) });
    },
    handleReply: ({ id, ...decision }) => {
      waiting.get(id)?.(decision);
    },
  };
}
