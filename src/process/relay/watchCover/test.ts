import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createEndpointTable,
  type EndpointTable,
} from '../../../connection/createEndpointTable/index.js';
import type { SiteService } from '../../../types/site/index.js';
import { createStartGate, type StartGate } from '../createStartGate/index.js';
import { watchCover } from './index.js';

const LAYERS = 4;
const SERVICE = { name: 'assistant', model: { layers: LAYERS, kinds: [] } };

interface Watched {
  readonly gate: StartGate;
  readonly endpoints: EndpointTable;
  readonly pass: (milliseconds: number) => void;
}

function watch(): Watched {
  let time = 0;
  let timers: { readonly dueAt: number; readonly action: () => void }[] = [];
  const clock = {
    now: () => time,
    schedule: (milliseconds: number, action: () => void): (() => void) => {
      const timer = { dueAt: time + milliseconds, action };
      timers.push(timer);
      return () => {
        timers = timers.filter((other) => other !== timer);
      };
    },
  };
  const pass = (milliseconds: number): void => {
    const until = time + milliseconds;
    for (;;) {
      const next = timers.sort((left, right) => left.dueAt - right.dueAt)[0];
      if (!next || next.dueAt > until) break;
      timers.shift();
      time = next.dueAt;
      next.action();
    }
    time = until;
  };
  const gate = createStartGate({ clock, longestMilliseconds: 60_000 });
  const endpoints = createEndpointTable();
  const listServices = (): SiteService[] => [SERVICE as unknown as SiteService];
  void gate.wait(60_000);
  watchCover({ gate, clock, endpoints, listServices });
  return { gate, endpoints, pass };
}

function add({ endpoints }: Watched, id: string, from: number, to: number): void {
  const record = {
    id,
    service: 'assistant',
    address: `127.0.0.1:${id.length}`,
    availabilityZone: 'zone-1',
    bornAt: 1,
    isDraining: false,
    layers: { from, to },
  };
  endpoints.update(id, record as unknown as Parameters<EndpointTable['update']>[1], 0);
}

test('the gate opens when the last layer is held', () => {
  const watched = watch();
  add(watched, 'a', 0, 2);
  watched.pass(400);
  assert.equal(watched.gate.countWaiting(), 1);
  add(watched, 'bb', 2, 4);
  watched.pass(100);
  assert.equal(watched.gate.countWaiting(), 0);
});

test('the gate opens after a time, although a layer is missing', () => {
  const watched = watch();
  add(watched, 'a', 0, 3);
  watched.pass(2_400);
  assert.equal(watched.gate.countWaiting(), 1);
  watched.pass(200);
  assert.equal(watched.gate.countWaiting(), 0);
});
