/**
 * Complete nodes whose store holds odd entries among those of the endpoints. Guards against nodes that
 * end, stop following the store, or send requests by an entry that another writer left: one that is very
 * deeply nested, has a number that is too large, or names a port that is out of range.
 */
import assert from 'node:assert/strict';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { after, before, test } from 'node:test';
import { serveSiteEndpoint, type SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { listOddEntries, type OddEntry } from './support/oddEntries/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  streamCompletely,
  waitFor,
  waitUntilReady,
  type TestNode,
} from './support/siteNodes/index.js';

/** Longest time for which odd entries may keep a node from its other work, in milliseconds. */
const LONGEST_BLOCK_MILLISECONDS = 3_000;
const LAYERS = { from: 0, to: 4 };
const NANOSECONDS_PER_MILLISECOND = 1e6;
const FAILURES = /"message":"(loop-failed|request-crashed|item-failed|message-failed)"/;

let store: SiteStore;
let plain: SiteEndpoint;
let engine: SiteEndpoint;
/** Endpoint whose address odd entries name; nothing may reach it. */
let trap: SiteEndpoint;
const endpoints: SiteEndpoint[] = [];
const nodes: TestNode[] = [];

async function serve(id: string, isEngine: boolean): Promise<SiteEndpoint> {
  const handle = isEngine ? streamCompletely : respondCompletely;
  const endpoint = await serveSiteEndpoint({ id, handle });
  if (isEngine) endpoint.layers = LAYERS;
  endpoints.push(endpoint);
  return endpoint;
}

function registerSound(): void {
  registerEndpoint(store, plain, PLAIN_SERVICE);
  registerEndpoint(store, engine, MODEL_SERVICE, { layers: LAYERS });
}

/** Odd entries of both services, under identifiers of their own. */
function listEntries(address: string): OddEntry[] {
  const common = { zone: 'mission', version: 'v1', slots: 8, state: 'ready', born: 1_000 };
  return [MODEL_SERVICE, PLAIN_SERVICE].flatMap((service) =>
    listOddEntries({ ...common, service, address, route_type: 'large', layers: LAYERS }),
  );
}

async function checkServes(node: TestNode): Promise<void> {
  for (const path of ['/look/x', '/book/x', '/ask/x']) {
    const method = path === '/look/x' ? 'GET' : 'POST';
    const { status } = await sendCallerRequest({ address: node.callers, path, method });
    assert.equal(status, 200, path);
  }
}

/** Checks that a node goes on: it serves, sees a further endpoint, and nothing reached the trap. */
async function checkGoesOn(node: TestNode, id: string): Promise<void> {
  await checkServes(node);
  const late = await serve(id, false);
  registerEndpoint(store, late, PLAIN_SERVICE);
  await waitFor(`requests reach ${id}`, async () => {
    await checkServes(node);
    return late.received.length > 0;
  });
  store.remove(`servers/${id}`);
  assert.equal(trap.received.length, 0);
  assert.equal(trap.orders.length, 0);
  assert.deepEqual(
    node.logs.filter((line) => FAILURES.test(line)),
    [],
  );
}

before(async () => {
  store = await startStore();
  plain = await serve('plain', false);
  engine = await serve('engine', true);
  trap = await serve('trap', true);
  store.put('op/config', createPlatformConfiguration(1));
  registerSound();
});

after(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

test('a node that starts on odd entries serves by the others and goes on following', async () => {
  const entries = listEntries(trap.address);
  entries.forEach(({ value }, index) => {
    store.put(`servers/odd-${index}`, value);
  });
  const delay = monitorEventLoopDelay();
  delay.enable();
  const node = await startNode('node-1', store);
  nodes.push(node);
  await waitUntilReady(node);
  await checkGoesOn(node, 'late-1');
  assert.ok(delay.max / NANOSECONDS_PER_MILLISECOND < LONGEST_BLOCK_MILLISECONDS);
});

test('a node goes on while odd entries are written, one by one', async () => {
  const node = await startNode('node-2', store);
  nodes.push(node);
  await waitUntilReady(node);
  const delay = monitorEventLoopDelay();
  delay.enable();
  for (const [index, { value }] of listEntries(trap.address).entries()) {
    store.put(`servers/odd-${index}`, `${value.toString('latin1')} `);
    if (index % 8 === 0) await checkServes(node);
  }
  await checkGoesOn(node, 'late-2');
  assert.ok(delay.max / NANOSECONDS_PER_MILLISECOND < LONGEST_BLOCK_MILLISECONDS);
});

test('odd keys name no endpoint', async () => {
  const node = nodes[0];
  assert.ok(node);
  const odd = ['', '__proto__', 'a\nb', 'a\r\nX: 1', 'é€', 'x'.repeat(2_000)];
  for (const id of odd) {
    const entry = { id, address: trap.address };
    if (id !== '__proto__') registerEndpoint(store, entry, PLAIN_SERVICE);
    store.put(`servers/${id}`, '{}');
  }
  for (const id of odd) {
    if (id !== '__proto__')
      registerEndpoint(store, { id, address: trap.address }, MODEL_SERVICE, { layers: LAYERS });
  }
  await checkGoesOn(node, 'late-3');
  for (const id of odd) store.remove(`servers/${id}`);
});
