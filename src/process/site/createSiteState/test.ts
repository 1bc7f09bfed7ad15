import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createEndpointRecord,
  createSiteConfiguration,
} from '../../../../tests/support/site/index.js';
import type { EndpointRecord } from '../../../types/site/index.js';
import { parseJson } from '../../parseJson/index.js';
import { createSiteState } from './index.js';

const SERVICE = 'booking';
/** Longest time for which the entry of a removed endpoint may be held back, in milliseconds. */
const HOLD_LIMIT_MILLISECONDS = 8_000;

function createCase() {
  const clock = { time: 0 };
  const events: string[] = [];
  const state = createSiteState({
    decoders: {
      decodeConfiguration: (value) => createSiteConfiguration({ version: Number(value) }),
      decodeEndpoint: (id, value) =>
        value === undefined
          ? undefined
          : createEndpointRecord({ id, ...(value as Partial<EndpointRecord>) }),
    },
    logger: {
      log: (event) => events.push(event),
      logRequestEvents: () => undefined,
      countDroppedLines: () => 0,
    },
    now: () => clock.time,
    parse: parseJson,
    onConfiguration: () => undefined,
  });
  const listUsable = (): string[] =>
    state.endpoints.listUsable(SERVICE, clock.time).map(({ record }) => record.id);
  /** Lets time pass as a node's loop does. */
  const wait = (milliseconds: number): void => {
    const until = clock.time + milliseconds;
    while (clock.time < until) {
      clock.time += 300;
      state.applyHeldEntries();
    }
  };
  return { clock, events, state, listUsable, wait };
}

function entry(startedAt: number, changes: Partial<EndpointRecord> = {}): string {
  return JSON.stringify({ startedAt, ...changes });
}

test('a lower version does not replace a configuration, whatever its source', () => {
  const { state } = createCase();
  state.applyConfiguration('7', 'store');
  for (const source of ['restored', 'store', 'peer'] as const)
    assert.equal(state.applyConfiguration('5', source), false);
  assert.equal(state.getVersion(), 7);
  assert.equal(state.getConfigurationText(), '7');
});

