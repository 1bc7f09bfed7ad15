import assert from 'node:assert/strict';
import test from 'node:test';
import type { ConfigurationChange, Configuration } from '../../types/configuration/index.js';
import { applyOperations } from './index.js';

const EMPTY: Configuration = { revision: 4, objects: [], selectors: [] };

function setClass(name: string, value: string | null, baseRevision = 4): ConfigurationChange {
  const labels = { class: value };
  const operations = [{ kind: 'setLabels' as const, object: 'account' as const, name, labels }];
  return { id: `change-${name}`, baseRevision, operations };
}

function apply(configuration: Configuration, change: ConfigurationChange): Configuration {
  const result = applyOperations(configuration, change);
  assert.ok(result.isOk);
  return result.value;
}

test('merges changes of two operators to different objects', () => {
  const first = apply(EMPTY, setClass('left', 'kiosk'));
  const second = apply(first, setClass('right', 'batch'));
  assert.equal(second.revision, 6);
  assert.deepEqual(second.objects.map(({ name }) => name).sort(), ['left', 'right']);
});

test('refuses the later of two changes to one object and returns both values', () => {
  const first = apply(EMPTY, setClass('left', 'kiosk'));
  const result = applyOperations(first, setClass('left', 'batch'));
  assert.ok(result.isErr);
  assert.equal(result.error.kind, 'conflict');
  assert.match(JSON.stringify(result.error), /kiosk.*batch/);
  assert.ok(applyOperations(first, setClass('left', 'batch', 5)).isOk);
});

test('refuses a change with an invalid label and removes an object without labels', () => {
  const wrong = applyOperations(EMPTY, {
    id: 'change-wrong',
    baseRevision: 4,
    operations: [{ kind: 'setLabels', object: 'account', name: 'a', labels: { clas: 'kiosk' } }],
  });
  assert.ok(wrong.isErr);
  assert.match(JSON.stringify(wrong.error), /did you mean 'class'/);
  const set = apply(EMPTY, setClass('a', 'kiosk'));
  assert.deepEqual(apply(set, setClass('a', null, 5)).objects, []);
});

test('does not modify the configuration that a change is applied to', () => {
  const before = JSON.stringify(EMPTY);
  apply(EMPTY, setClass('a', 'kiosk'));
  assert.equal(JSON.stringify(EMPTY), before);
});
