import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serveEngine } from './index.js';

test('responds with 404 to a request that is meant for another server', async () => {
  const engine = await serveEngine({ port: 0, name: 'engine-1' } as Parameters<
    typeof serveEngine
  >[0]);
  const fetchStatus = async (path: string, init?: RequestInit): Promise<number> => {
    const { status } = await fetch(`http://${engine.address}${path}`, init);
    return status;
  };
  assert.equal(await fetchStatus('/ask/one'), 404);
  assert.equal(await fetchStatus('/order', { method: 'POST', body: '{"op":"place"}' }), 404);
  await engine.close();
});
