/**
 * Nodes that lose their links to endpoints, while callers, the store and the other nodes reach them. Guards against
 * nodes that answer nothing although their neighbours reach every endpoint, and against neighbours that take over
 * the view of the nodes that are cut off.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { createEndpointPort } from '../src/process/relay/createEndpointPort/index.js';
import { serveSiteEndpoint, type SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { createLinkCut, type CutKind, type LinkCut } from './support/cutEndpointPort/index.js';
import {
  COMPLETE_STREAM,
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
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const NODE_COUNT = 4;
const ENGINE_COUNT = 5;
const PLAIN_COUNT = 3;
const REQUEST_INTERVAL_MILLISECONDS = 40;
/** Time in which nodes have to adapt to a cut. */
const CONTACT_MILLISECONDS = 3_000;
const COUNTED_MILLISECONDS = 2_000;
const ROUTES = ['/ask/', '/look/', '/book/'] as const;

/** Running node whose links to endpoints can be cut. */
interface CuttableNode {
  readonly node: TestNode;
  readonly links: LinkCut;
}

let store: SiteStore;
let nodes: CuttableNode[] = [];
let endpoints: SiteEndpoint[] = [];
let sent = 0;

async function startCuttableNode(name: string): Promise<CuttableNode> {
  const links = createLinkCut();
  const endpointPort = links.wrap(createEndpointPort(createSiteProtocol()));
  return { node: await startNode(name, store, { endpointPort }), links };
}

async function startEndpoints(): Promise<void> {
  const engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `engine-${index + 1}`, handle: streamCompletely }),
    ),
  );
  const plain = await Promise.all(
    Array.from({ length: PLAIN_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `booking-${index + 1}`, handle: respondCompletely }),
    ),
  );
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  for (const endpoint of plain) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  endpoints = [...engines, ...plain];
  await Promise.all(nodes.map(({ node }) => waitUntilReady(node)));
  await waitFor('all engines host layers', () => engines.every(({ layers }) => layers));
  // The nodes learn the layers from the planner, and each other's state, in the next rounds.
  await new Promise((resolve) => setTimeout(resolve, 1_500));
}

/** Sends requests of each kind to a node for a time; returns the responses by path. */
async function sendRequests(
  { node }: CuttableNode,
  milliseconds: number,
): Promise<Map<string, CallerResponse[]>> {
  const pending: { path: string; response: Promise<CallerResponse> }[] = [];
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    const path = ROUTES[sent % ROUTES.length] ?? '/ask/';
    sent += 1;
    const headers = { 'Attempt-Id': `attempt-${sent}` };
    const request = { address: node.callers, path, method: 'POST', body: 'q', headers };
    pending.push({ path, response: sendCallerRequest(request) });
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  const responses = new Map<string, CallerResponse[]>();
  for (const { path, response } of pending)
    responses.set(path, [...(responses.get(path) ?? []), await response]);
  return responses;
}

function isServed(path: string, { status, body, isComplete }: CallerResponse): boolean {
  if (status !== 200 || !isComplete) return false;
  return path === '/ask/' ? body === COMPLETE_STREAM : body.startsWith('done by');
}

/** Asserts that at least a share of the requests of each kind was served. */
function assertServed(responses: Map<string, CallerResponse[]>, share: number): void {
  for (const [path, all] of responses) {
    const served = all.filter((response) => isServed(path, response)).length;
    assert.ok(served >= share * all.length, `${path}: ${served} of ${all.length} served`);
  }
}

beforeEach(async () => {
  store = await startStore();
  store.put('op/config', createPlatformConfiguration(1));
  const names = Array.from({ length: NODE_COUNT }, (_, index) => `node-${index + 1}`);
  nodes = await Promise.all(names.map(startCuttableNode));
  await startEndpoints();
});

afterEach(async () => {
  for (const { links } of nodes) links.end();
  await Promise.all(nodes.map(({ node }) => node.node.leave()));
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

for (const kind of ['hang', 'reset', 'refuse'] as const satisfies readonly CutKind[]) {
  test(`nodes that reach all endpoints serve all callers while two others do not (${kind})`, async () => {
    const [first, second, third, fourth] = nodes;
    assert.ok(first && second && third && fourth);
    first.links.begin(kind);
    second.links.begin(kind);
    const responses = await Promise.all(
      nodes.map((node) => sendRequests(node, CONTACT_MILLISECONDS)),
    );
    for (const sound of responses.slice(2)) assertServed(sound, 1);
  });

  test(
    `callers of a node that reaches no endpoint are served through its neighbours (${kind})`,
    { todo: 'KNOWN-RED.txt' },
    async () => {
      const [first] = nodes;
      assert.ok(first);
      first.links.begin(kind);
      await sendRequests(first, CONTACT_MILLISECONDS);
      assertServed(await sendRequests(first, COUNTED_MILLISECONDS), 1);
    },
  );
}
