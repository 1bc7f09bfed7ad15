import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkRefusal } from './index.js';

test('takes a refusal that names the attempt for one of the attempt', () => {
  const metadata = { attempt: 'own', isNotExecuted: true };
  assert.equal(checkRefusal({ status: 503, metadata, attempt: 'own' }), 'refused');
});

test('does not take a refusal of another attempt, or of none, for one of the attempt', () => {
  for (const attempt of ['other', '', 'own, own', undefined]) {
    const metadata = { attempt, isNotExecuted: true };
    assert.equal(checkRefusal({ status: 503, metadata, attempt: 'own' }), 'unproven');
  }
});

test('takes a refusal without an attempt for one of a request without an attempt', () => {
  for (const attempt of ['', undefined]) {
    const metadata = { attempt, isNotExecuted: true };
    assert.equal(checkRefusal({ status: 503, metadata, attempt: '' }), 'refused');
  }
});

test('does not take a status alone for a refusal', () => {
  const metadata = { attempt: 'own', isNotExecuted: false };
  for (const status of [408, 421, 429, 503])
    assert.equal(checkRefusal({ status, metadata, attempt: 'own' }), 'unproven');
});

test('finds no refusal in a response that states none', () => {
  const metadata = { attempt: 'own', isNotExecuted: false };
  for (const status of [200, 400, 500, 504])
    assert.equal(checkRefusal({ status, metadata, attempt: 'own' }), 'none');
});
