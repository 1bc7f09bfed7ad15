import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecentResponses } from './index.js';

test('the oldest answer is forgotten when there are too many', () => {
  const answers = createRecentResponses();
  for (let index = 0; index <= 1_024; index += 1) answers.add(`key-${index}`, 200, 'done');
  assert.equal(answers.find('key-0'), undefined);
  assert.equal(answers.find('key-1')?.body, 'done');
  assert.equal(answers.find('key-1024')?.status, 200);
});
