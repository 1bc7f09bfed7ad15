/**
 * Streams that break off and go on at endpoints that respond with a failure. Guards against failures
 * whose text reaches the middle of a caller's stream, and against streams that end as if complete.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import type { Socket } from 'node:net';
import { type RawRequest, type RawResponder } from './support/rawEndpoint/index.js';
import { startRawSite, type RawSite } from './support/rawSite/index.js';
import {
  COMPLETE_STREAM,
  createPlatformConfiguration,
  KEY,
  MODEL_SERVICE,
  sendCallerRequest,
  STREAM_EVENT_COUNT,
  type CallerResponse,
} from './support/siteNodes/index.js';

/** Number of events before the first run breaks off. */
const FIRST_EVENTS = 2;
const ENDPOINT_COUNT = 3;
const LATE_MILLISECONDS = 150;
/** Text of every failure; no caller may receive it. */
const FAILURE_TEXT = 'endpoint failed';
const FAILURE_EVENT = `id: ${FIRST_EVENTS + 1}\ndata: ${FAILURE_TEXT}\n\n`;
const BEGUN_STREAM = COMPLETE_STREAM.slice(0, COMPLETE_STREAM.indexOf('id: 3'));

let site: RawSite;

function formatHead(request: RawRequest, status: string, headers: string): string {
  return `HTTP/1.1 ${status}\r\nServer-Seal: s\r\nAttempt-Id: ${request.attempt}\r\n${headers}\r\n`;
}

function formatLength(body: string): string {
  return `Content-Length: ${body.length}\r\n`;
}

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';
const JSON_TYPE = 'Content-Type: application/json\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** Streams the events up to the given one that the caller does not have. */
function formatEvents({ lastEventId }: RawRequest, last: number): string {
  const ids = Array.from({ length: last }, (_, index) => index + 1);
  return ids
    .filter((id) => id > lastEventId)
    .map((id) => formatChunk(`id: ${id}\ndata: t${id}\n\n`))
    .join('');
}

const breakOff: RawResponder = (socket, request) => {
  const head = formatHead(request, '200 OK', `${EVENT_STREAM}${CHUNKED}`);
  socket.end(`${head}${formatEvents(request, FIRST_EVENTS)}`);
};
const streamCompletely: RawResponder = (socket, request) => {
  const head = formatHead(request, '200 OK', `${EVENT_STREAM}${CHUNKED}`);
  socket.end(`${head}${formatEvents(request, STREAM_EVENT_COUNT)}0\r\n\r\n`);
};

const fail =
  (status: string, headers: string, body: string, isFramed = true): RawResponder =>
  (socket, request) => {
    const framing = isFramed ? formatLength(body) : '';
    socket.end(`${formatHead(request, status, `${headers}${framing}`)}${body}`);
  };

const FAILURES: Readonly<Record<string, RawResponder>> = {
  'a failure with the type of streams': fail('500 Failed', EVENT_STREAM, FAILURE_TEXT),
  'a failure whose body is the next event': fail('500 Failed', EVENT_STREAM, FAILURE_EVENT),
  'a failure of its own at the deadline': fail('504 Deadline', JSON_TYPE, FAILURE_TEXT),
  'a success that is no stream': fail('200 OK', JSON_TYPE, `{"error": "${FAILURE_TEXT}"}\n\n`),
  'a success that is no stream and whose body is the next event': fail(
    '200 OK',
    JSON_TYPE,
    FAILURE_EVENT,
  ),
  'a success without a body that is no stream': fail('200 OK', JSON_TYPE, ''),
  'a success with another status': fail('202 Accepted', EVENT_STREAM, FAILURE_EVENT),
  'a failure without a length': fail('500 Failed', JSON_TYPE, FAILURE_TEXT, false),
  'a failure without a length whose body is the next event': fail(
    '500 Failed',
    EVENT_STREAM,
    FAILURE_EVENT,
    false,
  ),
  'a stream without a length that ends before its first event': fail(
    '200 OK',
    EVENT_STREAM,
    '',
    false,
  ),
  'a head in the body of a stream': fail(
    '200 OK',
    EVENT_STREAM,
    `HTTP/1.1 500 Failed\r\n\r\n${FAILURE_EVENT}`,
    false,
  ),
  'a failure as an event without a number': fail(
    '200 OK',
    EVENT_STREAM,
    `event: error\ndata: ${FAILURE_TEXT}\n\n`,
  ),
  'a failure whose body comes late': (socket, request) => {
    socket.write(formatHead(request, '500 Failed', formatLength(FAILURE_TEXT)));
    setTimeout(() => socket.write(FAILURE_TEXT), LATE_MILLISECONDS);
  },
  'a failure whose body never comes': (socket, request) => {
    socket.write(formatHead(request, '500 Failed', formatLength(FAILURE_TEXT)));
    setTimeout(() => socket.end(), LATE_MILLISECONDS);
  },
  'a stream that breaks off inside its first event': (socket, request) => {
    const head = formatHead(request, '200 OK', `${EVENT_STREAM}${CHUNKED}`);
    socket.end(`${head}${formatChunk(FAILURE_EVENT.slice(0, -1))}0\r\n\r\n`);
  },
};

