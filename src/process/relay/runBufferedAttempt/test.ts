/**
 * Guards against a response that arrived in time and is thrown away, because the node was held up until the timer of
 * the deadline was due as well.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { createSiteProtocol } from '../../../../platform/createSiteProtocol/index.js';
import { createSystemClock } from '../../runtime/createSystemClock/index.js';
import { createBodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import { createEndpointPort } from '../createEndpointPort/index.js';
import { createStopSignal } from '../createStopSignal/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';
import { runBufferedAttempt } from './index.js';

const TIMEOUT_MILLISECONDS = 150;
const STALL_MILLISECONDS = 250;
const ATTEMPT = '9c41d07be2a35f68';

/** Tells when a request has arrived, and responds to it after 50 ms, in a thread of its own. */
const SERVER = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const server = createServer((_, response) => {
    parentPort.postMessage('arrived');
    setTimeout(() => {
      response.writeHead(200, { 'Server-Seal': 'sealed', 'Attempt-Id': '${ATTEMPT}' });
      response.end('booked');
    }, 50);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Keeps the event loop from running, as a node does that waits for its share of the processor. */
function stall(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

function createContext(): RelayContext {
  return {
    clock: createSystemClock(),
    stopSignal: createStopSignal(assert.ifError),
    responseMemory: createBodyMemoryLimit(1_000_000),
  } as unknown as RelayContext;
}

function createRequest(): RelayedRequest {
  return {
    caller: { attempt: ATTEMPT },
    forwarded: {
      method: 'POST',
      url: '/book',
      rawHeaders: ['Host', 'desk.example'],
      body: Buffer.alloc(0),
    },
    deadlineAt: performance.now() + TIMEOUT_MILLISECONDS,
    response: { onDisconnect: () => undefined },
  } as unknown as RelayedRequest;
}

test(
  'a response that arrives before the deadline is read when the node stalls beyond it',
  { timeout: 5_000 },
  async (context) => {
    const worker = new Worker(SERVER, { eval: true });
    context.after(() => worker.terminate());
    const [port] = (await once(worker, 'message')) as [number];
    const request = createRequest();
    const forwarding = {
      address: `127.0.0.1:${port}`,
      endpoint: 'engine-0',
      deadlineMilliseconds: TIMEOUT_MILLISECONDS,
    };
    const endpointPort = createEndpointPort(createSiteProtocol());
    const attempted = runBufferedAttempt(createContext(), request, {
      open: (handlers) => endpointPort.send(request.forwarded, forwarding, handlers),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    await once(worker, 'message');
    stall(STALL_MILLISECONDS);
    const outcome = await attempted;
    assert.deepEqual(
      outcome.kind === 'answered' ? outcome.response.body.toString() : outcome,
      'booked',
    );
  },
);
