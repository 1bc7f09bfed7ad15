/**
 * Endpoints that send a refusal which does not belong to the request. Guards against requests that may
 * have run and are reported as not run, or that run at a second endpoint.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { Socket } from 'node:net';
import { type RawRequest, type RawResponder } from './support/rawEndpoint/index.js';
import { startRawSite, type RawSite } from './support/rawSite/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  sendCallerRequest,
  type CallerResponse,
} from './support/siteNodes/index.js';

const OTHER_ATTEMPT = 'Attempt-Id: attempt-of-another-caller\r\n';
const MAXIMUM_ATTEMPTS = 3;

let site: RawSite;

function formatOwnAttempt({ attempt }: RawRequest): string {
  return `Attempt-Id: ${attempt}\r\n`;
}

function formatRefusal(attemptHeaders: string, status = '503 Service Unavailable'): string {
  return `HTTP/1.1 ${status}\r\nServer-Seal: s\r\nNot-Executed: 1\r\n${attemptHeaders}Content-Length: 8\r\n\r\nnot run.`;
}

function formatBookingResponse(request: RawRequest): string {
  return `HTTP/1.1 200 OK\r\nServer-Seal: s\r\n${formatOwnAttempt(request)}Content-Length: 6\r\n\r\nbooked`;
}

function formatStream(request: RawRequest): string {
  const head = `HTTP/1.1 200 OK\r\nServer-Seal: s\r\n${formatOwnAttempt(request)}`;
  return `${head}Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: t1\n\n`;
}

/** Way in which an endpoint responds with a refusal that does not belong to the request. */
type FaultyResponder = (socket: Socket, request: RawRequest, own: string) => void;

const write =
  (format: (request: RawRequest) => string): FaultyResponder =>
  (socket, request) =>
    socket.write(format(request));

const FAULTY_RESPONDERS: Readonly<Record<string, FaultyResponder>> = {
  'a refusal of another attempt': write(() => formatRefusal(OTHER_ATTEMPT)),
  'a refusal of another attempt with status 429': write(() =>
    formatRefusal(OTHER_ATTEMPT, '429 Too Many Requests'),
  ),
  'a refusal of another attempt with status 421': write(() =>
    formatRefusal(OTHER_ATTEMPT, '421 Misdirected Request'),
  ),
  'a refusal of another attempt without the header of refusals': write(() =>
    formatRefusal(OTHER_ATTEMPT, '421 Misdirected Request').replace('Not-Executed: 1\r\n', ''),
  ),
  'a refusal of another attempt before the response to the request': (socket, _, own) =>
    socket.write(`${formatRefusal(OTHER_ATTEMPT)}${own}`),
  'a refusal of another attempt whose body is cut': (socket) => {
    socket.end(formatRefusal(OTHER_ATTEMPT).slice(0, -4));
  },
  'a refusal of another attempt whose connection is reset': (socket) => {
    socket.write(formatRefusal(OTHER_ATTEMPT).slice(0, -4), () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  },
  'a refusal without an attempt': write(() => formatRefusal('')),
  'a refusal with an empty attempt': write(() => formatRefusal('Attempt-Id: \r\n')),
  'a refusal of two attempts': write((request) =>
    formatRefusal(`${formatOwnAttempt(request)}${OTHER_ATTEMPT}`),
  ),
  'a refusal that names its attempt twice': write((request) =>
    formatRefusal(formatOwnAttempt(request).repeat(2)),
  ),
  'an interim response with the headers of a refusal, and no response': (socket, request) => {
    socket.end(`HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n${formatOwnAttempt(request)}\r\n`);
  },
};

/** Responds as given to the first request, and as a healthy endpoint after that. */
function respondFirst(
  faulty: FaultyResponder,
  formatOwn: (request: RawRequest) => string,
): RawResponder {
  return (socket, request) => {
    if (site.countReceived() > 1) socket.write(formatOwn(request));
    else faulty(socket, request, formatOwn(request));
  };
}

function sendBooking(): Promise<CallerResponse> {
  return sendCallerRequest({
    address: site.node.callers,
    path: '/book/one',
    method: 'POST',
    body: 'book',
  });
}

function requestStream(path = '/ask/one'): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: site.node.callers, path, headers });
}

