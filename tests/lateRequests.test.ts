/**
 * Requests that arrive at a node at any time of its grace. Guards against a planned stop that cuts
 * requests, passed on late in the grace, without an answer, among them such that may not be repeated.
 */
import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import { after, before, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  KEY,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  waitFor,
  waitUntilReady,
} from './support/siteNodes/index.js';

/** Interval between two requests, in milliseconds. */
const INTERVAL_MILLISECONDS = 4;
/** Time from the stop to the last request, in milliseconds. */
const MAXIMUM_SEND_MILLISECONDS = 8_000;
/** Grace up to which the test waits for streams without an end, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 8_000;
/** Time after the stop up to which an open stream may be cut at the end of the grace, in milliseconds. */
const EXCUSED_MILLISECONDS = 3_000;
/** Share of the grace after which such a stream may be cut. */
const EXCUSED_SHARE = 5 / 6;
const SLOW_MILLISECONDS = 400;
/** Time before its deadline at which the node may end a request, in milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 50;
/** Statuses that promise that a request has not run. */
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const LAYERS = { from: 0, to: 4 };

/** Sort of requests: where they go, what they hold, and how the endpoint responds. */
interface Sort {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

const TIMES: Readonly<Record<string, Readonly<Record<string, string>>>> = {
  none: {},
  short: { 'Deadline-Ms': '300' },
  long: { 'Deadline-Ms': '20000' },
};
const SORTS: readonly Sort[] = ['look', 'book', 'brief', 'ask', 'tell'].flatMap((route) =>
  ['fast', 'slow', 'hang'].flatMap((pace) =>
    Object.values(TIMES).map((headers) => ({ path: `/${route}/${pace}`, headers })),
  ),
);

const isStream = (path: string): boolean => /^\/(ask|tell)/.test(path);
const isEndless = (path: string): boolean => isStream(path) && path.endsWith('/hang');

/** Request of a caller, and what it got. */
interface Sent {
  readonly attempt: string;
  readonly sort: Sort;
  /** Time after the stop at which it was sent, in milliseconds. */
  readonly sentAt: number;
  endedAt: number;
  status: number | undefined;
  isComplete: boolean;
}

let store: SiteStore;
let plain: SiteEndpoint[];
let engine: SiteEndpoint;

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const respondByPath: EndpointHandler = (received, response) => {
  const respond = (): void => {
    response.writeHead(200, createEndpointHeaders(received));
    response.end('done');
  };
  if (received.url.endsWith('/fast')) respond();
  else if (received.url.endsWith('/slow')) setTimeout(respond, SLOW_MILLISECONDS);
};

const streamByPath: EndpointHandler = (received, response) => {
  if (received.url.endsWith('/fast')) {
    writeEvents(received, response, STREAM_EVENT_COUNT);
    response.end();
    return;
  }
  writeEvents(received, response, 1);
  if (received.url.endsWith('/hang')) return;
  setTimeout(() => {
    for (let id = 2; id <= STREAM_EVENT_COUNT; id += 1)
      response.write(`id: ${id}\ndata: t${id}\n\n`);
    response.end();
  }, SLOW_MILLISECONDS);
};

/** Configuration with short and long time limits, and streams that may be resumed and such that may not. */
function createConfiguration(): object {
  const configuration = createPlatformConfiguration(1) as {
    readonly routes: readonly Readonly<Record<string, unknown>>[];
  };
  const [look, book, ask] = configuration.routes;
  const routes = [
    { ...look, timeout_ms: 4_000, max_attempts: 2 },
    { ...book, timeout_ms: 4_000 },
    { ...book, name: 'brief', prefix: '/brief/', timeout_ms: 600 },
    { ...ask, timeout_ms: 60_000 },
    { ...ask, name: 'tell', prefix: '/tell/', timeout_ms: 60_000, resumable: false },
  ];
  return { ...configuration, routes };
}

/** Sends a request; never rejects. */
function send(address: string, sent: Sent, agent: Agent | false, now: () => number) {
  const [host, port] = address.split(':');
  const { path, headers } = sent.sort;
  return new Promise<void>((resolve) => {
    const finish = (): void => {
      sent.endedAt = now();
      resolve();
    };
    const outgoing = request({
      host,
      port: Number(port),
      path,
      method: path.startsWith('/look') ? 'GET' : 'POST',
      agent,
      headers: {
        Host: 'desk.example',
        'Attempt-Id': sent.attempt,
        Credential: KEY,
        'Token-Counts': '20,10',
        ...headers,
      },
    });
    outgoing.on('error', finish);
    outgoing.on('response', (incoming) => {
      sent.status = incoming.statusCode;
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        sent.isComplete = incoming.complete;
        finish();
      });
      incoming.resume();
    });
    outgoing.end(path.startsWith('/look') ? undefined : 'b');
  });
}

