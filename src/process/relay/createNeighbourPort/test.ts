/**
 * Guards against a hand-over whose outcome is told wrongly: a refusal that is none, or a response of another node that
 * is taken for one of an endpoint.
 */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type RequestListener } from 'node:http';
import { test } from 'node:test';
import { createSiteProtocol } from '../../../../platform/createSiteProtocol/index.js';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import type { ResponseHead, SendState } from '../../../types/relay/index.js';
import { createNeighbourPort, readHandedOver } from './index.js';

const ATTEMPT = '9c41d07be2a35f68';
const PORT = createNeighbourPort({ node: 'node-1', translator: createSiteProtocol() });
const REQUEST = {
  method: 'POST',
  url: '/book/?a=b',
  rawHeaders: [
    'Host',
    'desk.example',
    'Attempt-Id',
    ATTEMPT,
    'Credential',
    'key-1',
    'Deadline-Ms',
    '900',
    'Connection',
    'keep-alive',
    'Content-Length',
    '9',
  ],
  body: Buffer.from('body'),
};

interface Outcome {
  readonly head?: ResponseHead;
  readonly failure?: SendState;
}

async function handOver(handle: RequestListener, lastEventId?: number): Promise<Outcome> {
  const server = createServer(handle);
  const address = await listenOnLoopback(server);
  const details = {
    address,
    attempt: ATTEMPT,
    deadlineMilliseconds: 700.9,
    lastEventId,
    isRepeat: lastEventId !== undefined,
    configurationVersion: 7,
  };
  const outcome = await new Promise<Outcome>((resolve) => {
    let head: ResponseHead | undefined;
    PORT.send(REQUEST, details, {
      onHead: (received) => {
        head = received;
      },
      onData: () => undefined,
      onEnd: () => {
        resolve({ ...(head && { head }) });
      },
      onFailure: (failure) => {
        resolve({ failure });
      },
    });
  });
  server.close();
  server.closeAllConnections();
  return outcome;
}

test('hands over what the caller sent, with the time and the event that are left', async () => {
  let received: IncomingMessage | undefined;
  await handOver((incoming, response) => {
    received = incoming;
    response.writeHead(204).end();
  }, 7);
  assert.ok(received);
  const { headers, url, method } = received;
  assert.deepEqual([method, url], ['POST', '/book/?a=b']);
  assert.equal(headers.host, 'desk.example');
  assert.equal(headers.credential, 'key-1');
  assert.equal(headers['deadline-ms'], '700');
  assert.equal(headers['last-event-id'], '7');
  assert.equal(headers['content-length'], '4');
  const names = readHandedOver(received)?.rawHeaders.map((text) => text.toLowerCase()) ?? [];
  assert.ok(!names.some((name) => name.startsWith('marjoramcleat')));
  assert.equal(readHandedOver(received)?.isRepeat, true);
  assert.equal(readHandedOver(received)?.configurationVersion, 7);
  assert.equal(readHandedOver({ headers: {}, rawHeaders: [] }), undefined);
});

for (const status of [400, 401, 404, 503]) {
  test(`a response of the other node with status ${status} is a refusal of the attempt`, async () => {
    const { head } = await handOver((_, response) => {
      response.writeHead(status, { 'Retry-After': '0.40' }).end();
    });
    assert.equal(head?.metadata.isNotExecuted, true);
    assert.equal(head.metadata.attempt, ATTEMPT);
    if (status === 503)
      assert.deepEqual(head.metadata.backoff, { kind: 'timed', milliseconds: 400 });
  });
}

for (const status of [500, 502, 504]) {
  test(`a response of the other node with status ${status} refuses nothing`, async () => {
    const { head } = await handOver((_, response) => {
      response.writeHead(status).end();
    });
    assert.equal(head?.metadata.isNotExecuted, false);
    assert.equal(head.metadata.isFromEndpoint, false);
  });
}

test('a failure of an endpoint that the other node passes on is no refusal', async () => {
  const { head } = await handOver((_, response) => {
    response.writeHead(404, { 'Server-Seal': 'sealed', 'Attempt-Id': ATTEMPT }).end();
  });
  assert.equal(head?.metadata.isNotExecuted, false);
  assert.equal(head.metadata.isFromEndpoint, true);
});

test('a request that reached another node which then ended may have been executed', async () => {
  const { failure } = await handOver((incoming) => {
    incoming.socket.destroy();
  });
  assert.equal(failure, 'sent');
});
