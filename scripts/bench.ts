/**
 * Runs one measurement: `npm run bench -- NAME`; without a name, lists the measurements.
 */
import { formatTable } from '../src/commands/printOutput/index.js';
import { MEASUREMENTS } from '../bench/measurements.js';

const [name = ''] = process.argv.slice(2);
const measure = MEASUREMENTS[name];
if (!measure) {
  console.log(`measurements: ${Object.keys(MEASUREMENTS).join(', ')}`);
  process.exit(name === '' ? 0 : 1);
}
const startedAt = performance.now();
const { rows, targets } = await measure();
const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
console.log(`${formatTable(rows, process.stdout.isTTY)}\n`);
console.log(
  `${formatTable(
    targets.map((target) => ({ ...target })),
    process.stdout.isTTY,
  )}\n`,
);
console.log(JSON.stringify({ name, seconds, rows, targets }));
process.exit(0);
