/**
 * Runs every test file with Node's test runner. Files that load whole processes run one at a time, after all
 * others.
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

/** Ending of test files that load whole processes; other load would change the memory that they measure. */
const PROCESS_TEST_ENDING = '.process.test.ts';
const CONCURRENCY = 4;

/** Runs files; returns whether all tests passed. */
function runFiles(files: readonly string[], concurrency: number): boolean {
  if (files.length === 0) return true;
  const parameters = ['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...files];
  return spawnSync(process.execPath, parameters, { stdio: 'inherit' }).status === 0;
}

const files = process.argv.length > 2 ? process.argv.slice(2) : FOLDERS.flatMap(listTests);
const isProcessTest = (file: string): boolean => file.endsWith(PROCESS_TEST_ENDING);
const results = [
  runFiles(
    files.filter((file) => !isProcessTest(file)),
    CONCURRENCY,
  ),
  runFiles(files.filter(isProcessTest), 1),
];
process.exit(results.every(Boolean) ? 0 : 1);
