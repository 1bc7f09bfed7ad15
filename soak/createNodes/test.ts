/**
 * Programs in place of a node's guard against exits that the run does not record as ones that nothing asked for: the
 * process of a node that fails is started again by a later fault, and all other observations may be sound.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { sleep } from '../../bench/sleep/index.js';
import { createRecord } from '../createRecord/index.js';
import type { SoakRecord } from '../types/index.js';
import { createNodes, type SoakNode } from './index.js';

const EXIT_CODE = 7;
const STOP_MILLISECONDS = 5_000;
const EXIT_MILLISECONDS = 10_000;
const CHECK_MILLISECONDS = 20;
const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-nodes-'));

/** Writes a program that reports that it is ready, and then does something else. */
function writeProgram(name: string, thenDo: string): string {
  const program = join(folder, `${name}.cjs`);
  writeFileSync(
    program,
    `const { readiness } = require(process.env.MARJORAMCLEAT_BOOT).listen;
    const [host, port] = readiness.split(':');
    const server = require('node:http').createServer((_, response) => {
      response.on('finish', () => setTimeout(() => { ${thenDo} }, 50));
      response.end();
    });
    server.listen(Number(port), host);`,
  );
  return program;
}

async function startNode(program: string): Promise<{ node: SoakNode; record: SoakRecord }> {
  const record = createRecord();
  const [node] = await createNodes({
    count: 1,
    storeAddress: '127.0.0.1:1',
    program,
    folder,
    record,
    now: () => performance.now(),
    stopMilliseconds: STOP_MILLISECONDS,
  });
  assert.ok(node);
  await node.start();
  return { node, record };
}

async function waitForExit(node: SoakNode): Promise<void> {
  const until = performance.now() + EXIT_MILLISECONDS;
  while (node.isRunning() && performance.now() < until) await sleep(CHECK_MILLISECONDS);
  assert.equal(node.isRunning(), false);
}

after(() => {
  rmSync(folder, { recursive: true });
});

test('records an exit that nothing asked for, of each start', async () => {
  const { node, record } = await startNode(writeProgram('ending', `process.exit(${EXIT_CODE})`));
  await waitForExit(node);
  await node.start();
  await waitForExit(node);
  const deaths = record.deaths.map(({ node: name, birth, code }) => ({ name, birth, code }));
  assert.deepEqual(deaths, [
    { name: 'node-0', birth: 1, code: EXIT_CODE },
    { name: 'node-0', birth: 2, code: EXIT_CODE },
  ]);
  await node.close();
});

test('records no such exit of a node that is stopped, killed or closed', async () => {
  const { node, record } = await startNode(writeProgram('lasting', ''));
  await node.stop();
  await node.start();
  await node.kill();
  await node.start();
  await node.close();
  assert.deepEqual(record.deaths, []);
  assert.equal(record.ends.length, 3);
});
