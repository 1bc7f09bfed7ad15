import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { createRandom } from '../../createRandom/index.js';
import type { LogEventName } from '../logEvents/index.js';
import { createRateLimits, type RateLimits } from './index.js';

const ENDPOINT = { id: 'i-1', startedAt: 5 };
const MESSAGE_MILLISECONDS = 1;
const ROUND_MILLISECONDS = 300;

/** Creates nodes that send each other what they hear; a share of the messages is lost. */
function createCase(count: number, lostShare = 0) {
  const time = createVirtualTime();
  const random = createRandom(3);
  const events: LogEventName[] = [];
  const nodes = Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    availabilityZone: `zone-${index % 3}`,
    callerAddress: '',
    peerAddress: `node-${index}`,
    incarnation: 1,
    isLeaving: false,
  }));
  const limits = new Map<string, RateLimits>();
  for (const self of nodes) {
    limits.set(
      self.name,
      createRateLimits({
        self,
        clock: time,
        random,
        logger: { log: (event) => events.push(event) },
        listAlive: () => nodes,
        send: (address, facts) => {
          if (random() < lostShare) return;
          time.schedule(MESSAGE_MILLISECONDS, () => limits.get(address)?.receive(facts));
        },
      }),
    );
  }
  const all = [...limits.values()];
  const [first, second] = all;
  assert.ok(first && second);
  const round = (): void => {
    for (const node of all) node.step();
    time.schedule(ROUND_MILLISECONDS, round);
  };
  round();
  const listKnown = () => all.map((node) => node.find(ENDPOINT)?.requestsPerSecond);
  return { time, first, second, events, listKnown };
}

test('all nodes of a small site know a limit at once, and its end', async () => {
  const { time, first, second, listKnown } = createCase(6);
  first.record(ENDPOINT, 3.2, 'response');
  await time.run(50);
  assert.deepEqual(new Set(listKnown()), new Set([3.2]));
  second.record(ENDPOINT, undefined, 'report');
  await time.run(100);
  assert.deepEqual(new Set(listKnown()), new Set([undefined]));
});

test('all of 350 nodes know a limit within three seconds although a tenth of the messages is lost', async () => {
  const { time, first, listKnown } = createCase(350, 0.1);
  first.record(ENDPOINT, 1.1, 'response');
  await time.run(3_000);
  assert.equal(listKnown().filter((rate) => rate === 1.1).length, 350);
});

test('the latest response decides, in whichever order nodes learn of it', () => {
  const { first, second } = createCase(2);
  const fact = { endpoint: ENDPOINT.id, startedAt: ENDPOINT.startedAt };
  const facts = [
    { ...fact, requestsPerSecond: 4, heardAt: -30 },
    { ...fact, requestsPerSecond: undefined, heardAt: -10 },
    { ...fact, requestsPerSecond: 2, heardAt: -20 },
  ];
  first.receive(facts);
  second.receive([...facts].reverse());
  assert.equal(first.find(ENDPOINT), undefined);
  assert.equal(second.find(ENDPOINT), undefined);
});

test('an endpoint that restarted has no limit, and news of its earlier start is ignored', () => {
  const { first } = createCase(2);
  first.record(ENDPOINT, 2, 'response');
  const restarted = { ...ENDPOINT, startedAt: 9 };
  assert.equal(first.find(restarted), undefined);
  first.record(restarted, 7, 'response');
  first.record(ENDPOINT, 2, 'response');
  assert.equal(first.find(restarted)?.requestsPerSecond, 7);
});

test('a limit that varies little is told to the others and logged once', async () => {
  const { time, first, events } = createCase(2);
  for (let count = 0; count < 50; count += 1) {
    first.record(ENDPOINT, 10 + 0.004 * (count % 5), 'response');
    await time.run(time.now() + 20);
  }
  assert.equal(events.filter((event) => event === 'endpoint-limits').length, 2);
});

test('a limit of which nothing is heard any longer is forgotten after a minute', async () => {
  const { time, first } = createCase(2);
  first.record(ENDPOINT, 2, 'response');
  await time.run(59_000);
  assert.equal(first.find(ENDPOINT)?.requestsPerSecond, 2);
  await time.run(61_000);
  assert.equal(first.find(ENDPOINT), undefined);
});