/**
 * Returns whether the connection of a request that was passed on ended without a complete answer, though
 * its deadline was not reached. A stream that was sent early may be cut late in the grace.
 */
function isLost({ sort, sentAt, endedAt, isComplete }: Sent, grace: number): boolean {
  if (isComplete) return false;
  const deadline = Number(sort.headers['Deadline-Ms'] ?? Number.POSITIVE_INFINITY);
  if (endedAt - sentAt >= deadline - DEADLINE_MARGIN_MILLISECONDS) return false;
  return !(
    isStream(sort.path) &&
    sentAt <= EXCUSED_MILLISECONDS &&
    endedAt >= EXCUSED_SHARE * grace
  );
}

before(async () => {
  store = await startStore();
  plain = await Promise.all(
    ['plain-1', 'plain-2'].map((id) => serveSiteEndpoint({ id, handle: respondByPath })),
  );
  engine = await serveSiteEndpoint({ id: 'engine-1', handle: streamByPath });
  engine.layers = LAYERS;
  for (const endpoint of plain) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  registerEndpoint(store, engine, MODEL_SERVICE, { layers: LAYERS });
  store.put('op/config', createConfiguration());
});

after(async () => {
  await Promise.all([...plain, engine].map((endpoint) => endpoint.crash()));
  await store.close();
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

/** Stops a node while requests of all sorts arrive, and checks those that it passed on. */
async function checkStop(grace: number): Promise<void> {
  const node = await startNode(`node-${grace}`, store, { graceMilliseconds: grace });
  await waitUntilReady(node);
  await waitFor('a stream is served', async () => {
    const headers = { 'Token-Counts': '20,10' };
    return (
      (await sendCallerRequest({ address: node.callers, path: '/ask/fast', headers })).status ===
      200
    );
  });
  const all: Sent[] = [];
  const open: Promise<void>[] = [];
  const agents = SORTS.map(() => new Agent({ keepAlive: true, maxSockets: 4 }));
  const startedAt = performance.now();
  const now = (): number => performance.now() - startedAt;
  const left = node.node.leave();
  const sendEnd = Math.min(grace, MAXIMUM_SEND_MILLISECONDS);
  const sorts = SORTS.filter(({ path }) => grace <= LONGEST_WAIT_MILLISECONDS || !isEndless(path));
  for (let count = 0; now() < sendEnd; count += 1) {
    const index = count % sorts.length;
    const sort = sorts[index];
    if (!sort) break;
    const attempt = `late-${grace}-${count}`;
    const common = { endedAt: 0, status: undefined, isComplete: false };
    const sent: Sent = { attempt, sort, sentAt: now(), ...common };
    all.push(sent);
    const isKept = Math.floor(count / sorts.length) % 2 === 0;
    open.push(send(node.callers, sent, isKept ? (agents[index] ?? false) : false, now));
    await wait(INTERVAL_MILLISECONDS);
  }
  await Promise.all([...open, left]);
  for (const agent of agents) agent.destroy();
  const ran = new Set(
    [...plain, engine].flatMap(({ received }) =>
      received.map(({ headers }) => headers['attempt-id']),
    ),
  );
  const passedOn = all.filter(({ attempt }) => ran.has(attempt));
  assert.ok(passedOn.length > SORTS.length);
  assert.deepEqual(
    passedOn
      .filter((sent) => isLost(sent, grace))
      .map(({ sort, sentAt, endedAt }) => `${sort.path} ${sentAt} ${endedAt}`),
    [],
  );
  const isRepeatable = ({ sort }: Sent): boolean => /^\/(look|ask)/.test(sort.path);
  const refusedAfterRun = passedOn.filter(
    (sent) => !isRepeatable(sent) && REFUSALS.has(sent.status ?? 0),
  );
  assert.deepEqual(refusedAfterRun, []);
}

const title = (grace: number): string =>
  `a stop with a grace of ${grace / 1_000} s answers each request that it passes on`;

for (const grace of [3_000, 8_000, 30_000]) test(title(grace), () => checkStop(grace));

test(title(1_000), { todo: 'streams are cut half a second before the end of the grace' }, () =>
  checkStop(1_000),
);
