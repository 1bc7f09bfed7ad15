import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecentResponses } from './index.js';

test('evicts the oldest response above the maximum number', () => {
  const responses = createRecentResponses();
  for (let index = 0; index <= 1_024; index += 1) responses.add(`key-${index}`, 200, 'done');
  assert.equal(responses.find('key-0'), undefined);
  assert.equal(responses.find('key-1')?.body, 'done');
  assert.equal(responses.find('key-1024')?.status, 200);
});
