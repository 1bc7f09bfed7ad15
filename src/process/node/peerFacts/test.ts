import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeReport, parseReport, parseVm, decodeReport } from './index.js';

const REPORT = {
  incarnation: 'i-7',
  model: 'assistant',
  version: 'v3',
  adapters: ['legal'],
  from: 4,
  to: 9,
  active: 5,
  layersPerSecond: 812,
  leaving: true,
  loading: false,
  checksFencing: true,
  fencing: 3,
};

test('decodes an encoded report with the load that is carried separately', () => {
  assert.deepEqual(decodeReport(encodeReport(REPORT), 5), REPORT);
});

test('returns undefined for invalid facts and does not throw', () => {
  for (const text of ['', '{', '[]', '[1,2,3]', 'null']) {
    assert.equal(decodeReport(text, 0), undefined);
    assert.equal(parseReport(text), undefined);
    assert.equal(parseVm(text), undefined);
  }
});
