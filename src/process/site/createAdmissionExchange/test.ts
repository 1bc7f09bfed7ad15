/**
 * Guards against nodes whose shares differ, so that an urgent request is refused on one node while another one admits
 * a less urgent request: after a network partition, on a node that has just started, beside nodes of earlier versions,
 * and where messages are late or lost. Guards also against messages that grow with the site.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { NodeRecord } from '../../../types/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import { encodeNumbersMessage, tagNode } from '../peerMessageCodec/index.js';
import { DEMAND_KIND } from '../peerMessageFormat/index.js';
import { createAdmissionExchange, type AdmissionExchange, type ShareChange } from './index.js';

const SERVICE = 'assistant';
const ZONES = ['mission', 'abbotsford', 'hope'] as const;
const ROUND_MILLISECONDS = 300;
const TICK_MILLISECONDS = 10;
const TOKEN_LAYERS = 72_000;
/** Headers of IP and UDP, in bytes. */
const DATAGRAM_HEADER_BYTES = 28;
const STAY_MILLISECONDS = 3_000;
const PRIORITIES = [1, 2, 3] as const;

interface SiteOptions {
  readonly nodes: number;
  readonly seed?: number;
  readonly priorities?: readonly number[];
  /** Number of the nodes that neither send nor read messages of this kind; 0 by default. */
  readonly oldNodes?: number;
  /** Share of the messages that are lost; a tenth by default. */
  readonly lossShare?: number;
}

/** Plays nodes whose callers demand more than the capacity, of which requests of the least urgent priority hold most. */
function createSite(options: SiteOptions) {
  const {
    nodes: count,
    seed = 1,
    priorities = PRIORITIES,
    oldNodes = 0,
    lossShare = 0.1,
  } = options;
  const random = createRandom(seed);
  const records: NodeRecord[] = [];
  const exchanges = new Map<string, AdmissionExchange>();
  const timers: { at: number; run: () => void }[] = [];
  const changes: ShareChange[] = [];
  const services = new Map([[SERVICE, priorities]]);
  /** Names of the nodes on the far side of a partition. */
  let farSide = new Set<string>();
  let now = 0;
  let bytes = 0;
  let longestMessage = 0;

  const isConnected = (left: string, right: string): boolean =>
    farSide.has(left) === farSide.has(right);
  const schedule = (milliseconds: number, run: () => void): void => {
    timers.push({ at: now + milliseconds, run });
  };
  const add = (name: string, availabilityZone: string, isOld: boolean): void => {
    const address = `peer-${name}`;
    const self: NodeRecord = {
      name,
      availabilityZone,
      callerAddress: name,
      peerAddress: address,
      incarnation: 1,
      isLeaving: false,
    };
    records.push(self);
    if (isOld) return;
    const exchange = createAdmissionExchange({
      self,
      clock: { now: () => now },
      random,
      listAlive: () => records.filter((record) => isConnected(name, record.name)),
      findNode: (tag) => records.find((record) => tagNode(record) === tag),
      listServices: () => services,
      findCapacity: () => ({ slots: 680, tokenLayers: 680 * TOKEN_LAYERS }),
      estimateStay: () => STAY_MILLISECONDS,
      send: (target, numbers) => {
        const message = encodeNumbersMessage(DEMAND_KIND, numbers);
        longestMessage = Math.max(longestMessage, message.length);
        bytes += message.length + DATAGRAM_HEADER_BYTES;
        const receiver = records.find(({ peerAddress }) => peerAddress === target)?.name ?? '';
        if (random() < lossShare || !isConnected(name, receiver)) return;
        schedule(1 + 100 * random(), () => exchanges.get(receiver)?.receive(numbers));
      },
      onChange: (change) => changes.push(change),
    });
    exchanges.set(name, exchange);
    const phase = ROUND_MILLISECONDS * random();
    const repeat = (): void => {
      exchange.step();
      schedule(ROUND_MILLISECONDS, repeat);
    };
    schedule(phase, repeat);
  };
  const callers = new Map<string, readonly [priority: number, perSecond: number][]>();
  /** Sets the requests per second of all nodes of a zone together; every third is served. */
  const setDemand = (zone: string, demand: readonly [priority: number, perSecond: number][]) => {
    callers.set(zone, demand);
  };
  const arrive = (exchange: AdmissionExchange, priority: number): void => {
    const request = { priority, tokenLayers: TOKEN_LAYERS };
    exchange.record(SERVICE, request);
    if (random() < 1 / 3) schedule(STAY_MILLISECONDS, exchange.hold(SERVICE, request));
  };
  const run = (milliseconds: number): void => {
    for (const until = now + milliseconds; now < until; now += TICK_MILLISECONDS) {
      const due = timers.filter(({ at }) => at <= now);
      timers.splice(0, timers.length, ...timers.filter(({ at }) => at > now));
      for (const timer of due) timer.run();
      for (const [zone, demand] of callers) {
        const local = records.filter(({ availabilityZone }) => availabilityZone === zone);
        for (const [priority, perSecond] of demand) {
          if (random() >= (perSecond * TICK_MILLISECONDS) / 1_000) continue;
          const exchange = exchanges.get(local[Math.floor(random() * local.length)]?.name ?? '');
          if (exchange) arrive(exchange, priority);
        }
      }
    }
  };
  const listShares = (priority: number): number[] =>
    [...exchanges.values()].map((exchange) => exchange.findShare(SERVICE, priority));
  for (let index = 0; index < count; index += 1)
    add(`node-${index}`, ZONES[index % ZONES.length] ?? ZONES[0], index < oldNodes);
  return {
    exchanges,
    changes,
    records,
    run,
    setDemand,
    listShares,
    start: (name: string, zone: string) => {
      add(name, zone, false);
    },
    cutZone: (zone: string | undefined) => {
      const far = records.filter(({ availabilityZone }) => availabilityZone === zone);
      farSide = new Set(far.map(({ name }) => name));
    },
    countBytes: () => bytes,
    getLongestMessage: () => longestMessage,
  };
}

