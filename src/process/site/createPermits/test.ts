/**
 * Guards against an endpoint that gets more than it announced because several nodes count on the same limit: nodes that
 * are cut off from each other, that restart, or whose messages are lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { countBusiestWindow } from '../../../../tests/support/countBusiestWindow/index.js';
import { NOOP_LOGGER } from '../../../../tests/support/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import { createRateLimits, type RateLimits } from '../createRateLimits/index.js';
import { createPermits, type Permits } from './index.js';

const ENDPOINT = { id: 'i-1', startedAt: 5 };
const MESSAGE_MILLISECONDS = 1;
/** Time after which nodes count others as lost, and how long they remember them, in milliseconds. */
const LOST_MILLISECONDS = 1_700;
const REMEMBER_MILLISECONDS = 60_000;
const WINDOW_MILLISECONDS = 4_000;
const DAY_MILLISECONDS = 20_000;
/** Time in which all nodes have to know a limit, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const ROUND_MILLISECONDS = 300;

interface Cut {
  readonly from: number;
  readonly until: number;
  /** Nodes on one side of the cut. */
  readonly side: ReadonlySet<number>;
}

interface Restart {
  readonly at: number;
  readonly node: number;
}

interface CaseOptions {
  readonly nodes: number;
  readonly requestsPerSecond: number;
  /** Requests that each node would send, in milliseconds between two. */
  readonly intervalMilliseconds: number;
  readonly lostShare?: number;
  readonly cuts?: readonly Cut[];
  readonly restarts?: readonly Restart[];
}

/** Plays nodes that send to one endpoint, and returns the times of the sends once all can know its limit. */
async function playDay(options: CaseOptions): Promise<number[]> {
  const { nodes: count, requestsPerSecond, intervalMilliseconds } = options;
  const { lostShare = 0, cuts = [], restarts = [] } = options;
  const time = createVirtualTime();
  const random = createRandom(7);
  const sends: number[] = [];
  const records = Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    availabilityZone: `zone-${index % 3}`,
    callerAddress: '',
    peerAddress: String(index),
    incarnation: 1,
    isLeaving: false,
  }));
  const processes: { limits: RateLimits; permits: Permits }[] = [];
  const findCut = (left: number, right: number): Cut | undefined =>
    cuts.find(
      ({ from, until, side }) =>
        time.now() >= from && time.now() < until && side.has(left) !== side.has(right),
    );
  const isLost = (left: number, right: number): boolean => {
    const cut = findCut(left, right);
    return cut !== undefined && time.now() - cut.from > LOST_MILLISECONDS;
  };
  const isKnown = (left: number, right: number): boolean => {
    const cut = findCut(left, right);
    return !cut || time.now() - cut.from < REMEMBER_MILLISECONDS;
  };
  const deliver = (from: number, address: string, action: (to: number) => void): void => {
    const to = Number(address);
    if (findCut(from, to) || random() < lostShare) return;
    time.schedule(MESSAGE_MILLISECONDS, () => {
      action(to);
    });
  };
  const startProcess = (index: number): void => {
    const self = records[index];
    assert.ok(self);
    const listAlive = () => records.filter((_, other) => !isLost(index, other));
    const limits = createRateLimits({
      self,
      clock: time,
      random,
      logger: NOOP_LOGGER,
      listAlive,
      send: (address, facts) => {
        deliver(index, address, (to) => processes[to]?.limits.receive(facts));
      },
    });
    const permits = createPermits({
      self: self.name,
      clock: time,
      rateLimits: limits,
      listAlive,
      countKnown: () => records.filter((_, other) => isKnown(index, other)).length,
      sendRequest: (address, request) => {
        deliver(index, address, (to) => processes[to]?.permits.handleRequest(request, `${index}`));
      },
      sendReply: (address, reply) => {
        deliver(index, address, (to) => processes[to]?.permits.handleReply(reply));
      },
    });
    processes[index] = { limits, permits };
    // A node that starts asks its neighbours first.
    const neighbour = processes.findIndex((_, other) => other !== index && !findCut(index, other));
    limits.receive(processes[neighbour]?.limits.list() ?? []);
  };
  const ask = async (index: number): Promise<void> => {
    const running = processes[index];
    assert.ok(running);
    const { permits, limits } = running;
    const limit = permits.findLimit(ENDPOINT);
    if (limit && permits.estimateWait(ENDPOINT) > 500) return;
    const permit = limit && (await permits.acquire(ENDPOINT, limit, 500));
    if (permit?.isGranted === false || processes[index] !== running) return;
    sends.push(time.now());
    limits.record(ENDPOINT, requestsPerSecond, 'response');
  };
  const loop = (index: number): void => {
    void ask(index);
    time.schedule(intervalMilliseconds * (0.5 + random()), () => {
      loop(index);
    });
  };
  records.forEach((_, index) => {
    startProcess(index);
  });
  const step = (): void => {
    for (const { limits } of processes) limits.step();
    time.schedule(ROUND_MILLISECONDS, step);
  };
  step();
  processes[0]?.limits.record(ENDPOINT, requestsPerSecond, 'response');
  records.forEach((_, index) => {
    time.schedule(intervalMilliseconds * random(), () => {
      loop(index);
    });
  });
  for (const { at, node } of restarts)
    time.schedule(at, () => {
      startProcess(node);
    });
  await time.run(KNOWN_MILLISECONDS + DAY_MILLISECONDS);
  return sends.filter((at) => at >= KNOWN_MILLISECONDS);
}

