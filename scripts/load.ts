/**
 * Generates load on an example site and prints the results:
 * `npm run load -- --settings FILE [--compare FILE] [--out FILE]`.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { BUNDLE, buildBundle } from '../bench/buildBundle/index.js';
import { formatTable, type Row } from '../src/commands/printOutput/index.js';
import { readLoadSettings, runLoad, type LoadResult } from '../bench/runLoad/index.js';
import { spawnSite } from '../bench/spawnSite/index.js';
import { readOptions } from './readOptions/index.js';

/** Flattens a result to one number for each name. */
function flattenResult(result: LoadResult): Record<string, number> {
  const figures: Record<string, number> = {};
  for (const [name, value] of Object.entries(result) as [string, unknown][]) {
    if (typeof value === 'number') figures[name] = value;
    if (typeof value !== 'object' || value === null) continue;
    for (const [part, number] of Object.entries(value)) {
      if (typeof number === 'number') figures[`${name} ${part}`] = number;
    }
  }
  return figures;
}

const values = readOptions({
  settings: { type: 'string', default: 'examples/fit-desk/load.json' },
  compare: { type: 'string' },
  out: { type: 'string' },
});
const settings = readLoadSettings(values.settings);
await buildBundle();
const keys = JSON.parse(readFileSync(`examples/${settings.site}/keys.json`, 'utf8')) as Record<
  string,
  string
>;
const site = await spawnSite({
  site: settings.site,
  nodes: settings.nodes,
  command: [process.execPath, BUNDLE],
}).catch((error: unknown): never => {
  console.error(error instanceof Error ? error.message : String(error));
  process.exit(1);
});
const result = await runLoad({ settings, site, keys }).finally(site.close);
const flat = flattenResult(result);
const before =
  values.compare === undefined
    ? undefined
    : flattenResult(JSON.parse(readFileSync(values.compare, 'utf8')) as LoadResult);
const rows: Row[] = Object.entries(flat).map(([what, value]) => ({
  what,
  ...(before && { before: before[what] ?? '' }),
  value,
}));
console.log(`${formatTable(rows, process.stdout.isTTY)}\n`);
console.log(JSON.stringify(result));
if (values.out !== undefined) writeFileSync(values.out, JSON.stringify(result, null, 2));
const violations =
  result.wrong + result.bookingsWrong + result.bookingsRunTwice + result.falseNotRun;
process.exit(violations === 0 ? 0 : 1);
