import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecord, SILENT_LOGGER } from '../../../../tests/support/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import { parseJson } from '../../parseJson/index.js';
import type { SiteConfiguration } from '../../../types/site/index.js';
import { createSiteState } from '../createSiteState/index.js';
import { createExchange, type Exchange } from './index.js';

const CONFIGURATION = {
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

const ROUND = 300;

/** Nodes of one availability zone that all know endpoint `i-1`, and exchange news in rounds. */
function createCase(names: readonly string[]) {
  const clock = { time: 10_000 };
  const now = (): number => clock.time;
  const exchanges = new Map<string, Exchange>();
  const gone: string[] = [];
  const passed: string[] = [];
  const checks: string[] = [];
  const questions: string[] = [];
  /** Nodes that do not reach the store, and versions of the configuration, by node. */
  const away = new Set<string>();
  const revisions = new Map<string, number>();
  const states = new Map(
    names.map((name) => {
      const state = createSiteState({
        decoders: {
          decodeConfiguration: (value) => value as SiteConfiguration | undefined,
          decodeEndpoint: (id) => createRecord({ id }),
        },
        logger: SILENT_LOGGER,
        now,
        parse: parseJson,
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
        examine: (endpoint) => {
          checks.push(`${name} checks ${endpoint}`);
          return Promise.resolve(true);
        },
        examinePath: () => undefined,
        question: () => Promise.resolve(undefined),
        reportLost: () => undefined,
      },
      logger: SILENT_LOGGER,
      peerPort: {
        send: (address, message) => exchanges.get(address)?.receive(message, name),
        ask: (address, question) => {
          questions.push(`${name} asks ${address}`);
          const answer = exchanges.get(address)?.answer(JSON.parse(JSON.stringify(question)));
          return Promise.resolve(JSON.parse(JSON.stringify(answer)));
        },
      },
      onChanges: (changes) => passed.push(`${name}: ${changes.from} up to ${changes.revision}`),
      now,
      random: createRandom(index + 1),
      getFollower: () => ({
        getRevision: () => revisions.get(name) ?? 1,
        isReachable: () => !away.has(name),
      }),
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
  return { exchanges, gone, passed, checks, questions, away, revisions, states, run, findEndpoint };
}

test('the load that a node puts on an endpoint is known to the others', async () => {
  const { run, findEndpoint } = createCase(['a', 'b', 'c']);
  Object.assign(findEndpoint('a'), { ownRequests: 3, ownTokenLayers: 1_280 });
  await run(5);
  assert.equal(findEndpoint('b').otherRequests, 3);
  assert.equal(findEndpoint('c').otherTokenLayers, 1_280);
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

test('a newer configuration is asked for and spreads to all', async () => {
  const { states, run } = createCase(['a', 'b', 'c', 'd', 'e']);
  await run(3);
  states.get('a')?.offerConfiguration(JSON.stringify(CONFIGURATION), 'store');
  await run(5);
  for (const state of states.values()) assert.equal(state.getVersion(), 7);
});

test('a node that does not reach the store is given the registry by one that does', async () => {
  const { states, away, revisions, run } = createCase(['a', 'b']);
  await run(3);
  away.add('b');
  revisions.set('a', 9);
  states.get('a')?.offerEndpoint('i-2', 'any', 'store');
  states.get('a')?.offerEndpoint('i-1', undefined, 'store');
  await run(4);
  assert.deepEqual(
    states
      .get('b')
      ?.endpoints.list()
      .map(({ record }) => record.id),
    ['i-2'],
  );
});

test('changes of the store are passed on to the nodes of the group', async () => {
  const { exchanges, passed, run } = createCase(['a', 'b', 'c']);
  await run(3);
  exchanges.get('a')?.passOn({ from: 'a', after: 1, revision: 4, items: [], isShortened: false });
  assert.deepEqual(passed, ['b: a up to 4', 'c: a up to 4']);
});

test('nodes that know each other ask nothing', async () => {
  const { questions, run } = createCase(['a', 'b', 'c']);
  await run(10);
  questions.length = 0;
  await run(20);
  assert.deepEqual(questions, []);
});

test('a message that cannot be read, or a question, changes nothing and is counted', async () => {
  const { exchanges, run } = createCase(['a', 'b']);
  await run(3);
  const first = exchanges.get('a');
  assert.ok(first);
  first.receive(Buffer.from('no message'), 'b');
  assert.equal(first.countUnreadable(), 1);
  assert.equal(first.answer({ node: 'none' }), undefined);
  assert.equal(first.peers.listAlive().length, 2);
});

test('an endpoint that says that it is leaving is told to the others', async () => {
  const { run, findEndpoint } = createCase(['a', 'b', 'c']);
  await run(3);
  findEndpoint('a').leavingSince = 10_900;
  await run(4);
  assert.notEqual(findEndpoint('c').leavingSince, undefined);
});

const MANY = Array.from({ length: 40 }, (_, index) => `n${index}`);

test('a loss that one node tells of is checked by a few nodes, and by those that use the endpoint', async () => {
  const { checks, run, findEndpoint } = createCase(MANY);
  await run(6);
  findEndpoint('n7').ownRequests = 2;
  Object.assign(findEndpoint('n0'), { lossFoundAt: 10_000 + 6 * ROUND, lostUntil: 60_000 });
  await run(9);
  assert.ok(checks.includes('n7 checks i-1'));
  assert.ok(checks.length >= 2 && checks.length <= 16, `${checks.length} checks`);
  assert.equal(findEndpoint('n20').lostUntil, Number.NEGATIVE_INFINITY);
});

test('a loss that two nodes found is believed by others for a time, and not told on', async () => {
  const { run, findEndpoint } = createCase(MANY);
  await run(6);
  for (const name of ['n0', 'n1'])
    Object.assign(findEndpoint(name), { lossFoundAt: 10_000 + 6 * ROUND, lostUntil: 60_000 });
  await run(9);
  const believing = MANY.filter((name) => findEndpoint(name).lostUntil > 0);
  assert.ok(believing.length > 4, `${believing.length} nodes`);
  for (const name of believing.slice(2)) assert.equal(findEndpoint(name).lossFoundAt, undefined);
});
