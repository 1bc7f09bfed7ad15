/**
 * Streams that run on two endpoints until one delivers an event. Guards against streams that hang or are cut
 * when either run ends, and against more endpoints than the route allows.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  COMPLETE_STREAM,
  createPlatformConfiguration,
  ENGINE,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

/** Longer than a node waits for a report, so that it takes the endpoint for lost. */
const LATE_REPORT_MILLISECONDS = 600;
const FIRST_EVENTS = 2;

let store: SiteStore;
let node: TestNode;
let engines: SiteEndpoint[] = [];

/** Writes the first events and falls silent; acts after a time in milliseconds. */
function fallSilent(milliseconds: number, act: EndpointHandler): EndpointHandler {
  return (request, response, endpoint) => {
    endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
    writeEvents(request, response, FIRST_EVENTS);
    setTimeout(() => {
      act(request, response, endpoint);
    }, milliseconds);
  };
}

const writeRest: EndpointHandler = (_, response) => {
  for (let id = FIRST_EVENTS + 1; id <= STREAM_EVENT_COUNT; id += 1)
    response.write(`id: ${id}\ndata: t${id}\n\n`);
  response.end();
};

function streamAfter(milliseconds: number): EndpointHandler {
  return (request, response) => {
    setTimeout(() => {
      writeEvents(request, response, STREAM_EVENT_COUNT);
      response.end();
    }, milliseconds);
  };
}

const breakOff: EndpointHandler = (request, response) => {
  writeEvents(request, response, FIRST_EVENTS);
  setTimeout(() => response.destroy(), 50);
};

const refuseLate: EndpointHandler = (request, response, endpoint) => {
  endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
  setTimeout(() => {
    response.writeHead(503, { ...createEndpointHeaders(request), 'Not-Executed': '1' });
    response.end();
  }, 1_200);
};

const staySilent: EndpointHandler = (_request, _response, endpoint) => {
  endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
};

const writeOutOfOrder: EndpointHandler = (request, response) => {
  response.writeHead(200, {
    ...createEndpointHeaders(request),
    'Content-Type': 'text/event-stream',
  });
  response.write('id: 5\ndata: t5\n\n');
};

const endConnection: EndpointHandler = (_, response, endpoint) => {
  response.socket?.end();
  void endpoint.crash();
};

interface Case {
  readonly name: string;
  readonly engines: number;
  readonly attempts: number;
  /** What the endpoints do with each run in turn; the last one with all later runs. */
  readonly runs: readonly EndpointHandler[];
  /** Maximum number of endpoints that receive a run. */
  readonly reached: number;
}

const CASES: readonly Case[] = [
  {
    name: 'goes on when the endpoint of the first of two runs refuses it late',
    engines: 3,
    attempts: 3,
    runs: [breakOff, refuseLate, streamAfter(1_500)],
    reached: 3,
  },
  {
    name: 'reaches no more endpoints than its route allows',
    engines: 8,
    attempts: 2,
    runs: [fallSilent(1_100, writeRest), staySilent],
    reached: 2,
  },
  {
    name: 'goes on at a third endpoint when two are silent',
    engines: 3,
    attempts: 3,
    runs: [fallSilent(9_000, () => undefined), staySilent, streamAfter(20)],
    reached: 3,
  },
  {
    name: 'goes on at its endpoint when another one writes events out of order',
    engines: 2,
    attempts: 2,
    runs: [fallSilent(1_200, writeRest), writeOutOfOrder],
    reached: 2,
  },
  {
    name: 'goes on at the other endpoint when its endpoint crashes',
    engines: 3,
    attempts: 2,
    runs: [fallSilent(1_200, endConnection), streamAfter(1_800)],
    reached: 2,
  },
];

async function startEngines({ engines: count, attempts, runs }: Case): Promise<void> {
  let received = 0;
  const handle: EndpointHandler = (request, response, endpoint) => {
    const act = runs[Math.min(received, runs.length - 1)];
    received += 1;
    act?.(request, response, endpoint);
  };
  const services = [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine: ENGINE }];
  const usual = createPlatformConfiguration(1) as { routes: object[] };
  const routes = usual.routes.map((route) => ({ ...route, max_attempts: attempts }));
  store.put('op/config', createPlatformConfiguration(1, { services, routes }));
  engines = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      serveSiteEndpoint({ id: `engine-${index + 1}`, handle }),
    ),
  );
  for (const engine of engines) registerEndpoint(store, engine, MODEL_SERVICE);
  // Of few endpoints, one that is lost would make the node take itself for isolated.
  for (let port = 1; port <= 3; port += 1)
    registerEndpoint(store, { id: `plain-${port}`, address: `127.0.0.1:${port}` }, PLAIN_SERVICE);
  await waitUntilReady(node);
  await waitFor('all engines host layers', () => engines.every(({ layers }) => layers));
  // The node reads the hosted layers from the engines' load reports.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
}

function ask(): Promise<CallerResponse> {
  const headers = { 'Deadline-Ms': '7500' };
  return sendCallerRequest({ address: node.callers, path: '/ask/', method: 'POST', headers });
}

beforeEach(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
});

afterEach(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(engines.map((engine) => engine.crash()));
});

for (const current of CASES) {
  test(`a stream ${current.name}`, async () => {
    await startEngines(current);
    const { body, isComplete } = await ask();
    assert.deepEqual([body, isComplete], [COMPLETE_STREAM, true]);
    const reached = engines.filter(({ received }) => received.length > 0).length;
    assert.ok(reached <= current.reached, `${reached} endpoints`);
  });
}
