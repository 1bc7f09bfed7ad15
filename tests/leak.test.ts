/**
 * Guards against sockets, timers and other resources that stay open when a site is closed while
 * streams and bookings are in progress.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { startExample } from '../bench/startExample/index.js';

const RESOURCE_TYPES = new Set([
  'TCPSocketWrap',
  'TCPServerWrap',
  'Timeout',
  'PipeConnectWrap',
  'TCPConnectWrap',
]);

function listOpenResources(): string[] {
  return process.getActiveResourcesInfo().filter((name) => RESOURCE_TYPES.has(name));
}

test('closing a site during streams and bookings releases every socket, timer and owned resource', async () => {
  const before = listOpenResources().length;
  const example = await startExample({ site: 'strathbrae', nodes: 2 });
  const caller = example.createCaller('cobblers-app');
  const streams = [1, 2, 3].map((number) =>
    caller.stream({
      model: example.model,
      prompt: `Sole ${number.toString()}?`,
      disconnectAfterMilliseconds: 400,
    }),
  );
  await new Promise((done) => setTimeout(done, 80));
  await example.close();
  await Promise.all(streams);
  await new Promise((done) => setTimeout(done, 500));
  for (const node of example.nodes) assert.deepEqual(node.lifeCycle.listOwned(), []);
  assert.ok(listOpenResources().length <= before, listOpenResources().join());
});
