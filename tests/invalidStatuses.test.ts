/**
 * Endpoints whose responses have a status that no final response has. Guards against callers that get them as answers.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { startRawSite, type RawSite } from './support/rawSite/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  sendCallerRequest,
  type CallerResponse,
} from './support/siteNodes/index.js';

const FIELDS = 'Server-Seal: s\r\nAttempt-Id: attempt-1\r\nContent-Type: text/event-stream\r\n';
const EVENTS = ['id: 1\ndata: t1\n\n', 'id: 2\ndata: t2\n\n'];
const BODY = EVENTS.join('');
const CHUNKED = `HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n`;

let site: RawSite;

function formatResponse(status: string, body = BODY): string {
  return `HTTP/1.1 ${status} Odd\r\n${FIELDS}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Registers endpoints whose responses, one after the other, are the given ones; the last one repeats. */
async function replaceEndpoints(service: string, ...responses: string[]): Promise<void> {
  await site.replaceEndpoints(
    service,
    (socket, { lastEventId }) => {
      const text = responses[Math.min(site.countReceived(), responses.length) - 1] ?? '';
      const isResumed = lastEventId > 0 && text === formatResponse('200');
      socket.end(isResumed ? formatResponse('200', EVENTS.slice(lastEventId).join('')) : text);
    },
    responses.length,
  );
}

function send(path: string, method = 'GET'): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: site.node.callers, path, method, headers });
}

interface Configuration {
  readonly routes: readonly { readonly prefix: string }[];
}

// A new node for each test, since a node limits the log lines that the tests wait for.
beforeEach(async () => {
  const { routes, ...rest } = createPlatformConfiguration(1) as Configuration;
  const repeated = routes.map((route) => ({ ...route, max_attempts: 3 }));
  site = await startRawSite({ ...rest, routes: repeated });
});

afterEach(async () => {
  await site.close();
});

for (const status of ['000', '001', '099', '101', '600', '999', '1000']) {
  test(`a response with status ${status} is not forwarded as an answer`, async () => {
    const odd = formatResponse(status);
    const whole = formatResponse('200');
    await replaceEndpoints(PLAIN_SERVICE, odd, whole);
    const lookUp = await send('/look/one');
    assert.deepEqual([lookUp.status, lookUp.body, site.countReceived()], [200, BODY, 2]);
    await replaceEndpoints(PLAIN_SERVICE, odd, whole);
    const booking = await send('/book/one', 'POST');
    assert.deepEqual([booking.status, site.countReceived()], [502, 1]);
    await replaceEndpoints(MODEL_SERVICE, odd, whole);
    const stream = await send('/ask/one');
    assert.deepEqual([stream.status, stream.body, site.countReceived()], [200, BODY, 2]);
    const begun = `${CHUNKED}${formatChunk(EVENTS[0] ?? '')}`;
    await replaceEndpoints(MODEL_SERVICE, begun, odd, whole);
    const resumed = await send('/ask/one');
    assert.deepEqual([resumed.status, resumed.body, site.countReceived()], [200, BODY, 3]);
  });
}
