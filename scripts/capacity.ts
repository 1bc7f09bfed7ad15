/**
 * Prints the tables of docs/CAPACITY.md from the slopes in docs/capacity/slopes.json:
 * `npm run capacity`.
 */
import { readFileSync } from 'node:fs';
import type { Row } from '../src/commands/printOutput/index.js';
import {
  computeRoleCosts,
  computeStoreCalls,
  describeSlopes,
  slopesSchema,
  sumControlCosts,
  TARGET_INSTALLATION,
  CURRENT_INSTALLATION,
} from '../bench/computeCapacity/index.js';

function printMarkdownTable(rows: readonly Row[]): void {
  const columns = Object.keys(rows[0] ?? {});
  console.log(`| ${columns.join(' | ')} |\n|${columns.map(() => ' --- |').join('')}`);
  for (const row of rows) {
    console.log(`| ${columns.map((column) => String(row[column] ?? '')).join(' | ')} |`);
  }
  console.log('');
}

const slopes = slopesSchema.parse(JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8')));
printMarkdownTable(describeSlopes(slopes));
for (const [name, size] of Object.entries({
  today: CURRENT_INSTALLATION,
  target: TARGET_INSTALLATION,
})) {
  const roles = computeRoleCosts(slopes, size);
  printMarkdownTable(roles);
  const { processor, memory, bytes } = sumControlCosts(roles);
  const { reads, writes } = computeStoreCalls(slopes, size);
  printMarkdownTable([
    {
      size: name,
      'control processor %': processor,
      'control memory MB': memory,
      'control bytes/s': bytes,
      'store reads/s': reads,
      'store writes/s': writes,
    },
  ]);
}
