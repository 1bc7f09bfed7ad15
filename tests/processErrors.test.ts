/**
 * Exceptions that nothing catches. Guards against all open requests of a node ending without an answer because one
 * of them meets an internal error.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { sendCallerRequest, startStore, waitFor } from './support/siteNodes/index.js';
import {
  PROGRAM_HOST,
  PROGRAM_PORTS,
  startProgram,
  writeSettings,
} from './support/siteProcess/index.js';

/** Fails in a callback and in a promise on SIGHUP. */
const STATEMENT = `
  process.once('SIGHUP', () => {
    setImmediate(() => { throw new Error('in a callback'); });
    void Promise.reject(new Error('in a promise'));
  })`;

test('an exception and a rejection that nothing catches do not end the process', async (context) => {
  const store = await startStore();
  const folder = mkdtempSync(join(tmpdir(), 'process-errors-'));
  const child = startProgram(writeSettings(folder, { storeAddress: store.address }), STATEMENT);
  context.after(async () => {
    child.kill('SIGKILL');
    await store.close();
    rmSync(folder, { recursive: true });
  });
  let output = '';
  child.stdout?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const ended = once(child, 'exit');
  await waitFor('the node has started', () => output.includes('"message":"started"'));
  child.kill('SIGHUP');
  for (const origin of ['uncaughtException', 'unhandledRejection']) {
    await waitFor(`${origin} is logged`, () => {
      assert.equal(child.exitCode, null);
      return output.includes(`"origin":"${origin}"`);
    });
  }
  const address = `${PROGRAM_HOST}:${PROGRAM_PORTS.readiness}`;
  const { body } = await sendCallerRequest({ address, path: '/metrics' });
  assert.match(body, /internal_errors{label="uncaughtException"} 1/);
  child.kill('SIGTERM');
  assert.deepEqual(await ended, [0, null]);
});
