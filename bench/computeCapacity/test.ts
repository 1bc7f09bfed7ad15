import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import test from 'node:test';
import type { Row } from '../../src/commands/printOutput/index.js';
import {
  computeRoleCosts,
  computeStoreCalls,
  describeSlopes,
  slopesSchema,
  sumControlCosts,
  TARGET_INSTALLATION,
  CURRENT_INSTALLATION,
} from './index.js';

const slopes = slopesSchema.parse(JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8')));
const page = readFileSync('docs/CAPACITY.md', 'utf8').replaceAll(/ +/g, ' ');

function assertPageHasRow(row: Row): void {
  const text = `| ${Object.values(row).map(String).join(' | ')} |`;
  assert.ok(page.includes(text), `docs/CAPACITY.md lacks: ${text}`);
}

test('the capacity page contains the rows that are computed from its slopes', () => {
  describeSlopes(slopes).forEach(assertPageHasRow);
  for (const [size, installation] of Object.entries({
    today: CURRENT_INSTALLATION,
    target: TARGET_INSTALLATION,
  })) {
    const roles = computeRoleCosts(slopes, installation);
    roles.forEach(assertPageHasRow);
    const { processor, memory, bytes } = sumControlCosts(roles);
    const { reads, writes } = computeStoreCalls(slopes, installation);
    assertPageHasRow({ size, processor, memory, bytes, reads, writes });
  }
});
