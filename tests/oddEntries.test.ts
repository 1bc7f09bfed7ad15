/**
 * Complete nodes whose store holds odd entries among those of the endpoints. Guards against nodes that
 * end, stop following the store, or send requests by an entry that another writer left: one that is very
 * deeply nested, has a number that is too large, or names a port that is out of range.
 */
import assert from 'node:assert/strict';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { after, before, test } from 'node:test';
import { listOddEntries, type OddEntry } from '../standins/listOddEntries/index.js';
import { serveSiteEndpoint, type SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
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
/** Length of an entry, in characters, that costs little to write again and again. */
const SHORT_LENGTH = 1_000;
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

/** Lists odd entries of a service that name the trap, but for what is odd about them. */
function listEntries(service: string, maximumLength = Number.POSITIVE_INFINITY): OddEntry[] {
  const common = { zone: 'mission', version: 'v1', slots: 8, state: 'ready', born: 1_000 };
  const { address } = trap;
  const sound = { ...common, service, address, route_type: 'large', layers: LAYERS };
  return listOddEntries(sound).filter(({ value }) => value.length <= maximumLength);
}

/** All odd entries, the long ones once. */
function listAllEntries(): OddEntry[] {
  return [...listEntries(MODEL_SERVICE), ...listEntries(PLAIN_SERVICE, SHORT_LENGTH)];
}

/** Configuration whose time limits leave room for a machine that does other work. */
function createConfiguration(): object {
  const configuration = createPlatformConfiguration(1) as { readonly routes: readonly object[] };
  const routes = configuration.routes.map((route) => ({ ...route, timeout_ms: 5_000 }));
  return { ...configuration, routes };
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
  store.put('op/config', createConfiguration());
  registerSound();
});

after(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

test('a node that starts on odd entries serves by the others and goes on following', async () => {
  listAllEntries().forEach(({ value }, index) => {
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
  for (const [index, { value }] of listAllEntries().entries()) {
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

/** An entry that names no endpoint must not take away the one that its key named before. */
test('an odd entry under the identifier of a sound endpoint does not take its place', async () => {
  for (const [index, { value }] of listEntries(MODEL_SERVICE, SHORT_LENGTH).entries()) {
    store.put('servers/plain', value);
    store.put('servers/engine', value);
    if (index % 8 !== 0) continue;
    for (const node of nodes) await checkServes(node);
    // A sound endpoint writes again with its next heartbeat.
    registerSound();
  }
  for (const node of nodes) await checkGoesOn(node, `late-4-${node.name}`);
});
