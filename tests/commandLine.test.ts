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
    'explain',
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

test('explain tells what befell a request, and says when no line names it', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-'));
  const file = join(folder, 'node-1.log');
  const line = { timestamp: '2026-01-01T00:00:00.000Z', node: 'node-1', message: 'request-failed' };
  writeFileSync(file, `${JSON.stringify({ ...line, request: 'a', reason: 'silence' })}\n`);
  const told = run('explain', '--request', 'a', file);
  assert.match(told.stdout, /node-1 +request-failed +request=a reason=silence/);
  const none = run('explain', '--request', 'b', file);
  assert.match(none.stderr, /error 1404 not-found: no line names request b/);
  assert.equal(none.status, 2);
  rmSync(folder, { recursive: true });
});

test('a script that is called wrongly names its options, without a trace', () => {
  for (const script of ['demo', 'experiment', 'checkPlatform', 'standins', 'load']) {
    const options = { encoding: 'utf8' } as const;
    const file = `scripts/${script}.ts`;
    const wrong = spawnSync(process.execPath, ['--import', 'tsx', file, '--nonsense'], options);
    assert.equal(wrong.status, 2, script);
    assert.match(wrong.stderr, /'--nonsense'.*\noptions of [a-zA-Z]+: --/s);
    assert.doesNotMatch(wrong.stderr, /^ +at /m);
  }
});

test('a reader that closes the pipe early ends a command quietly', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-'));
  const file = join(folder, 'node-1.log');
  const line = { timestamp: '2026-01-01T00:00:00.000Z', node: 'node-1', message: 'run-broken' };
  // More than a pipe holds, so that the command still writes when its reader has gone.
  const text = `${JSON.stringify({ ...line, request: 'a', reason: 'x'.repeat(200) })}\n`;
  writeFileSync(file, text.repeat(5_000));
  const command = `"${process.execPath}" --import tsx src/main.ts explain --request a "${file}"`;
  const { stderr, stdout } = spawnSync('sh', ['-c', `${command} | head -n 1`], {
    encoding: 'utf8',
  });
  rmSync(folder, { recursive: true });
  assert.match(stdout, /timestamp/);
  assert.equal(stderr, '');
});
