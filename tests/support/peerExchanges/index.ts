/**
 * Nodes of one availability zone without sockets, which exchange messages under a virtual clock.
 */
import assert from 'node:assert/strict';
import { setImmediate } from 'node:timers/promises';
import type { Endpoint } from '../../../src/connection/createEndpointTable/index.js';
import { createRandom } from '../../../src/process/createRandom/index.js';
import { parseJson } from '../../../src/process/parseJson/index.js';
import {
  createPeerExchange,
  type PeerExchange,
} from '../../../src/process/site/createPeerExchange/index.js';
import { createSiteState } from '../../../src/process/site/createSiteState/index.js';
import type { SiteConfiguration } from '../../../src/types/site/index.js';
import {
  createEndpointRecord,
  NO_ADMISSION,
  NO_PERMITS,
  NO_RATE_LIMITS,
  NOOP_LOGGER,
  SOUND_LINKS,
} from '../site/index.js';

/** Configuration without routes. */
export const CONFIGURATION = {
  version: 7,
  routes: [],
  services: [],
  limits: {
    headerBytes: 1_000,
    bodyBytes: 1_000,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 1_000,
  },
};

/** Time between two rounds of a node, in milliseconds. */
export const ROUND = 300;
/** Step in which transfers advance, in milliseconds. */
const TICK = 20;
/** Time after which a request without a complete reply fails, in milliseconds. */
const REPLY_TIMEOUT = 600;
const BYTES_PER_MEGABIT = 125_000;

interface Transfer {
  readonly from: string;
  readonly text: string;
  readonly startedAt: number;
  remainingBytes: number;
  readonly resolve: (reply: unknown) => void;
}

/** Transfers replies over the link of their sender, which all its transfers share; slow ones time out. */
function createReplyLinks(megabitsPerSecond: number, now: () => number) {
  const transfers = new Set<Transfer>();
  const bytesPerTick = (megabitsPerSecond * BYTES_PER_MEGABIT * TICK) / 1_000;
  return {
    transfer: (from: string, text: string): Promise<unknown> => {
      if (bytesPerTick === Number.POSITIVE_INFINITY) return Promise.resolve(JSON.parse(text));
      return new Promise((resolve) => {
        const remainingBytes = Buffer.byteLength(text);
        transfers.add({ from, text, startedAt: now(), remainingBytes, resolve });
      });
    },
    advance: (): void => {
      const counts = new Map<string, number>();
      for (const { from } of transfers) counts.set(from, (counts.get(from) ?? 0) + 1);
      for (const transfer of [...transfers]) {
        transfer.remainingBytes -= bytesPerTick / (counts.get(transfer.from) ?? 1);
        const isComplete = transfer.remainingBytes <= 0;
        if (!isComplete && now() - transfer.startedAt < REPLY_TIMEOUT) continue;
        transfers.delete(transfer);
        transfer.resolve(isComplete ? JSON.parse(transfer.text) : undefined);
      }
    },
  };
}

/** Options of {@link createPeerExchanges}. */
export interface CreatePeerExchangesOptions {
  /** Bandwidth of each node's link for replies, in megabits per second; unlimited by default. */
  readonly linkMegabitsPerSecond?: number;
}

/**
 * Creates nodes of one availability zone that all know endpoint `i-1` and exchange updates in
 * rounds.
 *
 * @param names - names of the nodes, which are their addresses as well
 * @param options - the bandwidth of the links
 * @returns the nodes, what they did, and a function that runs rounds
 * @example
 * await createPeerExchanges(['a', 'b']).run(3);
 */
export function createPeerExchanges(
  names: readonly string[],
  { linkMegabitsPerSecond = Number.POSITIVE_INFINITY }: CreatePeerExchangesOptions = {},
) {
  const clock = { time: 10_000 };
  const now = (): number => clock.time;
  const exchanges = new Map<string, PeerExchange>();
  const links = createReplyLinks(linkMegabitsPerSecond, now);
  const deregistered: string[] = [];
  const forwarded: string[] = [];
  const checks: string[] = [];
  const requests: string[] = [];
  /** Nodes that are cut off from endpoints, and ages of the nodes' last connections. */
  const isolated = new Set<string>();
  const connectedAges = new Map<string, number>();
  /** Nodes that are not sure of their links. */
  const suspects = new Set<string>();
  /** Nodes that do not reach the store, and store revisions, by node. */
  const away = new Set<string>();
  const revisions = new Map<string, number>();
  const states = new Map(
    names.map((name) => {
      const state = createSiteState({
        decoders: {
          decodeConfiguration: (value) => value as SiteConfiguration | undefined,
          decodeEndpoint: (id) => createEndpointRecord({ id }),
        },
        logger: NOOP_LOGGER,
        now,
        parse: parseJson,
        onConfiguration: () => undefined,
      });
      state.applyEndpoint('i-1', 'any', 'store');
      return [name, state];
    }),
  );
  names.forEach((name, index) => {
    const state = states.get(name);
    assert.ok(state);
    const self = {
      name,
      availabilityZone: 'mission',
      callerAddress: name,
      peerAddress: name,
      incarnation: 1,
      isLeaving: false,
    };
    const exchange = createPeerExchange({
      self,
      seeds: names.filter((other) => other !== name),
      state,
      prober: {
        probe: (endpoint) => {
          checks.push(`${name} checks ${endpoint}`);
          return Promise.resolve(true);
        },
        probePath: () => undefined,
        refreshReport: () => Promise.resolve(undefined),
        fetchReportAt: () => Promise.resolve(undefined),
        reportLost: () => undefined,
      },
      logger: NOOP_LOGGER,
      peerPort: {
        send: (address, message) => exchanges.get(address)?.receive(message, name),
        sendRequest: (address, request) => {
          requests.push(`${name} sends a request to ${address}`);
          const reply = exchanges.get(address)?.handleRequest(JSON.parse(JSON.stringify(request)));
          return links.transfer(address, JSON.stringify(reply));
        },
      },
      onChanges: (changes) => forwarded.push(`${name}: ${changes.from} up to ${changes.revision}`),
      now,
      random: createRandom(index + 1),
      getFollower: () => ({
        getRevision: () => revisions.get(name) ?? 1,
        isReachable: () => !away.has(name),
      }),
      getPlanner: () => ({ listLayerUpdates: () => [], listSlowdowns: () => [] }),
      links: {
        ...SOUND_LINKS,
        isIsolated: () => isolated.has(name),
        isSuspect: () => isolated.has(name) || suspects.has(name),
        readConnectedAge: () => connectedAges.get(name) ?? Number.POSITIVE_INFINITY,
      },
      getRateLimits: () => NO_RATE_LIMITS,
      getPermits: () => NO_PERMITS,
      getAdmission: () => NO_ADMISSION,
      getParts: () => ({
        list: () => ({ reports: [], successes: [], trials: [] }),
        receive: () => undefined,
      }),
      onDeregistered: (endpoint) => deregistered.push(`${name}: ${endpoint}`),
    });
    exchanges.set(name, exchange);
  });
  const run = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      for (let tick = 0; tick < ROUND; tick += TICK) {
        clock.time += TICK;
        links.advance();
        await setImmediate();
      }
      for (const exchange of exchanges.values()) await exchange.step();
    }
  };
  const findEndpoint = (name: string): Endpoint => {
    const endpoint = states.get(name)?.endpoints.find('i-1');
    assert.ok(endpoint);
    return endpoint;
  };
  return {
    isolated,
    suspects,
    connectedAges,
    exchanges,
    deregistered,
    forwarded,
    checks,
    requests,
    away,
    revisions,
    states,
    run,
    findEndpoint,
  };
}
