/**
 * Runs the platform's nodes under injected faults and checks their guarantees:
 * `npm run soak -- --seed N [--runs R] [--seconds S] [--nodes K] [--restore]`.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describeRun } from '../soak/describeRun/index.js';
import { runSoak } from '../soak/runSoak/index.js';
import { readOptions } from './readOptions/index.js';

const PROGRAM = 'target/marjoramcleat-platform.cjs';

/** Builds the program that nodes run. */
function buildProgram(): void {
  const command = ['--import', 'tsx', 'scripts/buildPlatform.ts'];
  const { status } = spawnSync(process.execPath, command, { stdio: 'inherit' });
  if (status !== 0) process.exit(1);
}

/**
 * Runs one seed and returns whether all checks passed. Keeps the logs and observations of a
 * failure.
 */
async function runSeed(seed: number, program: string) {
  const seconds = Number(values.seconds);
  const nodes = Number(values.nodes);
  const restoresStore = values.restore;
  const folder = mkdtempSync(join(tmpdir(), `marjoramcleat-soak-${seed}-`));
  const result = await runSoak({
    seed,
    milliseconds: seconds * 1_000,
    nodes,
    restoresStore,
    program,
    folder,
  });
  console.log(`seed ${seed}, ${seconds} s of faults, ${nodes} nodes`);
  console.log(describeRun(result, folder).join('\n'));
  const isPassed = result.violations.length === 0;
  if (isPassed) {
    rmSync(folder, { recursive: true });
    return true;
  }
  writeFileSync(join(folder, 'record.json'), JSON.stringify(result.record));
  writeFileSync(join(folder, 'schedule.json'), JSON.stringify(result.schedule));
  console.log(`logs and observations are kept in ${folder}`);
  const restore = restoresStore ? ' --restore' : '';
  console.log(
    `rerun: npm run soak -- --seed ${seed} --seconds ${seconds} --nodes ${nodes}${restore}`,
  );
  return false;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  // Exit handlers stop the nodes, and a process that a signal terminates does not run them.
  process.once(signal, () => process.exit(1));
}
const values = readOptions({
  seed: { type: 'string', default: '1' },
  runs: { type: 'string', default: '1' },
  seconds: { type: 'string', default: '60' },
  nodes: { type: 'string', default: '6' },
  restore: { type: 'boolean', default: false },
  program: { type: 'string' },
});
if (values.program === undefined) buildProgram();
const program = values.program ?? PROGRAM;
const first = Number(values.seed);
const failed: number[] = [];
for (let seed = first; seed < first + Number(values.runs); seed += 1) {
  const isPassed = await runSeed(seed, program);
  if (!isPassed) failed.push(seed);
}
console.log(
  failed.length === 0 ? 'all checks passed' : `checks failed with seeds ${failed.join(', ')}`,
);
process.exit(failed.length === 0 ? 0 : 1);
