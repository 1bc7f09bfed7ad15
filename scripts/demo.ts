/**
 * Runs the demonstration: `npm run demo -- --site fit-desk|strathbrae`.
 */
import { formatTable } from '../src/commands/printOutput/index.js';
import { runDemo } from './demo/runDemo.js';
import { readOptions } from './readOptions/index.js';

const values = readOptions({ site: { type: 'string', default: 'fit-desk' } });
const startedAt = performance.now();
const summary = await runDemo(values.site, (text) => {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5);
  console.log(`${seconds} s  ${text}`);
});
console.log(`\n${formatTable(summary.rows, process.stdout.isTTY)}\n`);
console.log(formatTable(summary.classes, process.stdout.isTTY));
console.log(`\n${JSON.stringify(summary.result)}`);
process.exit(summary.isPassed ? 0 : 1);