function countAllowed(requestsPerSecond: number): number {
  return Math.floor(1.5 * requestsPerSecond * (WINDOW_MILLISECONDS / 1_000) + 5);
}

for (const nodes of [1, 6, 78, 350]) {
  test(`${nodes} nodes together use a limit, and no more than it`, async () => {
    for (const requestsPerSecond of [1.1, 6.4, 40]) {
      const intervalMilliseconds = (1_000 * nodes) / (4 * requestsPerSecond);
      const sends = await playDay({ nodes, requestsPerSecond, intervalMilliseconds });
      const most = countBusiestWindow(sends, WINDOW_MILLISECONDS);
      const share = sends.length / (requestsPerSecond * (DAY_MILLISECONDS / 1_000));
      assert.ok(most <= countAllowed(requestsPerSecond), `${most} in 4 s`);
      assert.ok(share >= 0.8, `${share} of a limit of ${requestsPerSecond}`);
    }
  });
}

test('an endpoint never gets more than it allows, whatever nodes are cut off, restarted or not heard', async () => {
  const side = fc.uniqueArray(fc.nat(5), { minLength: 1, maxLength: 5 });
  const cut = fc.record({
    from: fc.nat(15_000),
    length: fc.integer({ min: 100, max: 9_000 }),
    side,
  });
  const restart = fc.record({ at: fc.integer({ min: 200, max: 18_000 }), node: fc.nat(5) });
  await fc.assert(
    fc.asyncProperty(
      fc.double({ min: 0.3, max: 30, noNaN: true }),
      fc.constantFrom(0, 0.1, 0.5),
      cut,
      fc.array(restart, { maxLength: 6 }),
      async (requestsPerSecond, lostShare, { from, length, side: nodes }, restarts) => {
        const sends = await playDay({
          nodes: 6,
          requestsPerSecond,
          intervalMilliseconds: 200,
          lostShare,
          cuts: [{ from, until: from + length, side: new Set(nodes) }],
          restarts,
        });
        const most = countBusiestWindow(sends, WINDOW_MILLISECONDS);
        const allowed = countAllowed(requestsPerSecond);
        assert.ok(most <= allowed, `${most} in 4 s, ${allowed} allowed`);
      },
    ),
    { seed: 1, numRuns: 80 },
  );
});