/** Guards against requests to an endpoint that left before the store was restored. */
test('an endpoint that was removed before a restoration is not used when the older copy has it', () => {
  const { state, events, listUsable, wait } = createCase();
  state.applyEndpoint('i-1', entry(5), 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  state.applyEndpoint('i-1', entry(5), 'restored');
  wait(3_600);
  assert.deepEqual(listUsable(), []);
  assert.deepEqual(state.listRegistryEntries(), []);
  assert.ok(events.includes('endpoint-entry-held'));
  // Its entry lapses.
  state.applyEndpoint('i-1', undefined, 'store');
  wait(HOLD_LIMIT_MILLISECONDS);
  assert.deepEqual(listUsable(), []);
});

test('an endpoint that an older copy brought back is used once it is written again', () => {
  const { state, listUsable } = createCase();
  state.applyEndpoint('i-1', entry(5), 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  state.applyEndpoint('i-1', entry(5), 'restored');
  state.applyEndpoint('i-1', entry(5), 'store');
  assert.deepEqual(listUsable(), ['i-1']);
});

test('an endpoint that an older copy brought back is used when its entry does not lapse', () => {
  const { state, listUsable, wait } = createCase();
  state.applyEndpoint('i-1', entry(5), 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  state.applyEndpoint('i-1', entry(5), 'restored');
  wait(HOLD_LIMIT_MILLISECONDS);
  assert.deepEqual(listUsable(), ['i-1']);
});

test('an endpoint that restarted after its removal is used at once', () => {
  const { state, listUsable } = createCase();
  state.applyEndpoint('i-1', entry(5), 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  state.applyEndpoint('i-1', entry(6), 'restored');
  assert.deepEqual(listUsable(), ['i-1']);
});

test('an older copy does not end a drain, and peers get the entry that says so', () => {
  const { state, events, listUsable } = createCase();
  const draining = entry(5, { isDraining: true });
  state.applyEndpoint('i-1', entry(5), 'store');
  state.applyEndpoint('i-1', draining, 'store');
  state.applyEndpoint('i-1', entry(5), 'restored');
  assert.deepEqual(listUsable(), []);
  assert.deepEqual(state.listRegistryEntries(), [['i-1', draining]]);
  assert.equal(events.at(-1), 'endpoint-entry-outdated');
});

test('an older copy does not replace a later start by an earlier one', () => {
  const { state } = createCase();
  const later = entry(9, { address: '10.0.0.2:80' });
  state.applyEndpoint('i-1', later, 'store');
  state.applyEndpoint('i-1', entry(5), 'restored');
  assert.equal(state.endpoints.find('i-1')?.record.address, '10.0.0.2:80');
  assert.deepEqual(state.listRegistryEntries(), [['i-1', later]]);
});

test('an endpoint that left is not used again when a peer or the end of the wait brings its entry back', () => {
  const { state, listUsable, wait } = createCase();
  state.applyEndpoint('i-1', entry(10), 'store');
  state.applyEndpoint('i-1', entry(10, { isDraining: true }), 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  state.applyEndpoint('i-1', entry(10), 'peer');
  assert.deepEqual(listUsable(), []);
  state.applyEndpoint('i-1', entry(10), 'restored');
  wait(HOLD_LIMIT_MILLISECONDS);
  assert.deepEqual(listUsable(), []);
  state.applyEndpoint('i-1', entry(11), 'peer');
  assert.deepEqual(listUsable(), ['i-1']);
});

/** Guards against an entry of another writer that takes a sound endpoint out of use. */
test('an unreadable entry under the key of an endpoint does not replace its own', () => {
  const { events, state, listUsable, wait } = createCase();
  state.applyEndpoint('i-1', entry(100), 'store');
  for (let round = 0; round < 10; round += 1) {
    state.applyEndpoint('i-1', `no entry ${round}`, 'store');
    assert.deepEqual(listUsable(), ['i-1']);
    wait(900);
    state.applyEndpoint('i-1', entry(100), 'store');
  }
  assert.deepEqual(listUsable(), ['i-1']);
  assert.deepEqual(state.listRegistryEntries(), [['i-1', entry(100)]]);
  assert.equal(events.filter((event) => event === 'endpoint-ready').length, 1);
  wait(HOLD_LIMIT_MILLISECONDS);
  assert.deepEqual(listUsable(), ['i-1']);
});

/** Guards against requests to an endpoint that has ended while another writer keeps its key. */
test('an endpoint that does not write again after an unreadable entry counts as removed', () => {
  const { state, listUsable, wait } = createCase();
  state.applyEndpoint('i-1', entry(100, { isDraining: true }), 'store');
  state.applyEndpoint('i-1', 'no entry', 'store');
  assert.equal(state.endpoints.find('i-1')?.record.isDraining, true);
  state.applyEndpoint('i-1', 'no entry either', 'store');
  wait(HOLD_LIMIT_MILLISECONDS);
  assert.equal(state.endpoints.find('i-1'), undefined);
  state.applyEndpoint('i-1', entry(200), 'store');
  assert.deepEqual(listUsable(), ['i-1']);
});

test('the removal of an unreadable entry removes the endpoint of its key', () => {
  const { state } = createCase();
  state.applyEndpoint('i-1', entry(100), 'store');
  state.applyEndpoint('i-1', 'no entry', 'store');
  state.applyEndpoint('i-1', undefined, 'store');
  assert.deepEqual(state.endpoints.list(), []);
  assert.deepEqual(state.listRegistryEntries(), []);
});

/** Guards against late responses of a node that parses what another writer left among the entries. */
test('an entry far longer than that of any endpoint is unreadable without being parsed', () => {
  const { events, state } = createCase();
  state.applyEndpoint('i-1', entry(100, { kind: 'x'.repeat(20_000) }), 'store');
  state.applyEndpoint('i-2', entry(100, { kind: 'x'.repeat(2_000) }), 'store');
  assert.deepEqual(
    state.endpoints.list().map(({ record }) => record.id),
    ['i-2'],
  );
  assert.deepEqual(events, ['endpoint-unreadable', 'endpoint-ready']);
});
