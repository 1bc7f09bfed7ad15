import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createZoneLinkMonitor } from './index.js';

test('counts each local transfer once for every node that uses the link, one after the other', () => {
  const monitor = createZoneLinkMonitor({ countSendingNodes: () => 3 });
  monitor.recordTransfer('a', 'b', 14, 1_000);
  monitor.recordTransfer('b', 'a', 14, 1_000);
  assert.equal(monitor.estimateWait('a', 'b', 1_000), 84);
  assert.equal(monitor.estimateWait('a', 'c', 1_000), 0);
});

test('estimates no wait once the transfers on a link have finished', () => {
  const monitor = createZoneLinkMonitor({ countSendingNodes: () => 1 });
  monitor.recordTransfer('a', 'b', 14, 1_000);
  assert.equal(monitor.estimateWait('a', 'b', 1_010), 4);
  assert.equal(monitor.estimateWait('a', 'b', 1_100), 0);
  monitor.recordTransfer('a', 'b', 14, 2_000);
  assert.equal(monitor.estimateWait('a', 'b', 2_000), 14);
});