type Site = ReturnType<typeof createSite>;

function setUsualDemand(site: Site): void {
  for (const zone of ZONES)
    site.setDemand(zone, [
      [1, 60],
      [2, 20],
      [3, 40],
    ]);
}

function computeSpread(shares: readonly number[]): number {
  return Math.max(...shares) - Math.min(...shares);
}

/** Computes the difference between the 5th and the 95th percentile. */
function computeUsualSpread(shares: readonly number[]): number {
  const sorted = [...shares].sort((left, right) => left - right);
  const index = Math.floor(0.05 * sorted.length);
  return (sorted.at(-1 - index) ?? 0) - (sorted[index] ?? 0);
}

for (const nodes of [1, 6, 36, 86, 350]) {
  test(`${nodes} nodes reach similar shares, in order of priority`, () => {
    const site = createSite({ nodes });
    setUsualDemand(site);
    site.run(5_000);
    for (const priority of PRIORITIES)
      assert.ok(computeUsualSpread(site.listShares(priority)) <= 0.15);
    for (const exchange of site.exchanges.values()) {
      const shares = PRIORITIES.map((priority) => exchange.findShare(SERVICE, priority));
      assert.equal(shares[0], 1);
      assert.ok((shares[1] ?? 1) < 0.95, `shares ${shares.join(', ')}`);
      assert.ok((shares[2] ?? 1) <= (shares[1] ?? 0));
    }
  });
}

test('shares are released when the urgent requests end', () => {
  const site = createSite({ nodes: 36 });
  setUsualDemand(site);
  site.run(5_000);
  assert.ok(Math.max(...site.listShares(3)) < 0.9);
  for (const zone of ZONES) site.setDemand(zone, [[3, 40]]);
  site.run(8_000);
  assert.ok(Math.min(...site.listShares(3)) >= 0.97, 'all but the hysteresis is released');
});

test('shares agree within two rounds after a partition in which the zones had different demand', () => {
  for (const nodes of [6, 36, 86]) {
    const site = createSite({ nodes, lossShare: 0 });
    setUsualDemand(site);
    site.run(4_000);
    site.cutZone(ZONES[0]);
    site.setDemand(ZONES[0], [
      [1, 10],
      [3, 60],
    ]);
    site.run(5_000);
    const apart = computeSpread(site.listShares(3));
    site.cutZone(undefined);
    site.run(2 * ROUND_MILLISECONDS + 110);
    const spread = computeUsualSpread(site.listShares(3));
    assert.ok(spread <= 0.15, `${nodes} nodes: ${spread} apart, ${apart} before`);
  }
});

