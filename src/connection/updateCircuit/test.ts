import assert from 'node:assert/strict';
import test from 'node:test';
import { admitsCall, CLOSED_CIRCUIT, updateCircuit } from './index.js';

test('a failure opens the circuit, one probe is let through, a success closes it', () => {
  const open = updateCircuit(CLOSED_CIRCUIT, 'failure', 0);
  assert.ok(!admitsCall(open, 499));
  assert.ok(admitsCall(open, 500));
  const probing = updateCircuit(open, 'probe', 500);
  assert.ok(!admitsCall(probing, 501));
  assert.ok(admitsCall(updateCircuit(probing, 'success', 600), 600));
});

test('the backoff doubles up to its bound, and a lost probe does not block for ever', () => {
  let circuit = CLOSED_CIRCUIT;
  for (let count = 0; count < 12; count += 1) circuit = updateCircuit(circuit, 'failure', 0);
  assert.equal(circuit.retryAt, 30_000);
  assert.ok(admitsCall(updateCircuit(circuit, 'probe', 0), 2_000));
});
