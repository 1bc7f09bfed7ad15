import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MODEL } from '../../../tests/support/site/index.js';
import { estimateSize } from './index.js';

const CALLER = { attempt: 'a', promptTokens: 700, maximumAnswerTokens: 400, lastEventId: 0 };

test('what was answered so far has to be read, and is no longer to be written', () => {
  const begun = estimateSize({ caller: CALLER, model: MODEL, lastEvent: 0 });
  const resumed = estimateSize({ caller: CALLER, model: MODEL, lastEvent: 10 });
  assert.equal(resumed.promptTokens - begun.promptTokens, 10 * MODEL.stride);
  assert.equal(begun.answerTokens - resumed.answerTokens, 10 * MODEL.stride);
});

test('a hint goes before the usual answer, and the limit before both', () => {
  const caller = { ...CALLER, expectedAnswerTokens: 100 };
  assert.ok(
    Math.abs(estimateSize({ caller, model: MODEL, lastEvent: 0 }).answerTokens - 110) < 1e-6,
  );
  const short = { ...CALLER, expectedAnswerTokens: 900 };
  assert.equal(estimateSize({ caller: short, model: MODEL, lastEvent: 0 }).answerTokens, 400);
  const usual = estimateSize({ caller: CALLER, model: MODEL, lastEvent: 0 });
  assert.equal(usual.answerTokens, MODEL.usualAnswerTokens);
});

test('an answer that is longer than expected still has tokens to come', () => {
  assert.equal(
    estimateSize({ caller: CALLER, model: MODEL, lastEvent: 500 }).answerTokens,
    MODEL.stride,
  );
});