test('a node that has just started admits no more than the others', () => {
  for (const nodes of [6, 36, 86]) {
    const site = createSite({ nodes });
    setUsualDemand(site);
    site.run(5_000);
    site.start('node-new', ZONES[1]);
    for (let elapsed = 0; elapsed < 3_000; elapsed += 50) {
      const started = site.exchanges.get('node-new')?.findShare(SERVICE, 3) ?? 1;
      const largest = Math.max(
        ...[...site.exchanges]
          .filter(([name]) => name !== 'node-new')
          .map(([, exchange]) => exchange.findShare(SERVICE, 3)),
      );
      assert.ok(started <= largest + 0.05, `${started} after ${elapsed} ms, others ${largest}`);
      site.run(50);
    }
  }
});

test('nodes that hear of no other one count their own demand for each node', () => {
  const site = createSite({ nodes: 6, lossShare: 1 });
  setUsualDemand(site);
  site.run(5_000);
  assert.ok(Math.max(...site.listShares(3)) < 0.95);
});

test('the new nodes limit less urgent requests while half of the nodes or most of them are old', () => {
  for (const oldNodes of [18, 30]) {
    const site = createSite({ nodes: 36, oldNodes });
    setUsualDemand(site);
    site.run(5_000);
    assert.ok(Math.max(...site.listShares(3)) < 0.95, `${oldNodes} of 36 nodes are old`);
  }
});

test('a service without demand or with one priority sends nothing and limits nothing', () => {
  const idle = createSite({ nodes: 6 });
  idle.run(5_000);
  assert.equal(idle.countBytes(), 0);
  assert.equal(Math.min(...idle.listShares(3)), 1);
  const other = createSite({ nodes: 6 });
  const [exchange] = other.exchanges.values();
  exchange?.record('booking', { priority: 3, tokenLayers: 0 });
  exchange?.hold('booking', { priority: 3, tokenLayers: 0 })();
  other.run(1_000);
  assert.equal(exchange?.findShare('booking', 3), 1);
  assert.equal(other.countBytes(), 0);
});

test('messages stay within their bounds at 350 nodes, also with many priorities', () => {
  for (const priorities of [PRIORITIES, [1, 2, 3, 4, 5, 6, 7, 8, 9]]) {
    const site = createSite({ nodes: 350, priorities });
    for (const zone of ZONES)
      site.setDemand(
        zone,
        priorities.map((priority) => [priority, 30]),
      );
    site.run(3_000);
    const before = site.countBytes();
    site.run(3_000);
    const bytesPerSecond = (site.countBytes() - before) / 3 / 350;
    assert.ok(bytesPerSecond <= 6_000, `${bytesPerSecond} bytes a second`);
    assert.ok(site.getLongestMessage() <= 1_200, `${site.getLongestMessage()} bytes`);
  }
});

test('malformed messages, and those of unknown nodes, change nothing', () => {
  const site = createSite({ nodes: 6 });
  site.run(2_000);
  const [exchange] = site.exchanges.values();
  for (const numbers of [[], [1], [1, 2, 3, 4], new Array<number>(9_000).fill(1)])
    exchange?.receive(numbers);
  site.run(ROUND_MILLISECONDS);
  assert.deepEqual(exchange?.listShares(), []);
});

test('logs a share that changed by more than a tenth, and not each small change', () => {
  const site = createSite({ nodes: 6 });
  setUsualDemand(site);
  site.run(10_000);
  assert.ok(site.changes.length > 0);
  for (const { share, before } of site.changes) assert.ok(Math.abs(share - before) > 0.1);
  const rounds = (6 * 10_000) / ROUND_MILLISECONDS;
  assert.ok(site.changes.length < rounds / 4, `${site.changes.length} lines`);
});

/** Guards against messages and limits where a few requests have another priority than nearly all. */
test('a priority with a negligible part of the demand neither limits others nor causes messages', () => {
  const site = createSite({ nodes: 6 });
  for (const zone of ZONES)
    site.setDemand(zone, [
      [1, 0.2],
      [3, 60],
    ]);
  site.run(6_000);
  assert.deepEqual([...new Set(site.listShares(3))], [1]);
  assert.equal(site.countBytes(), 0);
});
