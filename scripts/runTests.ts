/**
 * Runs every test file with Node's test runner.
 */
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

const FOLDERS = ['src', 'platform', 'standins', 'bench', 'emulator', 'soak', 'tests'];

function listTests(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listTests(path);
    return entry.name === 'test.ts' || entry.name.endsWith('.test.ts') ? [path] : [];
  });
}

const files = process.argv.length > 2 ? process.argv.slice(2) : FOLDERS.flatMap(listTests);
const { status } = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', '--test-concurrency=4', ...files],
  { stdio: 'inherit' },
);
process.exit(status ?? 1);
