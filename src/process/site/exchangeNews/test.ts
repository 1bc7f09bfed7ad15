import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecord, SILENT_LOGGER } from '../../../../tests/support/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import { createSiteState } from '../createSiteState/index.js';
import { createExchange, type Exchange } from './index.js';

const ROUND = 300;

/** Nodes of one availability zone that all know endpoint `i-1`, and exchange news in rounds. */
function createCase(names: readonly string[]) {
  const clock = { time: 10_000 };
  const now = (): number => clock.time;
  const exchanges = new Map<string, Exchange>();
  const gone: string[] = [];
  const states = new Map(
    names.map((name) => {
      const state = createSiteState({
        decoders: {
          decodeConfiguration: () => undefined,
          decodeEndpoint: (id) => createRecord({ id }),
        },
        logger: SILENT_LOGGER,
        now,
        parse: () => undefined,
        onConfiguration: () => undefined,
      });
      state.offerEndpoint('i-1', 'any', 'store');
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
    const exchange = createExchange({
      self,
      seeds: names.filter((other) => other !== name),
      state,
      examiner: {
        examine: () => Promise.resolve(true),
        examinePath: () => undefined,
        question: () => Promise.resolve(undefined),
        reportLost: () => undefined,
      },
      logger: SILENT_LOGGER,
      peerPort: {
        tell: (address, message) =>
          Promise.resolve(
            exchanges.get(address)?.peers.receive(JSON.parse(JSON.stringify(message))),
          ),
      },
      now,
      random: createRandom(index + 1),
      getFollower: () => ({ getRevision: () => 1, isReachable: () => true }),
      getPlanner: () => ({ listNews: () => [], listPaces: () => [] }),
      onGone: (endpoint) => gone.push(`${name}: ${endpoint}`),
    });
    exchanges.set(name, exchange);
  });
  const run = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      clock.time += ROUND;
      for (const exchange of exchanges.values()) await exchange.step();
    }
  };
  const findEndpoint = (name: string) => {
    const endpoint = states.get(name)?.endpoints.find('i-1');
    assert.ok(endpoint);
    return endpoint;
  };
  return { exchanges, gone, run, findEndpoint };
}

test('the load that a node puts on an endpoint is known to the others', async () => {
  const { run, findEndpoint } = createCase(['a', 'b', 'c']);
  Object.assign(findEndpoint('a'), { ownRequests: 3, ownTokenLayers: 1_200 });
  await run(5);
  assert.equal(findEndpoint('b').otherRequests, 3);
  assert.equal(findEndpoint('c').otherTokenLayers, 1_200);
  assert.equal(findEndpoint('a').otherRequests, 0);
});

test('a node that has heard no load yet says of how many nodes it does not know it', async () => {
  const { exchanges, run } = createCase(['a', 'b', 'c']);
  const first = exchanges.get('a');
  assert.ok(first);
  for (const name of ['b', 'c']) {
    const [record] = exchanges.get(name)?.peers.listAlive() ?? [];
    first.peers.introduceValue(record);
  }
  await first.step();
  assert.equal(first.countUnheardNodes(), 2);
  await run(3);
  assert.equal(first.countUnheardNodes(), 0);
  assert.ok(first.readLoadAge() <= ROUND);
});

test('an endpoint that one node saw leave is told to the others for a time', async () => {
  const { exchanges, gone, run } = createCase(['a', 'b', 'c']);
  await run(3);
  exchanges.get('a')?.noteGone('i-1');
  await run(3);
  assert.deepEqual([...new Set(gone)].sort(), ['b: i-1', 'c: i-1']);
  await run(20);
  gone.length = 0;
  await run(3);
  assert.deepEqual(gone, []);
});
