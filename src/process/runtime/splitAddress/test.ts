import assert from 'node:assert/strict';
import { test } from 'node:test';
import { splitAddress } from './index.js';

test('splits addresses whose port a socket takes', () => {
  assert.deepEqual(splitAddress('10.0.0.1:1'), { host: '10.0.0.1', port: 1 });
  assert.deepEqual(splitAddress('localhost:65535'), { host: 'localhost', port: 65_535 });
});

test('returns undefined for an address that a socket would throw on', () => {
  const wrong = ['', 'host', ':80', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999'];
  for (const address of [...wrong, '10.0.0.1:80:80', '10.0.0.1:-1', '10.0.0.1:12345678'])
    assert.equal(splitAddress(address), undefined, address);
});
