/**
 * What is left when a whole site has been closed in mid-work.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { startExample } from '../bench/startExample/index.js';

const HELD = new Set([
  'TCPSocketWrap',
  'TCPServerWrap',
  'Timeout',
  'PipeConnectWrap',
  'TCPConnectWrap',
]);

function listHeld(): string[] {
  return process.getActiveResourcesInfo().filter((name) => HELD.has(name));
}

test('a site that is closed while it streams and books leaves no socket, timer or owner behind', async () => {
  const before = listHeld().length;
  const example = await startExample({ site: 'strathbrae', nodes: 2 });
  const caller = example.createCaller('cobblers-app');
  const streams = [1, 2, 3].map((number) =>
    caller.stream({ model: example.model, prompt: `Sole ${number.toString()}?`, hangUpAfter: 400 }),
  );
  await new Promise((done) => setTimeout(done, 80));
  await example.close();
  await Promise.all(streams);
  await new Promise((done) => setTimeout(done, 500));
  for (const node of example.nodes) assert.deepEqual(node.lifeCycle.listOwned(), []);
  assert.ok(listHeld().length <= before, listHeld().join());
});
