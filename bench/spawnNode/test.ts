import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { spawnNode } from './index.js';

/** Spawns a node whose program runs until it is killed and writes its process id to a file. */
const SPAWNER = `
import { spawnNode } from './bench/spawnNode/index.js';
const [folder, program] = process.argv.slice(-2);
spawnNode({ index: 0, host: '127.0.0.1', storeAddress: '127.0.0.1:1', seeds: [], folder, program });
process.on('SIGTERM', () => process.exit(1));
setInterval(() => undefined, 1_000);
`;
const PROGRAM = `
require('node:fs').writeFileSync(__filename + '.pid', String(process.pid));
console.error('started');
setInterval(() => undefined, 1_000);
`;

/** Computes an address in a process that has the given process number modulo the number of ranges. */
const COMPUTER = `
Object.defineProperty(process, 'pid', { value: 128 * Number(process.argv.at(-1)) + 5 });
const { computeLoopbackAddress } = await import('./bench/spawnNode/index.js');
console.log(await computeLoopbackAddress(0));
setInterval(() => undefined, 1_000);
`;

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
}

test('kills a node when the process that spawned it exits', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-spawn-'));
  const program = join(folder, 'program.cjs');
  writeFileSync(program, PROGRAM);
  const command = ['--import', 'tsx', '--input-type=module', '-e', SPAWNER, folder, program];
  const spawner = spawn(process.execPath, command, { stdio: ['ignore', 'ignore', 'pipe'] });
  const ended = new Promise((resolve) => spawner.once('exit', resolve));
  await new Promise<void>((resolve) => {
    spawner.stderr.on('data', (text: Buffer) => {
      if (text.toString().includes('started')) resolve();
    });
  });
  const processId = Number(readFileSync(`${program}.pid`, 'utf8'));
  assert.ok(isRunning(processId));
  spawner.kill('SIGTERM');
  await ended;
  for (let check = 0; check < 200 && isRunning(processId); check += 1) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const isLeft = isRunning(processId);
  if (isLeft) process.kill(processId, 'SIGKILL');
  rmSync(folder, { recursive: true });
  assert.ok(!isLeft);
});

test('gives two processes whose numbers name the same range different loopback addresses', async () => {
  const command = ['--import', 'tsx', '--input-type=module', '-e', COMPUTER];
  const computers = [1, 2].map((index) =>
    spawn(process.execPath, [...command, String(index)], { stdio: ['ignore', 'pipe', 'inherit'] }),
  );
  const readLine = (computer: (typeof computers)[number]): Promise<string> =>
    new Promise((resolve) => {
      computer.stdout.once('data', (text: Buffer) => {
        resolve(text.toString().trim());
      });
    });
  const [first, second] = await Promise.all(computers.map(readLine));
  for (const computer of computers) computer.kill('SIGKILL');
  assert.match(first ?? '', /^127\.\d+\.20\.1$/);
  assert.match(second ?? '', /^127\.\d+\.20\.1$/);
  assert.notEqual(first, second);
});

test('reads no memory of a process that was killed and whose exit was not collected', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-spawn-'));
  const program = join(folder, 'program.cjs');
  writeFileSync(program, 'setInterval(() => undefined, 1_000);');
  const addresses = { host: '127.0.0.1', storeAddress: '127.0.0.1:1', seeds: [] };
  const node = spawnNode({ index: 0, folder, program, ...addresses });
  assert.ok((node.readMemoryMegabytes() ?? 0) > 0);
  node.kill('SIGKILL');
  // Blocks the event loop, so that the exit is not collected.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 300);
  assert.equal(node.readMemoryMegabytes(), undefined);
  await node.exited;
  rmSync(folder, { recursive: true });
});
