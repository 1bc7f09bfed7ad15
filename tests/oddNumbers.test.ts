/**
 * Two complete nodes, and numbers that endpoints and callers send them. Guards against nodes that lose
 * each other because a number that one node took from outside makes its messages unreadable.
 */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { after, before, test } from 'node:test';
import {
  serveSiteEndpoint,
  writeEvents,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  registerEndpoint,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  streamCompletely,
  waitFor,
  waitUntilReady,
  type TestNode,
} from './support/siteNodes/index.js';

const LAYERS = { from: 0, to: 4 };
/** Time after which a node whose messages cannot be read counts as lost, and more, in milliseconds. */
const LOSS_MILLISECONDS = 3_500;

let store: SiteStore;
let nodes: TestNode[];
let engine: SiteEndpoint;
let second: SiteEndpoint;

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function countLosses(): number {
  return nodes.flatMap(({ logs }) => logs).filter((line) => line.includes('"node-lost"')).length;
}

function sendStream(headers: Readonly<Record<string, string>> = {}) {
  const address = nodes[0]?.callers ?? '';
  return sendCallerRequest({ address, path: '/ask/x', method: 'POST', body: 'q', headers });
}

before(async () => {
  store = await startStore();
  store.put('op/config', createPlatformConfiguration(1));
  engine = await serveSiteEndpoint({ id: 'engine-1', handle: streamCompletely });
  second = await serveSiteEndpoint({ id: 'engine-2', handle: streamCompletely });
  for (const endpoint of [engine, second]) {
    endpoint.layers = LAYERS;
    registerEndpoint(store, endpoint, MODEL_SERVICE, { layers: LAYERS });
  }
  nodes = await Promise.all(['node-1', 'node-2'].map((name) => startNode(name, store)));
  await Promise.all(nodes.map(waitUntilReady));
  const hasJoined = ({ logs }: TestNode): boolean =>
    logs.some((line) => line.includes('"node-joined"'));
  await waitFor('the nodes know each other', () => nodes.every(hasJoined));
});

after(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await store.close();
  await Promise.all([engine, second].map((endpoint) => endpoint.crash()));
});

test('an endpoint that reports a slowdown without bound does not part the nodes', async () => {
  engine.slowdown = 1e308;
  await wait(LOSS_MILLISECONDS + 3_000);
  engine.slowdown = 1;
  assert.equal(countLosses(), 0);
  assert.equal((await sendStream()).status, 200);
});

/** Streams events for longer than it takes to lose a node. */
function streamSlowly(request: ReceivedRequest, response: ServerResponse): void {
  writeEvents(request, response, 1);
  let id = 1;
  const timer = setInterval(() => {
    id += 1;
    response.write(`id: ${id}\ndata: t${id}\n\n`);
    if (id < STREAM_EVENT_COUNT) return;
    clearInterval(timer);
    response.end();
  }, LOSS_MILLISECONDS / STREAM_EVENT_COUNT);
}

const ODD_COUNTS = {
  'below zero': ['-320,400', '-30,200', '-320.5,500'],
  'that is none': ['0.5,1e308', 'NaN,Infinity', '1e400,1', '0x10,1', '5', '', ',,'],
};

for (const [kind, odd] of Object.entries(ODD_COUNTS)) {
  test(`a request with a number of tokens ${kind} does not part the nodes`, async () => {
    const lossesBefore = countLosses();
    for (const endpoint of [engine, second]) endpoint.handle = streamSlowly;
    const sent = odd.map((counts) => sendStream({ 'Token-Counts': counts, 'Length-Hint': '300' }));
    for (const { status } of await Promise.all(sent)) assert.equal(status, 200);
    assert.equal(countLosses(), lossesBefore);
  });
}
