import assert from 'node:assert/strict';
import test from 'node:test';
import type { EngineReport } from '../../types/endpoint/index.js';
import type { Vm } from '../../types/platform/index.js';
import { createFleet } from './index.js';

const VM: Vm = {
  name: 'vm-1',
  address: '127.0.0.1:1',
  availabilityZone: 'a',
  state: 'live',
  tags: { kind: 'engine', name: 'engine-1' },
};

const REPORT: EngineReport = {
  incarnation: '1',
  model: 'm',
  version: '1',
  adapters: [],
  from: 0,
  to: 8,
  active: 3,
  layersPerSecond: 10,
  leaving: false,
  loading: false,
  checksFencing: true,
  fencing: 0,
};

function createOne(vm: Vm = VM) {
  const fleet = createFleet();
  fleet.updateVms([vm]);
  const [endpoint] = fleet.list();
  assert.ok(endpoint);
  return { fleet, endpoint };
}

test('excludes a failed engine until a report was read and its backoff has ended', () => {
  const { fleet, endpoint } = createOne();
  fleet.updateHealth('engine-1', 'failure', 0);
  assert.ok(!fleet.isUsable(endpoint, 100));
  assert.ok(!fleet.isUsable(endpoint, 60_000));
  fleet.markReachable('engine-1');
  assert.ok(!fleet.isUsable(endpoint, 100));
  assert.ok(fleet.isUsable(endpoint, 600));
});

test('excludes an endpoint that is leaving by the VM list, by a label or by its report', () => {
  const byList = createOne({ ...VM, state: 'leaving' });
  assert.ok(!byList.fleet.isUsable(byList.endpoint, 0));
  const byLabel = createOne();
  byLabel.fleet.applyLabels(new Map([['engine/engine-1', { state: 'leaving' }]]));
  assert.ok(!byLabel.fleet.isUsable(byLabel.endpoint, 0));
  byLabel.fleet.applyLabels(new Map());
  assert.ok(byLabel.fleet.isUsable(byLabel.endpoint, 0));
  const byReport = createOne();
  byReport.fleet.applyReport('engine-1', { ...REPORT, leaving: true }, 0);
  assert.ok(!byReport.fleet.isUsable(byReport.endpoint, 0));
});

test('increases the epoch when the layers of an engine change, but not with its load', () => {
  const { fleet } = createOne();
  fleet.applyReport('engine-1', REPORT, 0);
  const epoch = fleet.epoch();
  fleet.applyReport('engine-1', { ...REPORT, active: 9 }, 1_000);
  assert.equal(fleet.epoch(), epoch);
  fleet.applyReport('engine-1', { ...REPORT, to: 4 }, 2_000);
  assert.ok(fleet.epoch() > epoch);
});
