/**
 * Guards against callers that are all told to return at the same moment, so that most are refused again, and against
 * returns of less urgent requests that delay more urgent ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { computeRoom, forecastRoom, type RoomFacts } from '../forecastRoom/index.js';
import { forecastTurn, scheduleReturn, type AnnouncedReturn } from './index.js';

const TOKENS = 900;
const DRAWN_FACTS: fc.Arbitrary<RoomFacts> = fc
  .array(
    fc.record({
      remainingEvents: fc.integer({ min: 1, max: 40 }),
      paceMilliseconds: fc.integer({ min: 20, max: 60 }),
      tokens: fc.constant(TOKENS),
    }),
    { minLength: 1, maxLength: 20 },
  )
  .map((running) => ({
    free: { requests: 0, tokens: 0 },
    running,
    others: { requests: 0, tokens: 0 },
    loadAgeMilliseconds: 0,
    stayMilliseconds: 2_000,
    nodes: 1,
    permitWaitMilliseconds: 0,
  }));

/** Announces returns to callers of the given levels, one after the other. */
function announce(
  facts: RoomFacts,
  levels: readonly number[],
  minimumMilliseconds = 100,
): AnnouncedReturn[] {
  const returns: AnnouncedReturn[] = [];
  levels.forEach((level, index) => {
    const needed = { requests: 1, tokens: TOKENS };
    const options = { facts, needed, level, returns, now: 0, minimumMilliseconds };
    returns.push({ key: `${index}`, level, at: scheduleReturn(options), tokens: TOKENS });
  });
  return returns;
}

/** Precision of a forecast, in milliseconds. */
const PRECISION = 1;

/** Finds the turn by a search of all times, in milliseconds. */
function findTurnNaively(
  facts: RoomFacts,
  level: number,
  returns: readonly AnnouncedReturn[],
): number {
  for (let time = 0; time < 30_000; time += 1) {
    const before = returns.filter(
      (other) => other.level <= level && other.at <= time + PRECISION,
    ).length;
    if (computeRoom(facts, time).requests >= before + 1) return time;
  }
  return Number.POSITIVE_INFINITY;
}

test('tells no more callers of one level to return by a time than can be served by it', () => {
  fc.assert(
    fc.property(DRAWN_FACTS, fc.integer({ min: 1, max: 40 }), (facts, callers) => {
      const returns = announce(
        facts,
        Array.from({ length: callers }, () => 1),
      );
      for (const { at } of returns) {
        const told = returns.filter((other) => other.at <= at).length;
        assert.ok(told <= computeRoom(facts, at).requests || at >= 30_000, `${told} at ${at}`);
      }
    }),
    { seed: 51, numRuns: 150 },
  );
});

test('tells all callers the same time in the naive version without announced returns', () => {
  fc.assert(
    fc.property(DRAWN_FACTS, (facts) => {
      const options = { facts, needed: { requests: 1, tokens: TOKENS }, level: 1, now: 0 };
      const naive = Array.from({ length: 9 }, () => scheduleReturn({ ...options, returns: [] }));
      assert.equal(new Set(naive).size, 1);
      const spread = announce(
        facts,
        Array.from({ length: 9 }, () => 1),
      ).map(({ at }) => at);
      assert.ok((spread.at(-1) ?? 0) >= (naive.at(-1) ?? 0));
    }),
    { seed: 52, numRuns: 50 },
  );
});

test('agrees with a search of all times', () => {
  const levels = fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 12 });
  fc.assert(
    fc.property(DRAWN_FACTS, levels, fc.integer({ min: 0, max: 3 }), (facts, drawn, level) => {
      const returns = announce(facts, drawn, 0);
      const needed = { requests: 1, tokens: TOKENS };
      const turn = forecastTurn({ facts, needed, level, returns, now: 0 });
      assert.ok(Math.abs(turn - findTurnNaively(facts, level, returns)) <= 2 * PRECISION);
    }),
    { seed: 53, numRuns: 100 },
  );
});

test('does not delay an urgent request for the returns of less urgent ones', () => {
  fc.assert(
    fc.property(DRAWN_FACTS, (facts) => {
      const returns = announce(
        facts,
        Array.from({ length: 9 }, () => 5),
      );
      const needed = { requests: 1, tokens: TOKENS };
      const turn = forecastTurn({ facts, needed, level: 1, returns, now: 0 });
      assert.equal(turn, forecastRoom(facts, needed));
    }),
    { seed: 54, numRuns: 50 },
  );
});
