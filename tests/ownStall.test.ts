/**
 * Calls whose response arrives while the node itself does not run. Guards against endpoints that count as lost,
 * and requests that fail, because the node was late: after a pause, such as one for the lack of a processor, Node.js runs the
 * timers that are due before it reads what has arrived.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { checkListening } from '../src/process/relay/checkListening/index.js';
import { openEndpointCall } from '../src/process/relay/openEndpointCall/index.js';

/** Responds with a report at once, in a thread of its own. */
const SERVER = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const server = createServer((_, response) => response.end('{"sequence":1}'));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Stalls below and above the time limits of the calls, in milliseconds. */
const STALLS = [150, 190, 240, 300, 700];

const CHECKS: Readonly<Record<string, (address: string) => Promise<boolean>>> = {
  report: async (address) => (await createSiteProtocol().fetchReport(address)) !== undefined,
  connection: checkListening,
  request: (address) =>
    new Promise((resolve) => {
      openEndpointCall({
        address,
        method: 'GET',
        url: '/',
        headers: ['Host', 'desk.example'],
        body: undefined,
        onResponse: () => undefined,
        onData: () => undefined,
        onEnd: () => {
          resolve(true);
        },
        onFailure: () => {
          resolve(false);
        },
      });
    }),
};

/** Keeps the event loop from running, as a node does that waits for its share of the processor. */
function stall(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

let worker: Worker;
let address = '';

before(async () => {
  worker = new Worker(SERVER, { eval: true });
  const [port] = (await once(worker, 'message')) as [number];
  address = `127.0.0.1:${port}`;
});

after(() => worker.terminate());

for (const [what, check] of Object.entries(CHECKS)) {
  for (const milliseconds of STALLS) {
    test(`an endpoint that responds at once is found by its ${what} when the node stalls ${milliseconds} ms`, async () => {
      assert.ok(await check(address), 'without a stall');
      const found = check(address);
      // The connection is begun in the microtasks of this turn.
      await Promise.resolve();
      process.nextTick(() => {
        stall(milliseconds);
      });
      assert.ok(await found);
    });
  }
}
