/**
 * Endpoints whose bytes never end: each place of an answer is bounded, the connection is dropped, and
 * the caller is told the truth.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import type { SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import { serveSiteEndpoint, writeEvents } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  call,
  createWireConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerAnswer,
  type TestNode,
} from './support/siteNodes/index.js';
import { listenOnLoopback } from '../standins/listenOnLoopback/index.js';

/** Bytes that a node may read of one answer before it drops the connection. */
const MOST_READ_BYTES = 16 * 1_024 * 1_024;
const PIECE_BYTES = 16_384;

/** Repeats a text up to the usual size of a piece, so that few writes carry many bytes. */
function fillPiece(text: string): string {
  return text.repeat(Math.ceil(PIECE_BYTES / text.length));
}
/** Time that requests may take, in milliseconds. */
const PATIENCE_MILLISECONDS = 20_000;
const FILLER = 'x'.repeat(PIECE_BYTES);

const STATUS = 'HTTP/1.1 200 OK\r\n';
const SEAL = 'Server-Seal: sealed\r\nAttempt-Id: attempt-1\r\n';
const CHUNKED = `${STATUS}${SEAL}Transfer-Encoding: chunked\r\n\r\n`;
const FULL = `HTTP/1.1 503 Service Unavailable\r\n${SEAL}Not-Executed: 1\r\n`;

/** What an endpoint writes: a beginning, and a piece that it repeats until its connection closes. */
interface EndlessAnswer {
  readonly start: string;
  readonly piece: string;
  /** Status that the caller of a request which may run once gets. */
  readonly status: number;
}

