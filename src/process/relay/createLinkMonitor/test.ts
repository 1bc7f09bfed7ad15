import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpointRecord, NOOP_LOGGER } from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import { createRandom } from '../../createRandom/index.js';
import { createLinkMonitor } from './index.js';

const ENDPOINTS = 20;

/** Creates a monitor of links to endpoints `i-0`, `i-1`, ...; those in `away` accept no connection. */
function createCase() {
  const endpoints = createEndpointTable();
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const id = `i-${index}`;
    endpoints.update(id, createEndpointRecord({ id, address: id }), 0);
  }
  const away = new Set<string>();
  const changes: boolean[] = [];
  const tried: string[] = [];
  const clock = { time: 10_000 };
  const monitor = createLinkMonitor({
    endpoints,
    endpointPort: {
      isListening: (address) => {
        tried.push(address);
        return Promise.resolve(!away.has(address));
      },
    },
    logger: NOOP_LOGGER,
    now: () => clock.time,
    random: createRandom(1),
    onChange: (isIsolated) => changes.push(isIsolated),
  });
  const settle = async (): Promise<void> => {
    await new Promise((resolve) => setImmediate(resolve));
  };
  const cutAll = (): void => {
    for (const { record } of endpoints.list()) away.add(record.id);
  };
  return { endpoints, monitor, away, changes, tried, clock, settle, cutAll };
}

test('a node that two endpoints do not answer tries some others, and finds that it is cut off', async () => {
  const { monitor, changes, tried, cutAll, settle } = createCase();
  cutAll();
  monitor.record('i-0', false, 10_000);
  await settle();
  assert.deepEqual(tried, []);
  monitor.record('i-1', false, 10_000);
  await settle();
  assert.ok(tried.length > 0 && tried.length <= 6, `${tried.length} tried`);
  assert.deepEqual(changes, [true]);
  assert.ok(monitor.isIsolated());
});

test('a node whose other endpoints answer is not cut off', async () => {
  const { monitor, changes, away, settle } = createCase();
  away.add('i-0').add('i-1');
  monitor.record('i-0', false, 10_000);
  monitor.record('i-1', false, 10_000);
  await settle();
  assert.deepEqual(changes, []);
  assert.ok(!monitor.isSuspect());
});

test('a node that is cut off notices its return in the next round, and holds nothing against endpoints', async () => {
  const { endpoints, monitor, changes, away, clock, cutAll, settle } = createCase();
  cutAll();
  monitor.record('i-0', false, clock.time);
  monitor.record('i-1', false, clock.time);
  await settle();
  for (const endpoint of endpoints.list()) endpoints.markLost(endpoint, clock.time, 3_000);
  away.clear();
  clock.time += 300;
  monitor.step();
  await settle();
  await settle();
  assert.deepEqual(changes, [true, false]);
  assert.equal(endpoints.listUsable('booking', clock.time).length, ENDPOINTS);
});

test('the link to an endpoint that was tried meanwhile is not checked again', async () => {
  const { monitor, tried, clock } = createCase();
  monitor.record('i-0', true, clock.time);
  await monitor.check('i-0', clock.time - 100);
  assert.deepEqual(tried, []);
  await monitor.check('i-1', clock.time - 100);
  assert.deepEqual(tried, ['i-1']);
});
