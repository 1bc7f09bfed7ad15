import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpointRecord } from '../../../tests/support/site/index.js';
import { createEndpointTable } from './index.js';

test('discards the earlier state of an endpoint that restarted under the same identifier', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord({ layers: { from: 0, to: 8 } }), 0);
  const before = table.find('i-1');
  assert.ok(before);
  before.localRequests = 3;
  before.acceptedOrders = 2;
  table.update('i-1', createEndpointRecord({ startedAt: 2 }), 10);
  const after = table.find('i-1');
  assert.ok(after);
  assert.equal(after.layers, undefined);
  assert.equal(after.localRequests, 0);
  assert.equal(after.acceptedOrders, undefined);
});

test('does not replace the layers of a newer report by those of the registry', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord(), 0);
  const endpoint = table.find('i-1');
  assert.ok(endpoint);
  endpoint.layers = { from: 8, to: 16 };
  endpoint.layersReportedAt = 100;
  table.update('i-1', createEndpointRecord({ layers: { from: 0, to: 8 } }), 600);
  assert.deepEqual(endpoint.layers, { from: 8, to: 16 });
  table.update('i-1', createEndpointRecord({ layers: { from: 0, to: 8 } }), 10_000);
  assert.deepEqual(endpoint.layers, { from: 0, to: 8 });
});

test('excludes draining, lost and failing endpoints from new requests', () => {
  const table = createEndpointTable();
  for (const id of ['leaving', 'lost', 'failing', 'healthy']) {
    table.update(id, createEndpointRecord({ id, isDraining: id === 'leaving' }), 0);
  }
  const lost = table.find('lost');
  const failing = table.find('failing');
  assert.ok(lost && failing);
  assert.equal(table.markLost(lost, 0, 1_000), true);
  assert.equal(table.markLost(lost, 10, 1_000), false);
  for (let failure = 0; failure < 3; failure += 1) table.recordFailure(failing, 0);
  const listIds = (now: number): string[] =>
    table.listUsable('booking', now).map(({ record }) => record.id);
  assert.deepEqual(listIds(20), ['healthy']);
  assert.deepEqual(listIds(5_000), ['lost', 'failing', 'healthy']);
});

test('does not list a removed endpoint whose address another service uses now', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord({ address: '10.0.0.1:80' }), 0);
  table.update('i-1', undefined, 10);
  table.update(
    'i-2',
    createEndpointRecord({ id: 'i-2', service: 'other', address: '10.0.0.1:80' }),
    20,
  );
  assert.deepEqual(table.listUsable('booking', 30), []);
});

test('ignores a registry entry that is older than a reported restart', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord({ layers: { from: 0, to: 8 } }), 0);
  const endpoint = table.find('i-1');
  assert.ok(endpoint);
  // The report of the endpoint announced its restart.
  endpoint.record = { ...endpoint.record, startedAt: 5 };
  endpoint.layers = undefined;
  table.update('i-1', createEndpointRecord({ layers: { from: 0, to: 8 } }), 60_000);
  assert.equal(table.find('i-1')?.layers, undefined);
});

/** Guards against an older copy of the registry that undoes an acknowledged drain. */
test('an endpoint that was draining does not become ready again before it restarts', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord({ startedAt: 5 }), 0);
  table.update('i-1', createEndpointRecord({ startedAt: 5, isDraining: true }), 10);
  assert.equal(table.isOutdated('i-1', createEndpointRecord({ startedAt: 5 })), true);
  table.update('i-1', createEndpointRecord({ startedAt: 5 }), 20);
  assert.deepEqual(table.listUsable('booking', 30), []);
  table.update('i-1', createEndpointRecord({ startedAt: 6 }), 40);
  assert.equal(table.listUsable('booking', 50).length, 1);
});

test('an endpoint that drained is ready after a restart that its report announced first', () => {
  const table = createEndpointTable();
  table.update('i-1', createEndpointRecord({ startedAt: 5, isDraining: true }), 0);
  const endpoint = table.find('i-1');
  assert.ok(endpoint);
  table.recordRestart(endpoint, 6);
  table.update('i-1', createEndpointRecord({ startedAt: 6 }), 10);
  assert.equal(table.listUsable('booking', 20).length, 1);
});

/** Guards against an older copy of the registry with an earlier start under the same identifier. */
test('an earlier start at another address does not replace a later one', () => {
  const table = createEndpointTable();
  const earlier = createEndpointRecord({ startedAt: 5, address: '10.0.0.1:80' });
  table.update('i-1', earlier, 0);
  table.update('i-1', createEndpointRecord({ startedAt: 9, address: '10.0.0.2:80' }), 10);
  assert.equal(table.update('i-1', earlier, 20), false);
  assert.equal(table.find('i-1')?.record.address, '10.0.0.2:80');
});