const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${FILLER}\r\n`;
const WHOLE_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'a status line': { start: 'HTTP/1.1 200 ', piece: FILLER, status: 502 },
  'a header': { start: `${STATUS}Long: `, piece: FILLER, status: 502 },
  'a header block': { start: STATUS, piece: fillPiece(`Name: ${'x'.repeat(90)}\r\n`), status: 502 },
  'interim answers': {
    start: '',
    piece: fillPiece('HTTP/1.1 102 Processing\r\n\r\n'),
    status: 502,
  },
  'a chunk size': { start: CHUNKED, piece: '0'.repeat(PIECE_BYTES), status: 502 },
  'a chunk extension': { start: `${CHUNKED}1;`, piece: FILLER, status: 502 },
  'a chunked body': { start: CHUNKED, piece: CHUNK, status: 502 },
  'a trailer': { start: `${CHUNKED}0\r\nLong: `, piece: FILLER, status: 502 },
  'a block of trailers': {
    start: `${CHUNKED}0\r\n`,
    piece: fillPiece(`Name: ${'x'.repeat(90)}\r\n`),
    status: 502,
  },
  'a body that only the connection ends': {
    start: `${STATUS}${SEAL}\r\n`,
    piece: FILLER,
    status: 502,
  },
  'a body with a length beyond all bounds': {
    start: `${STATUS}${SEAL}Content-Length: 99999999999\r\n\r\n`,
    piece: FILLER,
    status: 502,
  },
  'the body of a refusal': { start: `${FULL}\r\n`, piece: FILLER, status: 503 },
  'bytes after a whole answer': {
    start: `${STATUS}${SEAL}Content-Length: 4\r\n\r\ndone`,
    piece: FILLER,
    status: 200,
  },
};

const STREAM = `${STATUS}${SEAL}Content-Type: text/event-stream\r\n\r\n`;
const STREAM_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'an event': { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 502 },
  'lines of one event': { start: `${STREAM}id: 1\n`, piece: `data: ${FILLER}\n`, status: 502 },
  'the body of a failure': {
    start: `HTTP/1.1 500 Failed\r\n${SEAL}\r\n`,
    piece: FILLER,
    status: 502,
  },
  'the body of a refusal': { start: `${FULL}\r\n`, piece: FILLER, status: 503 },
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
const WHOLE_REPORT = `${REPORT_HEAD}Content-Length: ${REPORT.length}\r\n\r\n${REPORT}`;
const ENDLESS_REPORT: EndlessAnswer = {
  start: `${REPORT_HEAD}\r\n{"sequence": `,
  piece: '1'.repeat(PIECE_BYTES),
  status: 0,
};

/** Tells whether the first bytes of a request ask for a report. */
function asksReport(bytes: Buffer): boolean {
  return bytes.toString('latin1').startsWith('GET /report ');
}

/** An endpoint that answers every request alike, without an end, and says soundly how it is. */
interface EndlessEndpoint {
  readonly address: string;
  answer: EndlessAnswer;
  /** Whether its reports have no end, either. */
  hasEndlessReports: boolean;
  /** Bytes that were handed to the last connection, and whether that is closed. */
  written: number;
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
      const isReport = asksReport(bytes);
      if (isReport && !endpoint.hasEndlessReports) {
        socket.end(WHOLE_REPORT);
        return;
      }
      const { start, piece } = isReport ? ENDLESS_REPORT : endpoint.answer;
      isEndless = true;
      endpoint.written = 0;
      endpoint.isClosed = false;
      const write = (): void => {
        while (!socket.destroyed && endpoint.written < 2 * MOST_READ_BYTES) {
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
    answer: { start: '', piece: '', status: 0 },
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
let sound: SiteEndpoint;

/** A configuration whose requests do not run out of time while a busy machine hands over bytes. */
function createPatientConfiguration(): object {
  const configuration = createWireConfiguration(1) as { readonly routes: readonly object[] };
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeout_ms: PATIENCE_MILLISECONDS,
  }));
  return { ...configuration, routes };
}

function book(): Promise<CallerAnswer> {
  return call({ address: node.callers, path: '/book/one', method: 'POST', body: 'book' });
}

function ask(): Promise<CallerAnswer> {
  const headers = { 'Token-Counts': '20,10' };
  return call({ address: node.callers, path: '/ask/one', headers });
}

/** A new birth lets the node forget what it holds against an endpoint. */
function renew(id: string, endpoint: EndlessEndpoint, service: string, bornAt: number): void {
  const { address } = endpoint;
  registerEndpoint(store, { id, address }, service, { born: bornAt, layers: LAYERS });
}

function waitUntilBorn(bornAt: number): Promise<void> {
  return waitFor('the endpoint is known', () =>
    node.logs.some((line) => line.includes(`"bornAt":${bornAt}`)),
  );
}

before(async () => {
  store = await startStore();
  plain = await serveEndless();
  engine = await serveEndless();
  sound = await serveSiteEndpoint({
    id: 'engine-sound',
    behave: (request, response) => {
      writeEvents(request, response, 1);
      response.end();
    },
  });
  sound.layers = LAYERS;
  store.put('op/config', createPatientConfiguration());
  node = await startNode('node-1', store);
  await waitUntilReady(node);
});

after(async () => {
  await node.node.leave();
  await Promise.all([plain.close(), engine.close(), sound.crash(), store.close()]);
});

let births = 1_000;
for (const [place, answer] of Object.entries(WHOLE_ANSWERS)) {
  test(`${place} without an end is cut off, and the caller is told the truth`, async () => {
    births += 1;
    plain.answer = answer;
    renew('plain-1', plain, PLAIN_SERVICE, births);
    await waitUntilBorn(births);
    const { status } = await book();
    assert.equal(status, answer.status);
    await waitFor('the connection is dropped', () => plain.isClosed);
    assert.ok(plain.written < MOST_READ_BYTES, `${plain.written} bytes were taken`);
  });
}

for (const [place, answer] of Object.entries(STREAM_ANSWERS)) {
  test(`${place} without an end is cut off on a stream, too`, async () => {
    births += 1;
    engine.answer = answer;
    renew('engine-1', engine, MODEL_SERVICE, births);
    await waitUntilBorn(births);
    const { status } = await ask();
    assert.equal(status, answer.status);
    await waitFor('the connection is dropped', () => engine.isClosed);
    assert.ok(engine.written < MOST_READ_BYTES, `${engine.written} bytes were taken`);
    store.remove('servers/engine-1');
  });
}

test('a stream with an event that never ends goes on at a sound endpoint', async () => {
  births += 1;
  engine.answer = { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 0 };
  renew('engine-1', engine, MODEL_SERVICE, births);
  registerEndpoint(store, sound, MODEL_SERVICE, { layers: LAYERS });
  await waitFor('both endpoints are known', () =>
    ['engine-sound', `"bornAt":${births}`].every((text) =>
      node.logs.some((line) => line.includes(text)),
    ),
  );
  for (let index = 0; index < 4; index += 1) {
    const answer = await ask();
    assert.equal(answer.status, 200, `${answer.body} ${node.logs.slice(-20).join('\n')}`);
    assert.equal(answer.body, 'id: 1\ndata: t1\n\n');
  }
});

test('a report that never ends is cut off, and its endpoint is lost', async () => {
  births += 1;
  engine.answer = { start: `${STREAM}id: 1\ndata: `, piece: FILLER, status: 0 };
  engine.hasEndlessReports = true;
  renew('engine-1', engine, MODEL_SERVICE, births);
  await waitUntilBorn(births);
  const seen = node.logs.length;
  const answers = Promise.all(Array.from({ length: 4 }, ask));
  await waitFor('the endpoint is lost', () =>
    node.logs
      .slice(seen)
      .some((line) => line.includes('"endpoint-lost"') && line.includes('"engine-1"')),
  );
  for (const answer of await answers)
    assert.equal(answer.status, 200, `${answer.body} ${node.logs.slice(-30).join('\n')}`);
  await waitFor('the connection is dropped', () => engine.isClosed);
  assert.ok(engine.written < MOST_READ_BYTES, `${engine.written} bytes were taken`);
});
