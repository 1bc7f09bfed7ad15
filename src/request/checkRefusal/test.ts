import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkRefusal } from './index.js';

test('takes a refusal that names the attempt for one of the attempt', () => {
  const metadata = { attempt: 'own', isNotExecuted: true };
  assert.equal(checkRefusal({ metadata, attempt: 'own' }), 'refused');
});

test('does not take a refusal of another attempt, or of none, for one of the attempt', () => {
  for (const attempt of ['other', '', 'own, own', undefined]) {
    const metadata = { attempt, isNotExecuted: true };
    assert.equal(checkRefusal({ metadata, attempt: 'own' }), 'unproven');
  }
});

test('takes a refusal without an attempt for one of a request without an attempt', () => {
  for (const attempt of ['', undefined]) {
    const metadata = { attempt, isNotExecuted: true };
    assert.equal(checkRefusal({ metadata, attempt: '' }), 'refused');
  }
});

test('finds no refusal in a response that states none', () => {
  const metadata = { attempt: 'own', isNotExecuted: false };
  assert.equal(checkRefusal({ metadata, attempt: 'own' }), 'none');
});
