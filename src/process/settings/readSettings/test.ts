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

function listFaults(value: unknown): string {
  const result = checkSettings(value);
  return result.isErr
    ? result.error.map(({ path, message }) => `${path}: ${message}`).join('\n')
    : '';
}

test('every fault is reported at once with its path, a misspelt setting by name', () => {
  const faults = listFaults({
    ...VALID,
    callers: { prot: 1 },
    platform: { address: 'nowhere' },
  });
  assert.match(faults, /callers\.port/);
  assert.match(faults, /"prot"/);
  assert.match(faults, /platform\.address: expected HOST:PORT/);
});

test('plaintext beyond loopback has to be asked for in so many words', () => {
  const wide = { ...VALID, callers: { port: 1, host: '0.0.0.0' } };
  assert.match(listFaults(wide), /callers\.host: .*callers\.allowPlaintextBeyondLoopback/);
  const allowed = { ...wide, callers: { ...wide.callers, allowPlaintextBeyondLoopback: true } };
  assert.equal(listFaults(allowed), '');
});

test('the example settings are valid', () => {
  for (const site of ['fit-desk', 'strathbrae']) {
    for (const number of [1, 2, 3, 4, 5, 6]) {
      assert.ok(readSettings(`examples/${site}/node-${number.toString()}.json`).isOk);
    }
  }
});
