/**
 * The command line: what a user is told when something is wrong, and the exit codes.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { RESULT_CODES } from '../src/process/resultCodes/index.js';

function run(...parameters: string[]) {
  return spawnSync(process.execPath, ['--import', 'tsx', 'src/main.ts', ...parameters], {
    encoding: 'utf8',
    timeout: 20_000,
  });
}

test('check reports every fault at once with its path', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'node.json');
  writeFileSync(file, JSON.stringify({ node: { name: 'n' }, callerz: {} }));
  const { stderr, status } = run('check', '--settings', file);
  rmSync(folder, { recursive: true });
  assert.match(stderr, /error 1601 invalid-settings/);
  assert.match(stderr, /node\.vm/);
  assert.match(stderr, /callerz/);
  assert.equal(status, 4);
  assert.equal(run('check', '--settings', 'examples/fit-desk/node-1.json').status, 0);
});

test('an address in use says which, where and what to do', async () => {
  const server = createServer();
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const { port } = server.address() as AddressInfo;
  const settings = JSON.parse(readFileSync('examples/fit-desk/node-1.json', 'utf8')) as {
    callers: { port: number };
  };
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'node.json');
  const key = { environment: 'EXAMPLE_KEY' };
  const changed = {
    ...settings,
    callers: { port },
    operators: { port: 0, key },
    peers: { port: 0, key },
  };
  writeFileSync(file, JSON.stringify(changed));
  process.env.EXAMPLE_KEY = 'a-key-of-sixteen-characters';
  const { stderr, status } = run('serve', '--settings', file);
  rmSync(folder, { recursive: true });
  server.close();
  assert.match(
    stderr,
    /error 1602 address-in-use: callers cannot listen on 127\.0\.0\.1:\d+: stop/,
  );
  assert.equal(status, 4);
});

test('a node that does not answer, an unknown label and a wrong target each say what to do', () => {
  const { stderr, status } = run('status', '--node', '127.0.0.1:1');
  assert.match(stderr, /error 1603 node-unreachable: no answer from 127\.0\.0\.1:1.*--node/);
  assert.equal(status, 4);
  assert.match(run('label', 'account').stderr, /'account' is not KIND\/NAME/);
  assert.match(run('label', 'account/a', 'class').stderr, /neither KEY=VALUE nor KEY-/);
  assert.match(run('get', 'nothing').stderr, /One of objects, selectors, endpoints, bookings/);
});

test('every subcommand has help with an example', () => {
  const { stdout } = run('--help');
  for (const name of [
    'serve',
    'check',
    'label',
    'selector',
    'get',
    'status',
    'histograms',
    'version',
  ]) {
    assert.ok(stdout.includes(name), name);
  }
  assert.match(run('label', '--help').stdout, /Examples: label account/);
});

test('the table of result codes in the documents is that of the code', () => {
  const page = readFileSync('docs/RESULT-CODES.md', 'utf8').replaceAll(/ +/g, ' ');
  for (const { code, name, httpStatus, outcome, meaning } of Object.values(RESULT_CODES)) {
    const row = `| ${code.toString()} | ${name} | ${httpStatus.toString()} | ${outcome} | ${meaning} |`;
    assert.ok(page.includes(row), row);
  }
  const rows = page.split('\n').filter((line) => /^\| \d{4} /.test(line));
  assert.equal(rows.length, Object.keys(RESULT_CODES).length);
});
