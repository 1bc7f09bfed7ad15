/**
 * Endpoints that stop in the middle of a response's head, or right after it. Guards against successes with
 * an empty or short body that is framed as whole, and against "not run" for a request that may have run.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { Socket } from 'node:net';
import { startRawSite, type RawSite } from './support/rawSite/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  sendCallerRequest,
  type CallerResponse,
} from './support/siteNodes/index.js';

let site: RawSite;

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const FIELDS = 'Server-Seal: s\r\nAttempt-Id: attempt-1\r\nContent-Type: text/event-stream\r\n';
const EVENT = 'id: 1\ndata: t1\n\n';
const WHOLE = `${STATUS_LINE}${FIELDS}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`;

/** What an endpoint writes before it closes or resets the connection. */
const TRUNCATED: Readonly<Record<string, string>> = {
  'in the status line': STATUS_LINE.slice(0, 12),
  'after the status line': STATUS_LINE,
  'in a header': `${STATUS_LINE}Server-Se`,
  'after all headers': `${STATUS_LINE}${FIELDS}`,
  'before the last line break of the head': WHOLE.slice(0, WHOLE.indexOf('\r\n\r\n') + 3),
  'after a head with a length': WHOLE.slice(0, WHOLE.indexOf('\r\n\r\n') + 4),
  'after a head with chunks': `${STATUS_LINE}${FIELDS}Transfer-Encoding: chunked\r\n\r\n`,
  'in the size of a chunk': `${STATUS_LINE}${FIELDS}Transfer-Encoding: chunked\r\n\r\n1`,
  'after a head without framing': `${STATUS_LINE}${FIELDS}\r\n`,
};
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => {
    socket.end();
  },
  resets: (socket) => {
    socket.resetAndDestroy();
  },
};

/** Registers endpoints that truncate the first response, and respond completely after that. */
async function replaceEndpoints(
  service: string,
  text: string,
  end: (socket: Socket) => void,
): Promise<void> {
  await site.replaceEndpoints(service, (socket) => {
    if (site.countReceived() > 1) socket.write(WHOLE);
    else
      socket.write(text, () => {
        end(socket);
      });
  });
}

function send(path: string, method = 'GET'): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: site.node.callers, path, method, headers });
}

interface Configuration {
  readonly routes: readonly { readonly prefix: string }[];
}

/** Returns a configuration in which bookings may be sent twice, and streams below `/tell/` not resumed. */
function createConfiguration(): object {
  const { routes, ...rest } = createPlatformConfiguration(1) as Configuration;
  const repeated = routes.map((route) => ({ ...route, max_attempts: 2 }));
  const stream = repeated.find(({ prefix }) => prefix === '/ask/');
  const single = { ...stream, name: 'tell', prefix: '/tell/', resumable: false };
  return { ...rest, routes: [...repeated, single] };
}

// A new node for each test, since a node limits the log lines that the tests wait for.
beforeEach(async () => {
  site = await startRawSite(createConfiguration());
});

afterEach(async () => {
  await site.close();
});

for (const [place, text] of Object.entries(TRUNCATED)) {
  for (const [ending, end] of Object.entries(ENDINGS)) {
    test(`an endpoint that ${ending} its connection ${place} has not answered`, async () => {
      await replaceEndpoints(PLAIN_SERVICE, text, end);
      const lookUp = await send('/look/one');
      assert.deepEqual([lookUp.status, lookUp.body, site.countReceived()], [200, EVENT, 2]);
      await replaceEndpoints(PLAIN_SERVICE, text, end);
      const booking = await send('/book/one', 'POST');
      assert.deepEqual([booking.status, site.countReceived()], [502, 1]);
      await replaceEndpoints(MODEL_SERVICE, text, end);
      const resumed = await send('/ask/one');
      assert.deepEqual([resumed.status, resumed.body, site.countReceived()], [200, EVENT, 2]);
      await replaceEndpoints(MODEL_SERVICE, text, end);
      const single = await send('/tell/one');
      assert.deepEqual([single.status, site.countReceived()], [502, 1]);
    });
  }
}

test('a response without a body needs no framing', async () => {
  const noContent = `${STATUS_LINE}${FIELDS}\r\n`.replace('200 OK', '204 No Content');
  await replaceEndpoints(PLAIN_SERVICE, noContent, (socket) => {
    socket.end();
  });
  const booking = await send('/book/one', 'POST');
  assert.deepEqual([booking.status, site.countReceived()], [204, 1]);
});
