import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { readSiteSettings } from '../startSite/index.js';
import { explainPortFailure } from './index.js';

const FILE = 'examples/fit-desk/standins.json';

test('names the setting that defines a port in use', () => {
  const settings = readSiteSettings(FILE);
  const explain = (port: number): string | undefined =>
    explainPortFailure({ code: 'EADDRINUSE', port }, settings, FILE);
  assert.match(explain(settings.platform.port) ?? '', /change platform\.port in examples/);
  const [engines] = settings.engines;
  assert.ok(engines);
  assert.match(explain(engines.firstPort + 1) ?? '', /engines\[0\]\.firstPort/);
  assert.equal(explainPortFailure(new Error('other'), settings, FILE), undefined);
});

test('the stand-ins command reports a port in use without a stack trace', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const folder = mkdtempSync(join(tmpdir(), 'standins-'));
  const file = join(folder, 'standins.json');
  // No other ports are configured, so that other listeners on the machine cannot cause a failure.
  const settings = { ...readSiteSettings(FILE), engines: [], services: [] };
  writeFileSync(file, JSON.stringify({ ...settings, platform: { ...settings.platform, port } }));
  const { stderr, status } = spawnSync(
    process.execPath,
    ['--import', 'tsx', 'scripts/standins.ts', '--settings', file],
    { encoding: 'utf8', timeout: 60_000 },
  );
  server.close();
  rmSync(folder, { recursive: true });
  assert.equal(status, 1);
  assert.match(stderr, new RegExp(`^port ${port} is in use: .* platform\\.port in`));
  assert.ok(!stderr.includes('    at '), stderr);
});
