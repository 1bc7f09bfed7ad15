import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createEndpointTable,
  type EndpointTable,
} from '../../../connection/createEndpointTable/index.js';
import {
  createVirtualTime,
  type VirtualTime,
} from '../../../../emulator/createVirtualTime/index.js';
import type { SiteService } from '../../../types/site/index.js';
import { createStartGate, type StartGate } from '../createStartGate/index.js';
import { watchLayerCoverage } from './index.js';

const LAYERS = 4;
const SERVICE = { name: 'assistant', model: { layers: LAYERS, kinds: [] } };

interface GateCase {
  readonly gate: StartGate;
  readonly endpoints: EndpointTable;
  readonly clock: VirtualTime;
}

function watch(): GateCase {
  const clock = createVirtualTime();
  const gate = createStartGate({ clock, maximumWaitMilliseconds: 60_000 });
  const endpoints = createEndpointTable();
  const listServices = (): SiteService[] => [SERVICE as unknown as SiteService];
  void gate.wait(60_000);
  watchLayerCoverage({ gate, clock, endpoints, listServices });
  return { gate, endpoints, clock };
}

function add({ endpoints }: GateCase, id: string, from: number, to: number): void {
  const record = {
    id,
    service: 'assistant',
    address: `127.0.0.1:${id.length}`,
    availabilityZone: 'zone-1',
    startedAt: 1,
    isDraining: false,
    layers: { from, to },
  };
  endpoints.update(id, record as unknown as Parameters<EndpointTable['update']>[1], 0);
}

test('opens the gate when the last layer is hosted', async () => {
  const watched = watch();
  add(watched, 'a', 0, 2);
  await watched.clock.run(400);
  assert.equal(watched.gate.countWaiting(), 1);
  add(watched, 'bb', 2, 4);
  await watched.clock.run(500);
  assert.equal(watched.gate.countWaiting(), 0);
});

test('opens the gate after a time limit although a layer is missing', async () => {
  const watched = watch();
  add(watched, 'a', 0, 3);
  await watched.clock.run(2_400);
  assert.equal(watched.gate.countWaiting(), 1);
  await watched.clock.run(2_600);
  assert.equal(watched.gate.countWaiting(), 0);
});
