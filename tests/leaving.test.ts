/**
 * Nodes that leave. Guards against callers that lose a stream, or that find no node, because they
 * still use an address list from before the node left, and against a shutdown that never ends
 * because an engine has stalled.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
  createVirtualEngine,
  createVirtualFleet,
  type VirtualFleet,
} from '../standins/createVirtualFleet/index.js';
import type { VirtualSystem } from '../standins/createVirtualSystem/index.js';
import type { NodeEffect } from '../src/types/node/index.js';
import { generateAnswer } from '../standins/generateToken/index.js';
import {
  CALLER_KEY,
  readOutcome,
  readStreamedText,
  sendBooking,
  sendRequest,
  startSystem,
} from './support/index.js';

const DRAIN_LIMIT_MILLISECONDS = 60_000;
const ADDRESS_EXPIRY_MILLISECONDS = 5_000;

function startSystemWithOneEngine(onEffect?: (node: string, effect: NodeEffect) => void): {
  fleet: VirtualFleet;
  system: VirtualSystem;
} {
  const fleet = createVirtualFleet({
    engines: [createVirtualEngine({ name: 'whole', from: 0, to: 48 })],
    services: 1,
  });
  const drainLimitMilliseconds = DRAIN_LIMIT_MILLISECONDS;
  const options = { nodes: 2, drainLimitMilliseconds, ...(onEffect && { onEffect }) };
  return { fleet, system: startSystem(fleet, options) };
}

function sendCompletion(system: VirtualSystem, request: string, deadline = '30000'): void {
  const body = JSON.stringify({ model: 'm', prompt: request, stream: true });
  const headers = { 'x-deadline-milliseconds': deadline };
  sendRequest(system, 'node-1', request, '/v1/completions', body, headers);
}

function assertCompleteAnswer(system: VirtualSystem, request: string): void {
  const variant = { model: 'm', version: '1', adapter: '', prompt: request };
  const answer = system.responses.get(request);
  assert.equal(readOutcome(answer), 'answered');
  assert.equal(readStreamedText(answer), generateAnswer(variant, 64));
}

test('a leaving node finishes its streams and serves callers until their address lists expire', () => {
  const { system } = startSystemWithOneEngine();
  sendCompletion(system, 'before');
  system.run(100);
  system.dispatch('node-1', { kind: 'leave' });
  system.run(ADDRESS_EXPIRY_MILLISECONDS - 1_000);
  sendCompletion(system, 'with an old answer');
  system.run(20_000);
  assertCompleteAnswer(system, 'before');
  assertCompleteAnswer(system, 'with an old answer');
  assert.equal(system.exits.get('node-1'), 0);
});

test('a node leaves when its VM is labelled as leaving', () => {
  const { system } = startSystemWithOneEngine();
  const labels = { state: 'leaving' };
  const operations = [{ kind: 'setLabels', object: 'vm', name: 'vm-node-1', labels }];
  const change = { id: 'change-id-leave', baseRevision: 1, operations };
  const body = JSON.stringify({ change });
  system.dispatch('node-2', {
    kind: 'operatorRequest',
    request: 'leave',
    method: 'POST',
    path: '/v1/changes',
    body,
  });
  system.run(12_000);
  assert.equal(system.exits.get('node-1'), 0);
  assert.equal(system.exits.get('node-2'), undefined);
});

test('a drain ends at its limit: open requests end as interrupted, and the exit code is 3', () => {
  const { fleet, system } = startSystemWithOneEngine();
  sendCompletion(system, 'stuck', '600000');
  system.run(100);
  const engine = fleet.engines.get('whole');
  if (engine) engine.isStalled = true;
  system.dispatch('node-1', { kind: 'leave' });
  system.dispatch('node-1', { kind: 'leave' });
  system.run(DRAIN_LIMIT_MILLISECONDS - 5_000);
  assert.equal(system.exits.get('node-1'), undefined);
  system.run(10_000);
  assert.match(system.responses.get('stuck')?.body ?? '', /"code":1507.*"outcome":"unknown"/);
  assert.equal(system.exits.get('node-1'), 3);
});

test('requests that arrive after the last check of a leaving node are refused, not cut off', () => {
  const retryDelays = new Map<string, string | undefined>();
  const { fleet, system } = startSystemWithOneEngine((_, effect) => {
    if (effect.kind === 'answer') retryDelays.set(effect.request, effect.headers['retry-after']);
  });
  system.dispatch('node-1', { kind: 'leave' });
  system.run(ADDRESS_EXPIRY_MILLISECONDS + 80);
  assert.equal(system.exits.get('node-1'), undefined);
  sendCompletion(system, 'completion');
  sendBooking(system, 'node-1', 'booking', 'key');
  sendBooking(system, 'node-1', 'retry', 'other-key', 2);
  system.run(60);
  assert.equal(fleet.engines.get('whole')?.active, 0);
  system.run(20_000);
  assert.equal(system.exits.get('node-1'), 0);
  for (const request of ['completion', 'booking', 'retry']) {
    assert.equal(system.responses.get(request)?.status, 503);
    assert.match(system.responses.get(request)?.body ?? '', /"code":1511/);
    assert.equal(retryDelays.get(request), '1');
  }
  assert.equal(readOutcome(system.responses.get('completion')), 'not-run');
  assert.equal(readOutcome(system.responses.get('booking')), 'not-run');
  assert.equal(readOutcome(system.responses.get('retry')), 'unknown');
  assert.equal(fleet.service.counts.size, 0);
});

test('bookings and service calls that are open at the drain limit end as unknown, not cut off', () => {
  const answers: string[] = [];
  const { fleet, system } = startSystemWithOneEngine((_, effect) => {
    if (effect.kind === 'answer') answers.push(effect.request);
  });
  fleet.service.delay = DRAIN_LIMIT_MILLISECONDS + 200;
  const deadline = { 'x-deadline-milliseconds': '600000' };
  const keyed = { ...deadline, 'idempotency-key': 'key' };
  sendRequest(system, 'node-1', 'booking', '/v1/services/s/book', '{}', keyed);
  system.dispatch('node-1', {
    kind: 'callerRequest',
    request: 'call',
    method: 'GET',
    path: '/v1/services/s/read',
    headers: { authorization: `Bearer ${CALLER_KEY}`, ...deadline },
    body: '',
  });
  system.run(100);
  system.dispatch('node-1', { kind: 'leave' });
  system.run(DRAIN_LIMIT_MILLISECONDS + 20_000);
  assert.equal(system.exits.get('node-1'), 3);
  for (const request of ['booking', 'call']) {
    const response = system.responses.get(request);
    assert.match(response?.body ?? '', /"code":1506.*"outcome":"unknown"/);
    assert.equal(answers.filter((answer) => answer === request).length, 1);
  }
});
