import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LAYERED_MODEL } from '../../../tests/support/site/index.js';
import { estimateTokens } from './index.js';

const CALLER = {
  attempt: 'a',
  promptTokens: 700,
  maximumAnswerTokens: 400,
  lastEventId: 0,
  promptParts: [],
};

test('counts the answer so far as prompt tokens and not as answer tokens', () => {
  const begun = estimateTokens({ caller: CALLER, model: LAYERED_MODEL, lastEventId: 0 });
  const resumed = estimateTokens({ caller: CALLER, model: LAYERED_MODEL, lastEventId: 10 });
  assert.equal(resumed.promptTokens - begun.promptTokens, 10 * LAYERED_MODEL.stride);
  assert.equal(begun.answerTokens - resumed.answerTokens, 10 * LAYERED_MODEL.stride);
});

test('prefers the hint to the typical answer, and caps both by the limit', () => {
  const caller = { ...CALLER, expectedAnswerTokens: 100 };
  assert.ok(
    Math.abs(estimateTokens({ caller, model: LAYERED_MODEL, lastEventId: 0 }).answerTokens - 110) <
      1e-6,
  );
  const short = { ...CALLER, expectedAnswerTokens: 900 };
  assert.equal(
    estimateTokens({ caller: short, model: LAYERED_MODEL, lastEventId: 0 }).answerTokens,
    400,
  );
  const typical = estimateTokens({ caller: CALLER, model: LAYERED_MODEL, lastEventId: 0 });
  assert.equal(typical.answerTokens, LAYERED_MODEL.usualAnswerTokens);
});

test('expects at least one more stride of an answer that is longer than expected', () => {
  assert.equal(
    estimateTokens({ caller: CALLER, model: LAYERED_MODEL, lastEventId: 500 }).answerTokens,
    LAYERED_MODEL.stride,
  );
});
