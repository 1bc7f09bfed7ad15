import assert from 'node:assert/strict';
import test from 'node:test';
import { checkSettings, readSettings } from './index.js';

const VALID = {
  node: { name: 'n', vm: 'v', availabilityZone: 'z' },
  callers: { port: 1 },
  operators: { port: 2, key: { file: 'operators.key' } },
  peers: { port: 3, key: { environment: 'PEERS' } },
  platform: { address: '127.0.0.1:4' },
};

function formatErrors(value: unknown): string {
  const result = checkSettings(value);
  return result.isErr
    ? result.error.map(({ path, message }) => `${path}: ${message}`).join('\n')
    : '';
}

test('reports every error at once with its path, and a misspelt setting by name', () => {
  const errors = formatErrors({
    ...VALID,
    callers: { prot: 1 },
    platform: { address: 'nowhere' },
  });
  assert.match(errors, /callers\.port/);
  assert.match(errors, /"prot"/);
  assert.match(errors, /platform\.address: expected HOST:PORT/);
});

test('rejects plaintext beyond loopback unless it is allowed explicitly', () => {
  const withPublicHost = { ...VALID, callers: { port: 1, host: '0.0.0.0' } };
  assert.match(
    formatErrors(withPublicHost),
    /callers\.host: .*callers\.allowPlaintextBeyondLoopback/,
  );
  const allowed = {
    ...withPublicHost,
    callers: { ...withPublicHost.callers, allowPlaintextBeyondLoopback: true },
  };
  assert.equal(formatErrors(allowed), '');
});

test('accepts the example settings', () => {
  for (const site of ['fit-desk', 'strathbrae']) {
    for (const number of [1, 2, 3, 4, 5, 6]) {
      assert.ok(readSettings(`examples/${site}/node-${number.toString()}.json`).isOk);
    }
  }
});

test('limits of caller connections are optional, and an invalid one is reported with its path', () => {
  const key = { environment: 'SETTINGS_TEST_KEY' };
  const settings = (limits: object): object => ({
    node: { name: 'node-1', vm: 'entry-1', availabilityZone: 'abbotsford' },
    callers: { port: 0, limits },
    operators: { port: 0, key },
    peers: { port: 0, key },
    platform: { address: '127.0.0.1:1' },
  });
  assert.ok(checkSettings(settings({ connections: 7 })).isOk);
  for (const limits of [{ connections: 0 }, { connections: 1.5 }, { connections: 'many' }]) {
    const result = checkSettings(settings(limits));
    assert.ok(result.isErr);
    assert.deepEqual(
      result.error.map(({ path }) => path),
      ['callers.limits.connections'],
    );
  }
});
