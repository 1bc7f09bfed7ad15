/**
 * Answers stay whole and right when stages die, stall, restart empty or send wrong tokens.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { createRandom } from '../src/process/createRandom/index.js';
import type { NodeDecisions } from '../src/process/node/nodeDecisions/index.js';
import type { TokenLine } from '../src/types/endpoint/index.js';
import {
  createVirtualEngine,
  createVirtualFleet,
  type CreateVirtualFleetOptions,
  type VirtualFleet,
} from '../standins/createVirtualFleet/index.js';
import type { VirtualSystem } from '../standins/createVirtualSystem/index.js';
import { generateAnswer } from '../standins/generateToken/index.js';
import { readOutcome, readStreamText, sendRequest, startSystem } from './support/index.js';

const RANGES = [0, 12, 24, 36];
const REPLICAS = 3;

function createFleet(options: Partial<CreateVirtualFleetOptions> = {}): VirtualFleet {
  const engines = RANGES.flatMap((from) =>
    Array.from({ length: REPLICAS }, (_, index) =>
      createVirtualEngine({
        name: `e-${from.toString()}-${index.toString()}`,
        from,
        to: from + 12,
      }),
    ),
  );
  return createVirtualFleet({ engines, services: 0, jitter: 0.2, ...options });
}

function ask(system: VirtualSystem, node: string, request: string, headers = {}): string {
  const prompt = `question of ${request}`;
  const body = JSON.stringify({ model: 'm', prompt, stream: true });
  return sendRequest(system, node, request, '/v1/completions', body, headers);
}

function expectText(request: string): string {
  const prompt = `question of ${request}`;
  return generateAnswer({ model: 'm', version: '1', adapter: '', prompt }, 64);
}

function listWrong(system: VirtualSystem, requests: readonly string[]): string[] {
  return requests.filter((request) => {
    const answer = system.answers.get(request);
    return readOutcome(answer) !== 'answered' || readStreamText(answer) !== expectText(request);
  });
}

function askMany(system: VirtualSystem, count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const request = `request-${index.toString()}`;
    const node = system.names[index % system.names.length] ?? '';
    system.queue.schedule(index * 20, () => {
      ask(system, node, request);
    });
    return request;
  });
}

test('three whole nodes answer through the node interface alone', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 3 });
  const requests = askMany(system, 30);
  system.run(10_000);
  assert.deepEqual(listWrong(system, requests), []);
});

const FAULTS: Record<string, (fleet: VirtualFleet) => void> = {
  death: (fleet) => {
    for (const name of ['e-12-0', 'e-24-1']) {
      const engine = fleet.engines.get(name);
      if (engine) engine.isDown = true;
    }
  },
  stall: (fleet) => {
    const engine = fleet.engines.get('e-24-0');
    if (engine) engine.isStalled = true;
  },
  'restart with nothing': (fleet) => {
    const engine = fleet.engines.get('e-0-0');
    if (engine) engine.report = { ...engine.report, incarnation: '2', from: 0, to: 0, model: '' };
  },
};

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`answers in flight go on at the next token after a ${name} of a stage`, () => {
    const fleet = createFleet();
    const system = startSystem(fleet, { nodes: 3 });
    const requests = askMany(system, 40);
    system.queue.schedule(300, () => {
      fault(fleet);
    });
    system.run(20_000);
    assert.deepEqual(listWrong(system, requests), []);
  });
}

/** Lines that are late, repeated, out of order, or ran a layer twice or not at all. */
function corruptWith(seed: number): (line: TokenLine) => TokenLine[] {
  const random = createRandom(seed);
  const kept: TokenLine[] = [];
  return (line) => {
    kept.push(line);
    const draw = random();
    const old = kept[Math.floor(random() * kept.length)] ?? line;
    if (draw < 0.05) return [line, line];
    if (draw < 0.1) return [old, line];
    if (draw < 0.13) return [{ ...line, trace: line.trace.split(',').slice(1).join(',') }];
    if (draw < 0.16) return [{ ...line, trace: `${line.trace},${line.trace}` }];
    if (draw < 0.19) return [{ ...line, index: line.index + 1 }];
    return [line];
  };
}

function runCorrupted(decisions?: NodeDecisions): string[] {
  const fleet = createFleet({ corrupt: corruptWith(5) });
  const system = startSystem(fleet, { nodes: 3, decisions });
  const requests = askMany(system, 40);
  system.run(60_000);
  return listWrong(system, requests);
}

test('wrong tokens are never delivered, and the answer is whole all the same', () => {
  assert.deepEqual(runCorrupted(), []);
});

test('the same wrong tokens reach callers without the guard', () => {
  assert.ok(runCorrupted({ checkToken: () => 'deliver' }).length > 0);
});

test('a stream whose node dies is resumed on another node by Last-Event-ID', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 3 });
  ask(system, 'node-1', 'first');
  system.run(150);
  const before = system.answers.get('first')?.body ?? '';
  const lastEventId = [...before.matchAll(/^id: (.*)$/gm)].at(-1)?.[1] ?? '';
  assert.notEqual(lastEventId, '');
  system.kill('node-1');
  const prompt = 'question of first';
  const body = JSON.stringify({ model: 'm', prompt, stream: true });
  const headers = { 'last-event-id': lastEventId };
  sendRequest(system, 'node-2', 'second', '/v1/completions', body, headers);
  system.run(5_000);
  const text = readStreamText({ status: 200, body: before, isOver: false });
  assert.equal(text + readStreamText(system.answers.get('second')), expectText('first'));
});

test('a whole fleet that is gone refuses at once, and says not-run', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 1 });
  for (const engine of fleet.engines.values()) engine.report = { ...engine.report, leaving: true };
  system.run(3_000);
  ask(system, 'node-1', 'late');
  system.run(10);
  assert.equal(readOutcome(system.answers.get('late')), 'not-run');
  assert.equal(system.answers.get('late')?.status, 503);
});
