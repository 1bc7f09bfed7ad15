/**
 * Endpoints that send a part of a response without an end. Guards against unbounded reading: the
 * node limits each part of a response, closes the connection and reports the outcome to the caller.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import type { SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import { serveSiteEndpoint, writeEvents } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { fillPiece, PIECE_BYTES } from './support/endlessEndpoint/index.js';
import {
  sendCallerRequest,
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';
import { listenOnLoopback } from '../standins/listenOnLoopback/index.js';

/** Bytes of one response that a node may read before it closes the connection. */
const MAXIMUM_READ_BYTES = 16 * 1_024 * 1_024;
/** Time limit of the routes, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 20_000;
const FILLER = 'x'.repeat(PIECE_BYTES);

const STATUS = 'HTTP/1.1 200 OK\r\n';
const SEAL = 'Server-Seal: sealed\r\nAttempt-Id: attempt-1\r\n';
const CHUNKED = `${STATUS}${SEAL}Transfer-Encoding: chunked\r\n\r\n`;
const REFUSAL = `HTTP/1.1 503 Service Unavailable\r\n${SEAL}Not-Executed: 1\r\n`;

/** Bytes that an endpoint writes: a start, and a piece repeated until the connection is closed. */
interface EndlessResponse {
  readonly start: string;
  readonly piece: string;
  /** Status that the caller of an unsafe request receives. */
  readonly status: number;
}

