/**
 * Simulates days of a site in the emulator and prints their figures:
 * `npm run experiment -- --site FILE --day FILE [--versions product,any-path] [--seeds 1,2] [--rate 1.5]
 * [--out FOLDER]`.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { DECISION_VARIANTS, VARIANT_LACKS } from '../emulator/decisionVariants/index.js';
import { playDay } from '../emulator/playDay/index.js';
import { plotDay, type PlottedVariant } from '../emulator/plotDay/index.js';
import { readDay, readSite } from '../emulator/readScenario/index.js';
import { summarizeDay } from '../emulator/summarizeDay/index.js';
import { formatTable, type Row } from '../src/commands/printOutput/index.js';
import { readOptions } from './readOptions/index.js';

const values = readOptions({
  site: { type: 'string', default: 'examples/emulator/fit-desk.json' },
  day: { type: 'string', default: 'examples/emulator/days/calm.json' },
  versions: { type: 'string', default: 'product' },
  seeds: { type: 'string', default: '1' },
  rate: { type: 'string' },
  out: { type: 'string' },
});
const site = readSite(values.site);
const day = readDay(values.day);
const dayWithRate = { ...day, ...(values.rate !== undefined && { rate: Number(values.rate) }) };
const rows: Row[] = [];
const results: unknown[] = [];
const plotted: PlottedVariant[] = [];
let firstAt = 0;
for (const version of values.versions.split(',')) {
  const decisions = DECISION_VARIANTS[version];
  if (!decisions) {
    console.error(
      `unknown version ${version}; known versions: ${Object.keys(DECISION_VARIANTS).join(', ')}`,
    );
    process.exit(1);
  }
  for (const seed of values.seeds.split(',').map(Number)) {
    const startedAt = performance.now();
    const lacks = VARIANT_LACKS[version];
    const result = await playDay({ site, day: dayWithRate, seed, decisions, ...lacks });
    const figures = summarizeDay(result);
    const wall = Math.round((performance.now() - startedAt) / 100) / 10;
    ({ firstAt } = result);
    plotted.push({ name: `${version}, seed ${seed}`, records: result.records });
    results.push({
      site: site.name,
      day: day.name,
      rate: dayWithRate.rate,
      version,
      seed,
      ...figures,
    });
    const { all, engines, gaps, broken } = figures;
    rows.push({
      version,
      seed,
      ...all,
      preempted: engines.preempted,
      turnedAway: engines.refused,
      moves: engines.moves,
      gaps: gaps.count,
      longestGap: gaps.longest,
      broken: Object.values(broken).reduce((sum, count) => sum + count, 0),
      seconds: wall,
    });
  }
}
console.log(`${site.name}, ${day.name}, rate ${dayWithRate.rate}`);
console.log(`${formatTable(rows, process.stdout.isTTY)}\n`);
console.log(JSON.stringify(results));
if (values.out !== undefined) {
  mkdirSync(values.out, { recursive: true });
  const name = `${site.name}-${day.name}`;
  writeFileSync(join(values.out, `${name}.json`), `${JSON.stringify(results, null, 2)}\n`);
  writeFileSync(join(values.out, `${name}.svg`), plotDay(plotted, firstAt));
}