interface Configuration {
  readonly routes: readonly { readonly prefix: string }[];
}

/**
 * Returns a configuration in which bookings and streams may run once, but may be sent three times, or
 * once below `/tell/`.
 */
function createStrictConfiguration(): object {
  const { routes, ...rest } = createPlatformConfiguration(1) as Configuration;
  const strict = routes.map((route) => ({
    ...route,
    max_attempts: MAXIMUM_ATTEMPTS,
    resumable: false,
  }));
  const stream = strict.find(({ prefix }) => prefix === '/ask/');
  const single = { ...stream, name: 'tell', prefix: '/tell/', max_attempts: 1 };
  return { ...rest, routes: [...strict, single] };
}

// A new node for each test, since a node limits the log lines that the tests wait for.
beforeEach(async () => {
  site = await startRawSite(createStrictConfiguration());
});

afterEach(async () => {
  await site.close();
});

for (const [name, faulty] of Object.entries(FAULTY_RESPONDERS)) {
  test(`a booking is not taken for refused after ${name}`, async () => {
    await site.replaceEndpoints(PLAIN_SERVICE, respondFirst(faulty, formatBookingResponse));
    const { status } = await sendBooking();
    assert.deepEqual([status, site.countReceived()], [502, 1], site.node.logs.slice(-6).join(''));
  });

  test(`a stream is not taken for refused after ${name}`, async () => {
    await site.replaceEndpoints(MODEL_SERVICE, respondFirst(faulty, formatStream));
    const { status } = await requestStream();
    assert.deepEqual([status, site.countReceived()], [502, 1], site.node.logs.slice(-6).join(''));
  });
}

test('a failure of another attempt never reaches the caller of a stream', async () => {
  const failure = `HTTP/1.1 500 Failed\r\nServer-Seal: s\r\n${OTHER_ATTEMPT}Content-Length: 6\r\n\r\nfailed`;
  const respond = respondFirst((socket) => socket.write(failure), formatStream);
  await site.replaceEndpoints(MODEL_SERVICE, respond);
  const { status, headers } = await requestStream('/tell/one');
  assert.deepEqual([status, headers['server-seal']], [502, undefined]);
});

for (const status of ['408 Request Timeout', '429 Too Many Requests', '503 Service Unavailable']) {
  test(`a failure with status ${status} that states no refusal is not forwarded`, async () => {
    const fail = write((request) =>
      formatRefusal(formatOwnAttempt(request), status).replace('Not-Executed: 1\r\n', ''),
    );
    await site.replaceEndpoints(PLAIN_SERVICE, respondFirst(fail, formatBookingResponse));
    const booking = await sendBooking();
    assert.deepEqual([booking.status, site.countReceived()], [502, 1]);
    await site.replaceEndpoints(MODEL_SERVICE, respondFirst(fail, formatStream));
    const stream = await requestStream('/tell/one');
    assert.deepEqual([stream.status, site.countReceived()], [502, 1]);
  });
}

test('a refusal of its own attempt sends a request to another endpoint', async () => {
  const refuse = write((request) => formatRefusal(formatOwnAttempt(request)));
  await site.replaceEndpoints(PLAIN_SERVICE, respondFirst(refuse, formatBookingResponse));
  const booking = await sendBooking();
  assert.deepEqual([booking.status, booking.body, site.countReceived()], [200, 'booked', 2]);
  await site.replaceEndpoints(MODEL_SERVICE, respondFirst(refuse, formatStream));
  const stream = await requestStream();
  assert.deepEqual([stream.status, site.countReceived()], [200, 2]);
});

test('a response to the request is taken after an interim response with the headers of a refusal', async () => {
  const interim = `HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n${OTHER_ATTEMPT}\r\n`;
  const respond = respondFirst(
    (socket, _, own) => socket.write(`${interim}${own}`),
    formatBookingResponse,
  );
  await site.replaceEndpoints(PLAIN_SERVICE, respond);
  const { status, body } = await sendBooking();
  assert.deepEqual([status, body, site.countReceived()], [200, 'booked', 1]);
});
