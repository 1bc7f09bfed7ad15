/**
 * Guards against answers that are incomplete or wrong because a stage of their path fails, stalls,
 * restarts without layers or sends wrong tokens, or because their node fails.
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
import { readOutcome, readStreamedText, sendRequest, startSystem } from './support/index.js';

const RANGE_STARTS = [0, 12, 24, 36];
const REPLICAS = 3;

function createFleet(options: Partial<CreateVirtualFleetOptions> = {}): VirtualFleet {
  const engines = RANGE_STARTS.flatMap((from) =>
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

function sendCompletion(
  system: VirtualSystem,
  node: string,
  request: string,
  headers = {},
): string {
  const prompt = `question of ${request}`;
  const body = JSON.stringify({ model: 'm', prompt, stream: true });
  return sendRequest(system, node, request, '/v1/completions', body, headers);
}

function computeExpectedText(request: string): string {
  const prompt = `question of ${request}`;
  return generateAnswer({ model: 'm', version: '1', adapter: '', prompt }, 64);
}

function listWrongAnswers(system: VirtualSystem, requests: readonly string[]): string[] {
  return requests.filter((request) => {
    const answer = system.responses.get(request);
    return (
      readOutcome(answer) !== 'answered' ||
      readStreamedText(answer) !== computeExpectedText(request)
    );
  });
}

function scheduleCompletions(system: VirtualSystem, count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const request = `request-${index.toString()}`;
    const node = system.nodeNames[index % system.nodeNames.length] ?? '';
    system.queue.schedule(index * 20, () => {
      sendCompletion(system, node, request);
    });
    return request;
  });
}

test('three nodes return complete answers over the node interface', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 3 });
  const requests = scheduleCompletions(system, 30);
  system.run(10_000);
  assert.deepEqual(listWrongAnswers(system, requests), []);
});

const STAGE_FAILURES: Record<string, (fleet: VirtualFleet) => void> = {
  crash: (fleet) => {
    for (const name of ['e-12-0', 'e-24-1']) {
      const engine = fleet.engines.get(name);
      if (engine) engine.isDown = true;
    }
  },
  stall: (fleet) => {
    const engine = fleet.engines.get('e-24-0');
    if (engine) engine.isStalled = true;
  },
  'restart without layers': (fleet) => {
    const engine = fleet.engines.get('e-0-0');
    if (engine) engine.report = { ...engine.report, incarnation: '2', from: 0, to: 0, model: '' };
  },
};

for (const [name, fault] of Object.entries(STAGE_FAILURES)) {
  test(`answers in flight continue at the next token after a stage failure: ${name}`, () => {
    const fleet = createFleet();
    const system = startSystem(fleet, { nodes: 3 });
    const requests = scheduleCompletions(system, 40);
    system.queue.schedule(300, () => {
      fault(fleet);
    });
    system.run(20_000);
    assert.deepEqual(listWrongAnswers(system, requests), []);
  });
}

/** Returns lines that are late, repeated, out of order, or whose trace repeats or skips layers. */
function corruptWith(seed: number): (line: TokenLine) => TokenLine[] {
  const random = createRandom(seed);
  const sentLines: TokenLine[] = [];
  return (line) => {
    sentLines.push(line);
    const draw = random();
    const earlierLine = sentLines[Math.floor(random() * sentLines.length)] ?? line;
    if (draw < 0.05) return [line, line];
    if (draw < 0.1) return [earlierLine, line];
    if (draw < 0.13) return [{ ...line, trace: line.trace.split(',').slice(1).join(',') }];
    if (draw < 0.16) return [{ ...line, trace: `${line.trace},${line.trace}` }];
    if (draw < 0.19) return [{ ...line, index: line.index + 1 }];
    return [line];
  };
}

function runCorrupted(decisions?: NodeDecisions): string[] {
  const fleet = createFleet({ replaceLine: corruptWith(5) });
  const system = startSystem(fleet, { nodes: 3, decisions });
  const requests = scheduleCompletions(system, 40);
  system.run(60_000);
  return listWrongAnswers(system, requests);
}

test('wrong tokens are dropped and the answer is complete', () => {
  assert.deepEqual(runCorrupted(), []);
});

test('the same wrong tokens reach callers when tokens are not checked', () => {
  assert.ok(runCorrupted({ checkToken: () => 'deliver' }).length > 0);
});

test('a stream whose node fails is resumed at another node with Last-Event-ID', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 3 });
  sendCompletion(system, 'node-1', 'first');
  system.run(150);
  const before = system.responses.get('first')?.body ?? '';
  const lastEventId = [...before.matchAll(/^id: (.*)$/gm)].at(-1)?.[1] ?? '';
  assert.notEqual(lastEventId, '');
  system.kill('node-1');
  const prompt = 'question of first';
  const body = JSON.stringify({ model: 'm', prompt, stream: true });
  const headers = { 'last-event-id': lastEventId };
  sendRequest(system, 'node-2', 'second', '/v1/completions', body, headers);
  system.run(5_000);
  const text = readStreamedText({ status: 200, body: before, isOver: false });
  assert.equal(
    text + readStreamedText(system.responses.get('second')),
    computeExpectedText('first'),
  );
});

test('a request is refused at once as not-run when all engines are leaving', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 1 });
  for (const engine of fleet.engines.values()) engine.report = { ...engine.report, leaving: true };
  system.run(3_000);
  sendCompletion(system, 'node-1', 'late');
  system.run(10);
  assert.equal(readOutcome(system.responses.get('late')), 'not-run');
  assert.equal(system.responses.get('late')?.status, 503);
});
