import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serveEngine } from './index.js';

test('a request that is meant for another server is answered with 404', async () => {
  const engine = await serveEngine({ port: 0, name: 'engine-1' } as Parameters<
    typeof serveEngine
  >[0]);
  const ask = async (path: string, init?: RequestInit): Promise<number> => {
    const { status } = await fetch(`http://${engine.address}${path}`, init);
    return status;
  };
  assert.equal(await ask('/ask/one'), 404);
  assert.equal(await ask('/order', { method: 'POST', body: '{"op":"place"}' }), 404);
  await engine.close();
});
