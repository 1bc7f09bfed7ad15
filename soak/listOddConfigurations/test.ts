/**
 * Guards against odd configurations that nodes may take: a run would then ask them to keep the one before.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeConfiguration } from '../../platform/decodeConfiguration/index.js';
import { parseJson } from '../../src/process/parseJson/index.js';
import { createConfiguration } from '../createConfiguration/index.js';
import { listOddConfigurations } from './index.js';

test('no odd configuration can be decoded, and the one without an odd field can', () => {
  const sound = { ...createConfiguration(1, 4_000), routes: [] };
  assert.ok(decodeConfiguration(parseJson(JSON.stringify(sound))));
  for (const text of listOddConfigurations(4_000))
    assert.equal(decodeConfiguration(parseJson(text)), undefined, text.slice(-80));
});
