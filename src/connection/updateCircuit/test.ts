import assert from 'node:assert/strict';
import test from 'node:test';
import { admitsCall, CLOSED_CIRCUIT, updateCircuit } from './index.js';

test('opens after a failure, admits one probe and closes after a success', () => {
  const open = updateCircuit(CLOSED_CIRCUIT, 'failure', 0);
  assert.ok(!admitsCall(open, 499));
  assert.ok(admitsCall(open, 500));
  const probing = updateCircuit(open, 'probe', 500);
  assert.ok(!admitsCall(probing, 501));
  assert.ok(admitsCall(updateCircuit(probing, 'success', 600), 600));
});

test('doubles the backoff up to its maximum, and admits a probe after one without a result', () => {
  let circuit = CLOSED_CIRCUIT;
  for (let count = 0; count < 12; count += 1) circuit = updateCircuit(circuit, 'failure', 0);
  assert.equal(circuit.retryAt, 30_000);
  assert.ok(admitsCall(updateCircuit(circuit, 'probe', 0), 2_000));
});
