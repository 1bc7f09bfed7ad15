/**
 * Guards against forecasts that are too early or too late by more than the precision, that improve with more requests
 * waiting, or that count ends at other nodes before this node can know of them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  FORECAST_LIMIT_MILLISECONDS,
  forecastRoom,
  type RoomFacts,
  type RoomSize,
} from './index.js';

const NOTHING: RoomSize = { requests: 0, tokens: 0 };
const FACTS: RoomFacts = {
  free: NOTHING,
  running: [],
  others: NOTHING,
  loadAgeMilliseconds: 130,
  stayMilliseconds: 2_000,
  nodes: 1,
  permitWaitMilliseconds: 0,
};

const AMOUNT = fc.record({
  requests: fc.integer({ min: 0, max: 6 }),
  tokens: fc.integer({ min: 0, max: 4_000 }),
});
const NEEDED = fc.record({
  requests: fc.integer({ min: 1, max: 12 }),
  tokens: fc.integer({ min: 1, max: 9_000 }),
});
const DRAWN_FACTS: fc.Arbitrary<RoomFacts> = fc.record({
  free: AMOUNT,
  running: fc.array(
    fc.record({
      remainingEvents: fc.integer({ min: -3, max: 40 }),
      paceMilliseconds: fc.integer({ min: 1, max: 90 }),
      tokens: fc.integer({ min: 1, max: 1_500 }),
    }),
    { maxLength: 8 },
  ),
  others: AMOUNT,
  loadAgeMilliseconds: fc.integer({ min: 0, max: 900 }),
  stayMilliseconds: fc.integer({ min: 300, max: 4_000 }),
  nodes: fc.integer({ min: 1, max: 6 }),
  permitWaitMilliseconds: fc.integer({ min: 0, max: 800 }),
});

/** Step of the naive forecast, in milliseconds. */
const NAIVE_STEP_MILLISECONDS = 5;
/** Difference of two sums of the same fractions, added in another order. */
const ROUNDING = 1e-6;

/** Plays the ends of runs step by step, and counts what they free. */
function forecastNaively(facts: RoomFacts, needed: RoomSize): number {
  const total = facts.running.length + facts.others.requests;
  const share = Math.max(total > 0 ? facts.running.length / total : 0, 1 / facts.nodes);
  const ends = facts.running.map(({ remainingEvents, paceMilliseconds, tokens }) => ({
    at: Math.max(1, remainingEvents) * paceMilliseconds,
    tokens,
  }));
  let { requests, tokens } = facts.free;
  let heardUntil = 0;
  for (let time = 0; time <= FORECAST_LIMIT_MILLISECONDS; time += NAIVE_STEP_MILLISECONDS) {
    for (const end of ends) {
      while (end.at <= time) {
        requests += share;
        tokens += share * end.tokens;
        end.at += facts.stayMilliseconds;
      }
    }
    const heard = Math.max(0, time - facts.loadAgeMilliseconds);
    const turnover = (share * (heard - heardUntil)) / facts.stayMilliseconds;
    heardUntil = heard;
    requests += turnover * facts.others.requests;
    tokens += turnover * facts.others.tokens;
    const isEnough = requests + ROUNDING >= needed.requests && tokens + ROUNDING >= needed.tokens;
    if (isEnough && time >= facts.permitWaitMilliseconds) return time;
  }
  return Number.POSITIVE_INFINITY;
}

test('agrees with a play of the ends step by step', () => {
  fc.assert(
    fc.property(DRAWN_FACTS, NEEDED, (facts, needed) => {
      const lessNeeded = {
        requests: needed.requests - 2 * ROUNDING,
        tokens: needed.tokens - 2 * ROUNDING,
      };
      const latest = forecastRoom(facts, needed);
      const earliest = forecastRoom(facts, lessNeeded);
      const naive = forecastNaively(facts, needed);
      assert.ok(earliest <= naive + 1, `${earliest} after ${naive}`);
      const isNearLimit = naive === Infinity && earliest > FORECAST_LIMIT_MILLISECONDS - 10;
      assert.ok(
        naive <= latest + NAIVE_STEP_MILLISECONDS || isNearLimit,
        `${latest} before ${naive}`,
      );
    }),
    { seed: 41, numRuns: 150 },
  );
});

test('is never earlier for more work, nor later with more free capacity', () => {
  fc.assert(
    fc.property(DRAWN_FACTS, NEEDED, AMOUNT, (facts, needed, more) => {
      const requests = needed.requests + more.requests;
      const larger = { requests, tokens: needed.tokens + more.tokens };
      assert.ok(forecastRoom(facts, larger) >= forecastRoom(facts, needed) - 1);
      const free = {
        requests: facts.free.requests + more.requests,
        tokens: facts.free.tokens + more.tokens,
      };
      assert.ok(forecastRoom({ ...facts, free }, needed) <= forecastRoom(facts, needed) + 1);
    }),
    { seed: 42, numRuns: 300 },
  );
});

test('uses the observed pace: a run with few events left frees its place first', () => {
  const running = [
    { remainingEvents: 10, paceMilliseconds: 50, tokens: 900 },
    { remainingEvents: 40, paceMilliseconds: 50, tokens: 900 },
  ];
  const single = forecastRoom({ ...FACTS, running }, { requests: 1, tokens: 900 });
  assert.ok(Math.abs(single - 500) <= 1, `${single}`);
  const pair = forecastRoom({ ...FACTS, running }, { requests: 2, tokens: 1_800 });
  assert.ok(Math.abs(pair - 2_000) <= 1, `${pair}`);
});

test('hears of the ends at other nodes only after the age of their load reports', () => {
  const others = { requests: 20, tokens: 20_000 };
  const facts = { ...FACTS, others, nodes: 10, loadAgeMilliseconds: 500 };
  // One place a second for this node: 20 runs of 2 s, shared by ten nodes.
  const forecast = forecastRoom(facts, { requests: 1, tokens: 900 });
  assert.ok(Math.abs(forecast - 1_500) <= 1, `${forecast}`);
});

test('forecasts nothing where no run will end', () => {
  assert.equal(forecastRoom(FACTS, { requests: 1, tokens: 900 }), Number.POSITIVE_INFINITY);
});