const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${FILLER}\r\n`;
const BUFFERED_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  'a status line': { start: 'HTTP/1.1 200 ', piece: FILLER, status: 502 },
  'a header': { start: `${STATUS}Long: `, piece: FILLER, status: 502 },
  'a header block': { start: STATUS, piece: fillPiece(`Name: ${'x'.repeat(90)}\r\n`), status: 502 },
  'interim responses': {
    start: '',
    piece: fillPiece('HTTP/1.1 102 Processing\r\n\r\n'),
    status: 502,
  },
  'a chunk size': { start: CHUNKED, piece: '0'.repeat(PIECE_BYTES), status: 502 },
  'a chunk extension': { start: `${CHUNKED}1;`, piece: FILLER, status: 502 },
  'a chunked body': { start: CHUNKED, piece: CHUNK, status: 502 },
  'a trailer': { start: `${CHUNKED}0\r\nLong: `, piece: FILLER, status: 502 },
  'a trailer block': {
    start: `${CHUNKED}0\r\n`,
    piece: fillPiece(`Name: ${'x'.repeat(90)}\r\n`),
    status: 502,
  },
  'a body delimited by the end of the connection': {
    start: `${STATUS}${SEAL}\r\n`,
    piece: FILLER,
    status: 502,
  },
  'a body with an excessive Content-Length': {
    start: `${STATUS}${SEAL}Content-Length: 99999999999\r\n\r\n`,
    piece: FILLER,
    status: 502,
  },
  'the body of a refusal': { start: `${REFUSAL}\r\n`, piece: FILLER, status: 503 },
  'data after a complete response': {
    start: `${STATUS}${SEAL}Content-Length: 4\r\n\r\ndone`,
    piece: FILLER,
    status: 200,
  },
};

const STREAM = `${STATUS}${SEAL}Content-Type: text/event-stream\r\n\r\n`;
const STREAMED_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  'an event': { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 502 },
  'lines of one event': { start: `${STREAM}id: 1\n`, piece: `data: ${FILLER}\n`, status: 502 },
  'the body of a failure': {
    start: `HTTP/1.1 500 Failed\r\n${SEAL}\r\n`,
    piece: FILLER,
    status: 502,
  },
  'the body of a refusal': { start: `${REFUSAL}\r\n`, piece: FILLER, status: 503 },
  'the head of a stream': {
    start: STATUS,
    piece: fillPiece(`Name: ${'x'.repeat(90)}\r\n`),
    status: 502,
  },
};

const LAYERS = { from: 0, to: 4 };
const REPORT = JSON.stringify({
  sequence: 1,
  busy: false,
  layers: { ...LAYERS, version: 1 },
  pace: 1,
  stalled: [],
});
const REPORT_HEAD = `${STATUS}Content-Type: application/json\r\n`;
const COMPLETE_REPORT = `${REPORT_HEAD}Content-Length: ${REPORT.length}\r\n\r\n${REPORT}`;
const ENDLESS_REPORT: EndlessResponse = {
  start: `${REPORT_HEAD}\r\n{"sequence": `,
  piece: '1'.repeat(PIECE_BYTES),
  status: 0,
};

/** Returns whether the first bytes of a request are those of a report request. */
function isReportRequest(bytes: Buffer): boolean {
  return bytes.toString('latin1').startsWith('GET /report ');
}

/** Endpoint that sends the same endless response to every request, and valid reports. */
interface EndlessEndpoint {
  readonly address: string;
  response: EndlessResponse;
  /** Whether its reports are endless as well. */
  hasEndlessReports: boolean;
  /** Bytes written to the last connection. */
  written: number;
  /** Whether the last connection is closed. */
  isClosed: boolean;
  readonly close: () => Promise<void>;
}

async function serveEndless(): Promise<EndlessEndpoint> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let isEndless = false;
    socket.on('close', () => {
      sockets.delete(socket);
      if (isEndless) endpoint.isClosed = true;
    });
    socket.once('data', (bytes: Buffer) => {
      const isReport = isReportRequest(bytes);
      if (isReport && !endpoint.hasEndlessReports) {
        socket.end(COMPLETE_REPORT);
        return;
      }
      const { start, piece } = isReport ? ENDLESS_REPORT : endpoint.response;
      isEndless = true;
      endpoint.written = 0;
      endpoint.isClosed = false;
      const write = (): void => {
        while (!socket.destroyed && endpoint.written < 2 * MAXIMUM_READ_BYTES) {
          endpoint.written += piece.length;
          if (!socket.write(piece)) break;
        }
      };
      socket.on('drain', write);
      socket.write(start);
      write();
    });
  });
  const address = await listenOnLoopback(server);
  const endpoint: EndlessEndpoint = {
    address,
    response: { start: '', piece: '', status: 0 },
    hasEndlessReports: false,
    written: 0,
    isClosed: false,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
  return endpoint;
}

let store: SiteStore;
let node: TestNode;
let plain: EndlessEndpoint;
let engine: EndlessEndpoint;
let healthy: SiteEndpoint;

/**
 * Returns a configuration whose time limits leave a busy machine enough time to transfer the bytes.
 */
function createConfigurationWithLongTimeouts(): object {
  const configuration = createPlatformConfiguration(1) as { readonly routes: readonly object[] };
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeout_ms: REQUEST_TIMEOUT_MILLISECONDS,
  }));
  return { ...configuration, routes };
}

function sendBooking(): Promise<CallerResponse> {
  return sendCallerRequest({
    address: node.callers,
    path: '/book/one',
    method: 'POST',
    body: 'book',
  });
}

function requestStream(): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: node.callers, path: '/ask/one', headers });
}

/** Registers an endpoint with a new start time, so that the node resets its failure records. */
function registerIncarnation(
  id: string,
  endpoint: EndlessEndpoint,
  service: string,
  bornAt: number,
): void {
  const { address } = endpoint;
  registerEndpoint(store, { id, address }, service, { born: bornAt, layers: LAYERS });
}

function waitUntilRegistered(bornAt: number): Promise<void> {
  return waitFor('the node has the endpoint in its table', () =>
    node.logs.some((line) => line.includes(`"bornAt":${bornAt}`)),
  );
}

before(async () => {
  store = await startStore();
  plain = await serveEndless();
  engine = await serveEndless();
  healthy = await serveSiteEndpoint({
    id: 'engine-sound',
    handle: (request, response) => {
      writeEvents(request, response, 1);
      response.end();
    },
  });
  healthy.layers = LAYERS;
  store.put('op/config', createConfigurationWithLongTimeouts());
  node = await startNode('node-1', store);
  await waitUntilReady(node);
});

after(async () => {
  await node.node.leave();
  await Promise.all([plain.close(), engine.close(), healthy.crash(), store.close()]);
});

let lastStartedAt = 1_000;
for (const [place, response] of Object.entries(BUFFERED_RESPONSES)) {
  test(`limits ${place} without an end and reports the outcome to the caller`, async () => {
    lastStartedAt += 1;
    plain.response = response;
    registerIncarnation('plain-1', plain, PLAIN_SERVICE, lastStartedAt);
    await waitUntilRegistered(lastStartedAt);
    const { status } = await sendBooking();
    assert.equal(status, response.status);
    await waitFor('the connection is closed', () => plain.isClosed);
    assert.ok(plain.written < MAXIMUM_READ_BYTES, `${plain.written} bytes were read`);
  });
}

for (const [place, response] of Object.entries(STREAMED_RESPONSES)) {
  test(`limits ${place} without an end on a stream`, async () => {
    lastStartedAt += 1;
    engine.response = response;
    registerIncarnation('engine-1', engine, MODEL_SERVICE, lastStartedAt);
    await waitUntilRegistered(lastStartedAt);
    const { status } = await requestStream();
    assert.equal(status, response.status);
    await waitFor('the connection is closed', () => engine.isClosed);
    assert.ok(engine.written < MAXIMUM_READ_BYTES, `${engine.written} bytes were read`);
    store.remove('servers/engine-1');
  });
}

test('continues a stream at a healthy endpoint when an event has no end', async () => {
  lastStartedAt += 1;
  engine.response = { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 0 };
  registerIncarnation('engine-1', engine, MODEL_SERVICE, lastStartedAt);
  registerEndpoint(store, healthy, MODEL_SERVICE, { layers: LAYERS });
  await waitFor('the node has both endpoints in its table', () =>
    ['engine-sound', `"bornAt":${lastStartedAt}`].every((text) =>
      node.logs.some((line) => line.includes(text)),
    ),
  );
  for (let index = 0; index < 4; index += 1) {
    const response = await requestStream();
    assert.equal(response.status, 200, `${response.body} ${node.logs.slice(-20).join('\n')}`);
    assert.equal(response.body, 'id: 1\ndata: t1\n\n');
  }
});

test('limits a report without an end and marks its endpoint as unreachable', async () => {
  lastStartedAt += 1;
  engine.response = { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 0 };
  engine.hasEndlessReports = true;
  registerIncarnation('engine-1', engine, MODEL_SERVICE, lastStartedAt);
  await waitUntilRegistered(lastStartedAt);
  const seen = node.logs.length;
  const responses = Promise.all(Array.from({ length: 4 }, requestStream));
  await waitFor('the endpoint is marked as unreachable', () =>
    node.logs
      .slice(seen)
      .some((line) => line.includes('"endpoint-lost"') && line.includes('"engine-1"')),
  );
  for (const response of await responses)
    assert.equal(response.status, 200, `${response.body} ${node.logs.slice(-30).join('\n')}`);
  await waitFor('the connection is closed', () => engine.isClosed);
  assert.ok(engine.written < MAXIMUM_READ_BYTES, `${engine.written} bytes were read`);
});
