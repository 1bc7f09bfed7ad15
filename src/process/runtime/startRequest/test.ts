import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startRequest } from './index.js';

/** Guards against processes that end because the runtime throws on what an entry or a header holds. */
test('returns why a request cannot be sent, instead of throwing', () => {
  const address = '127.0.0.1:80';
  const cases = [
    startRequest('127.0.0.1:99999', { path: '/' }),
    startRequest('127.0.0.1', { path: '/' }),
    startRequest(address, { path: '/a b' }),
    startRequest(address, { path: '/', headers: { 'Expect-Instance': 'a\r\nb' } }),
    startRequest(address, { path: '/', headers: { Tenant: '€' } }),
  ];
  for (const result of cases) assert.ok(result.isErr && result.error !== '');
});
