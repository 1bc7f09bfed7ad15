/**
 * Error messages and exit codes of the command line. Guards against errors that do not name their
 * cause or the next step, and against wrong exit codes.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { RESULT_CODES } from '../src/process/resultCodes/index.js';

function runCommand(...parameters: string[]) {
  return spawnSync(process.execPath, ['--import', 'tsx', 'src/main.ts', ...parameters], {
    encoding: 'utf8',
    timeout: 20_000,
  });
}

test('check reports all errors of a settings file at once, each with its path', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'node.json');
  writeFileSync(file, JSON.stringify({ node: { name: 'n' }, callerz: {} }));
  const { stderr, status } = runCommand('check', '--settings', file);
  rmSync(folder, { recursive: true });
  assert.match(stderr, /error 1601 invalid-settings/);
  assert.match(stderr, /node\.vm/);
  assert.match(stderr, /callerz/);
  assert.equal(status, 4);
  assert.equal(runCommand('check', '--settings', 'examples/fit-desk/node-1.json').status, 0);
});

test('the error of an address in use names the listener, the address and the next step', async () => {
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
  const { stderr, status } = runCommand('serve', '--settings', file);
  rmSync(folder, { recursive: true });
  server.close();
  assert.match(
    stderr,
    /error 1602 address-in-use: callers cannot listen on 127\.0\.0\.1:\d+: stop/,
  );
  assert.equal(status, 4);
});

test('errors of an unreachable node, an invalid label and an unknown target name the next step', () => {
  const { stderr, status } = runCommand('status', '--node', '127.0.0.1:1');
  assert.match(stderr, /error 1603 node-unreachable: no answer from 127\.0\.0\.1:1.*--node/);
  assert.equal(status, 4);
  assert.match(runCommand('label', 'account').stderr, /'account' is not KIND\/NAME/);
  assert.match(runCommand('label', 'account/a', 'class').stderr, /neither KEY=VALUE nor KEY-/);
  assert.match(
    runCommand('get', 'nothing').stderr,
    /One of objects, selectors, endpoints, bookings/,
  );
});

test('every subcommand has help with an example', () => {
  const { stdout } = runCommand('--help');
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
  assert.match(runCommand('label', '--help').stdout, /Examples: label account/);
});

test('the documented table of result codes matches the code', () => {
  const page = readFileSync('docs/RESULT-CODES.md', 'utf8').replaceAll(/ +/g, ' ');
  for (const { code, name, httpStatus, outcome, meaning } of Object.values(RESULT_CODES)) {
    const row = `| ${code.toString()} | ${name} | ${httpStatus.toString()} | ${outcome} | ${meaning} |`;
    assert.ok(page.includes(row), row);
  }
  const rows = page.split('\n').filter((line) => /^\| \d{4} /.test(line));
  assert.equal(rows.length, Object.keys(RESULT_CODES).length);
});

test('explain lists the log events of a request, and reports when no line names it', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-'));
  const file = join(folder, 'node-1.log');
  const line = { timestamp: '2026-01-01T00:00:00.000Z', node: 'node-1', message: 'request-failed' };
  writeFileSync(file, `${JSON.stringify({ ...line, request: 'a', reason: 'silence' })}\n`);
  const explained = runCommand('explain', '--request', 'a', file);
  assert.match(explained.stdout, /node-1 +request-failed +request=a reason=silence/);
  const none = runCommand('explain', '--request', 'b', file);
  assert.match(none.stderr, /error 1404 not-found: no line names request b/);
  assert.equal(none.status, 2);
  rmSync(folder, { recursive: true });
});

test('a script with an unknown option prints its options, without a stack trace', () => {
  for (const script of ['demo', 'experiment', 'checkPlatform', 'standins', 'load']) {
    const options = { encoding: 'utf8' } as const;
    const file = `scripts/${script}.ts`;
    const wrong = spawnSync(process.execPath, ['--import', 'tsx', file, '--nonsense'], options);
    assert.equal(wrong.status, 2, script);
    assert.match(wrong.stderr, /'--nonsense'.*\noptions of [a-zA-Z]+: --/s);
    assert.doesNotMatch(wrong.stderr, /^ +at /m);
  }
});

test('a command ends without an error message when the reader closes the pipe early', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-'));
  const file = join(folder, 'node-1.log');
  const line = { timestamp: '2026-01-01T00:00:00.000Z', node: 'node-1', message: 'run-broken' };
  // Exceeds the pipe's buffer, so that the command still writes when its reader has exited.
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
