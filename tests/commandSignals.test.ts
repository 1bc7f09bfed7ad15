/**
 * Signals to the `serve` command. Guards against nodes whose requests are cut off because a signal
 * ends the process at once.
 */
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';

const KEY = 'a-key-of-sixteen-characters';
/** Time after which a process that does not end by itself is killed. */
const TIMEOUT_MILLISECONDS = 20_000;

function writeSettings(folder: string): string {
  const path = join(folder, 'node.json');
  const key = { environment: 'SIGNAL_TEST_KEY' };
  const listener = { host: '127.0.0.1', port: 0 };
  const settings = {
    node: { name: 'node-1', vm: 'entry-1', availabilityZone: 'abbotsford' },
    callers: listener,
    operators: { ...listener, key },
    peers: { ...listener, key },
    platform: { address: '127.0.0.1:1' },
    addressExpirySeconds: 1,
    drainLimitSeconds: 5,
  };
  writeFileSync(path, JSON.stringify(settings));
  return path;
}

/** Runs `serve` in a process; `early` runs right after the command was started. */
function serve(folder: string, early: string): ChildProcess {
  const script = `
    import { serveCommand } from './src/commands/serve/index.ts';
    const ended = serveCommand.run({ args: { settings: process.argv[1] } });
    ${early}
    await ended;
  `;
  const parameters = ['--import', 'tsx', '--input-type=module', '--eval', script];
  return spawn(process.execPath, [...parameters, writeSettings(folder)], {
    env: { ...process.env, SIGNAL_TEST_KEY: KEY },
    stdio: ['ignore', 'inherit', 'pipe'],
    timeout: TIMEOUT_MILLISECONDS,
    killSignal: 'SIGKILL',
  });
}

async function runWithSignals(
  early: string,
  onStarted: (child: ChildProcess) => void,
): Promise<{ readonly ended: unknown[]; readonly output: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'command-signals-'));
  const child = serve(folder, early);
  let output = '';
  let isStarted = false;
  child.stderr?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
    if (isStarted || !output.includes('node-started')) return;
    isStarted = true;
    onStarted(child);
  });
  const ended = await once(child, 'exit');
  rmSync(folder, { recursive: true });
  return { ended, output };
}

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
  test(`a ${signal} while serve starts does not end the process at once`, async () => {
    const early = `process.kill(process.pid, '${signal}');`;
    const { ended, output } = await runWithSignals(early, (child) => {
      if (signal === 'SIGHUP') child.kill('SIGTERM');
    });
    assert.deepEqual(ended, [0, null]);
    assert.match(output, /node-exits/);
  });
}

test('SIGHUP does not end serve', async () => {
  const { ended, output } = await runWithSignals('', (child) => {
    child.kill('SIGHUP');
    setTimeout(() => child.kill('SIGTERM'), 500);
  });
  assert.deepEqual(ended, [0, null]);
  assert.match(output, /signal-ignored/);
  assert.match(output, /node-exits/);
});
