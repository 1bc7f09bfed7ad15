import assert from 'node:assert/strict';
import { test } from 'node:test';
import { gzipSync } from 'node:zlib';
import { createConfigurationCodec } from './index.js';

function createText(routes: number): string {
  const list = Array.from({ length: routes }, (_, index) => ({
    name: `r-${index}`,
    host: 'desk.example',
    prefix: `/route-${index}/`,
    timeout_ms: 20_000,
  }));
  return JSON.stringify({ version: 7, routes: list });
}

test('restores a configuration, and shortens one with many routes to a tenth or less', () => {
  const { compress, decompress } = createConfigurationCodec();
  for (const routes of [0, 1, 1_600]) {
    const text = createText(routes);
    assert.equal(decompress(compress(text)), text);
  }
  const text = createText(1_600);
  assert.ok(compress(text).length <= text.length / 10);
});

test('compresses the same configuration once', () => {
  const { compress } = createConfigurationCodec();
  const text = createText(100);
  assert.equal(compress(text), compress(text));
  assert.notEqual(compress(createText(101)), compress(text));
});

/** Guards against replies of faulty nodes that end the process or fill its memory. */
test('rejects input that is not compressed, is truncated, or expands beyond the limit', () => {
  const { compress, decompress } = createConfigurationCodec();
  assert.equal(decompress('no compressed text'), undefined);
  assert.equal(decompress(compress(createText(50)).slice(0, -20)), undefined);
  assert.equal(decompress(gzipSync(Buffer.alloc(9_000_000)).toString('base64')), undefined);
});