/** Registers endpoints that respond to the requests of a stream in turn, the last one to all later ones. */
async function replaceEndpoints(...responders: readonly RawResponder[]): Promise<void> {
  const respond: RawResponder = (socket: Socket, request) => {
    responders[Math.min(site.countReceived(), responders.length) - 1]?.(socket, request);
  };
  await site.replaceEndpoints(MODEL_SERVICE, respond, ENDPOINT_COUNT);
}

function requestStream(path = '/ask/one'): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: site.node.callers, path, headers });
}

interface Configuration {
  readonly routes: readonly { readonly prefix: string }[];
}

/** Returns a configuration in which streams below `/tell/` may not be resumed. */
function createConfiguration(): object {
  const { routes, ...rest } = createPlatformConfiguration(1) as Configuration;
  const stream = routes.find(({ prefix }) => prefix === '/ask/');
  const single = { ...stream, name: 'tell', prefix: '/tell/', resumable: false };
  return { ...rest, routes: [...routes, single] };
}

// A new node for each test, since a node limits the log lines that the tests wait for.
beforeEach(async () => {
  site = await startRawSite(createConfiguration());
});

afterEach(async () => {
  await site.close();
});

for (const [name, failure] of Object.entries(FAILURES)) {
  test(`a stream that breaks off is broken off for its caller after ${name}`, async () => {
    await replaceEndpoints(breakOff, failure);
    const { status, body, isComplete } = await requestStream();
    assert.deepEqual([status, body, isComplete], [200, BEGUN_STREAM, false]);
  });
}

test('a stream that breaks off goes on at another endpoint', async () => {
  await replaceEndpoints(breakOff, streamCompletely);
  const { body, isComplete } = await requestStream();
  assert.deepEqual([body, isComplete, site.countReceived()], [COMPLETE_STREAM, true, 2]);
});

test('a stream that may not be resumed is broken off for its caller', async () => {
  await replaceEndpoints(breakOff, streamCompletely);
  const { body, isComplete } = await requestStream('/tell/one');
  assert.deepEqual([body, isComplete, site.countReceived()], [BEGUN_STREAM, false, 1]);
});

test('a caller without chunks sees that its stream is broken off', async () => {
  await replaceEndpoints(breakOff, fail('500 Failed', EVENT_STREAM, FAILURE_TEXT));
  const [host, port] = site.node.callers.split(':');
  const end = await new Promise<string>((resolve) => {
    const socket = connect(Number(port), host, () => {
      socket.write(
        `GET /ask/one HTTP/1.0\r\nHost: desk.example\r\nAttempt-Id: a\r\nCredential: ${KEY}\r\nDeadline-Ms: 5000\r\nToken-Counts: 20,10\r\n\r\n`,
      );
    });
    socket.resume();
    socket.on('end', () => {
      resolve('complete');
    });
    socket.on('error', () => {
      resolve('reset');
    });
  });
  assert.equal(end, 'reset');
});
