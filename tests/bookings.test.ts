/**
 * Bookings are executed at most once. Guards against a booking that is executed twice, or reported
 * with a wrong outcome, because a node fails or pauses between two effects, a reply is lost, or a
 * caller retries at another node. Control tests show that the same failures lead to double
 * execution when the intent is not checked.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { createRandom } from '../src/process/createRandom/index.js';
import type { NodeDecisions } from '../src/process/node/nodeDecisions/index.js';
import { decideIntent } from '../src/request/decideIntent/index.js';
import { createVirtualFleet } from '../standins/createVirtualFleet/index.js';
import type { CallOutcome, VirtualSystem } from '../standins/createVirtualSystem/index.js';
import { readOutcome, sendBooking, startSystem } from './support/index.js';

type Disturbance = (system: VirtualSystem, node: string) => void;

const DISTURBANCES: Record<string, Disturbance> = {
  kill: (system, node) => {
    system.kill(node);
  },
  killAndRestart: (system, node) => {
    system.kill(node);
    system.queue.schedule(500, () => {
      system.start(node);
    });
  },
  pausePastLease: (system, node) => {
    system.pause(node, 15_000);
  },
};

/** Sends the booking whatever the platform replies, as a router without intents would. */
const DECISIONS_WITHOUT_INTENT: NodeDecisions = {
  decideIntent: (options) => {
    const decision = decideIntent(options);
    if (decision.kind === 'keyReused' || decision.kind === 'replay') return decision;
    return { kind: 'send', revision: 0 };
  },
};

/** Runs one booking that is disturbed at its n-th effect and retried at another node. */
function runWithDisturbance(point: number, disturb: Disturbance, decisions: NodeDecisions = {}) {
  const fleet = createVirtualFleet({ engines: [] });
  let effects = 0;
  let isArmed = false;
  const system = startSystem(fleet, {
    nodes: 3,
    decisions,
    onEffect: (node, effect) => {
      if (!isArmed || node !== 'node-1' || effect.kind === 'log') return;
      effects += 1;
      if (effects === point) disturb(system, node);
    },
  });
  isArmed = true;
  sendBooking(system, 'node-1', 'first', 'key');
  system.run(6_000);
  const first = readOutcome(system.responses.get('first'));
  const countAtFirst = fleet.service.counts.get('key') ?? 0;
  sendBooking(system, 'node-2', 'second', 'key', 2);
  system.run(20_000);
  const second = readOutcome(system.responses.get('second'));
  return { first, second, countAtFirst, count: fleet.service.counts.get('key') ?? 0, effects };
}

for (const [name, disturb] of Object.entries(DISTURBANCES)) {
  test(`a booking disturbed at any effect is executed at most once and reported correctly: ${name}`, () => {
    const undisturbed = runWithDisturbance(0, disturb);
    assert.equal(undisturbed.first, 'answered');
    assert.equal(undisturbed.second, 'answered');
    for (let point = 1; point <= undisturbed.effects; point += 1) {
      const run = runWithDisturbance(point, disturb);
      assert.ok(run.count <= 1, `point ${point.toString()} executed ${run.count.toString()} times`);
      if (run.first === 'not-run') assert.equal(run.countAtFirst, 0, `point ${point.toString()}`);
      if (run.second === 'not-run') assert.equal(run.count, 0, `point ${point.toString()}`);
      if (run.second === 'answered') assert.equal(run.count, 1, `point ${point.toString()}`);
      assert.notEqual(run.second, 'none', `no response at point ${point.toString()}`);
    }
  });
}

test('a node killed at one of the effects executes a booking twice when the intent is ignored', () => {
  const { effects } = runWithDisturbance(0, () => undefined, DECISIONS_WITHOUT_INTENT);
  const runs = Array.from({ length: effects }, (_, index) =>
    runWithDisturbance(index + 1, DISTURBANCES.kill ?? (() => undefined), DECISIONS_WITHOUT_INTENT),
  );
  assert.ok(runs.some(({ count }) => count > 1));
});

interface MixedFaultOptions {
  readonly seed: number;
  readonly decisions?: NodeDecisions;
}

const KEY_COUNT = 60;
const MAXIMUM_TRIES = 4;

function drawFate(random: () => number): CallOutcome {
  const draw = random();
  if (draw < 0.08) return 'lostReply';
  if (draw < 0.14) return 'lostCall';
  return draw < 0.2 ? 'refused' : 'done';
}

/** Combines lost replies, refused calls, kills, pauses and callers that retry at other nodes. */
function runMixedFaults({ seed, decisions }: MixedFaultOptions) {
  const random = createRandom(seed);
  const fleet = createVirtualFleet({ engines: [], seed });
  let isFaulty = false;
  const system = startSystem(fleet, {
    nodes: 3,
    seed,
    decisions,
    decideOutcome: () => (isFaulty ? drawFate(random) : 'done'),
  });
  isFaulty = true;
  fleet.service.decideOutcome = () => {
    const draw = random();
    if (draw < 0.1) return 'lostReply';
    return draw < 0.15 ? 'refused' : 'answered';
  };
  const violations: string[] = [];
  const book = (key: string, tries: number): void => {
    const node = system.nodeNames[Math.floor(random() * 3)] ?? '';
    const request = sendBooking(system, node, `${key}-${tries.toString()}`, key, tries + 1);
    system.queue.schedule(2_000 + random() * 4_000, () => {
      const outcome = readOutcome(system.responses.get(request));
      const count = fleet.service.counts.get(key) ?? 0;
      if (outcome === 'not-run' && count > 0)
        violations.push(`${request} reported as not-run, executed ${count} times`);
      if (outcome === 'answered' && count !== 1)
        violations.push(`${request} answered, executed ${count} times`);
      if (outcome !== 'answered' && tries < MAXIMUM_TRIES) book(key, tries + 1);
    });
  };
  for (let index = 0; index < KEY_COUNT; index += 1) {
    system.queue.schedule(random() * 20_000, () => {
      book(`key-${index.toString()}`, 0);
    });
  }
  for (let index = 0; index < 8; index += 1) {
    const node = system.nodeNames[index % 3] ?? '';
    system.queue.schedule(random() * 25_000, () => {
      if (random() < 0.5) system.pause(node, 12_000);
      else DISTURBANCES.killAndRestart?.(system, node);
    });
  }
  system.run(120_000);
  const counts = [...fleet.service.counts.values()];
  return {
    violations,
    executedTwice: counts.filter((count) => count > 1).length,
    run: counts.length,
  };
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`mixed failures execute each booking at most once and report correct outcomes, seed ${seed.toString()}`, () => {
    const { violations, executedTwice, run } = runMixedFaults({ seed });
    assert.deepEqual(violations, []);
    assert.equal(executedTwice, 0);
    assert.ok(run > KEY_COUNT / 2, `only ${run.toString()} bookings were executed`);
  });
}

test('the same mixed failures execute bookings twice when the intent is ignored', () => {
  assert.ok(runMixedFaults({ seed: 1, decisions: DECISIONS_WITHOUT_INTENT }).executedTwice > 0);
});

test('concurrent requests with one key at two nodes execute it once and return the same response', () => {
  const fleet = createVirtualFleet({ engines: [] });
  const system = startSystem(fleet, { nodes: 3 });
  sendBooking(system, 'node-1', 'left', 'key');
  sendBooking(system, 'node-2', 'right', 'key');
  system.run(3_000);
  assert.equal(fleet.service.counts.get('key'), 1);
  assert.equal(system.responses.get('left')?.body, system.responses.get('right')?.body);
  assert.equal(readOutcome(system.responses.get('right')), 'answered');
});

test('while the store is down, a first try is refused as not-run and a retry as unknown', () => {
  const fleet = createVirtualFleet({ engines: [] });
  let isDown = false;
  const system = startSystem(fleet, {
    nodes: 2,
    decideOutcome: () => (isDown ? 'refused' : 'done'),
  });
  isDown = true;
  sendBooking(system, 'node-1', 'first', 'key');
  sendBooking(system, 'node-2', 'retry', 'key', 2);
  system.run(100);
  assert.equal(readOutcome(system.responses.get('first')), 'not-run');
  assert.equal(readOutcome(system.responses.get('retry')), 'unknown');
  assert.equal(fleet.service.counts.size, 0);
});
