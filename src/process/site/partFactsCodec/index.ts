/**
 * Encoding of facts about parts for messages between nodes, which have clocks of their own.
 */
import { z } from 'zod';
import { MAXIMUM_PART_LENGTH, MAXIMUM_PARTS } from '../../../request/limitPromptParts/index.js';
import type { CrashReport, PartFacts, PartTime } from '../../../types/breaker/index.js';

const milliseconds = z.number().min(0);
const text = z.string().max(MAXIMUM_PART_LENGTH);
const reportSchema = z.tuple([
  text,
  z.number(),
  text,
  text,
  z.array(text).min(1).max(MAXIMUM_PARTS),
  // Age of the run and of the crash.
  milliseconds,
  milliseconds,
]);
const partAgeSchema = z.tuple([text, milliseconds]);

/** Schema of facts as they are sent: with ages in milliseconds instead of times. */
export const partFactsSchema = z.object({
  reports: z.array(reportSchema),
  successes: z.array(partAgeSchema),
  trials: z.array(partAgeSchema),
});

/** Facts as they are sent. */
export type EncodedPartFacts = z.infer<typeof partFactsSchema>;

/**
 * Encodes facts.
 *
 * @param facts - the facts, with times in milliseconds
 * @param now - the time of the node in milliseconds
 * @returns the facts with ages in milliseconds
 * @example
 * encodePartFacts({ reports: [], successes: [{ part: 'a1', at: 900 }], trials: [] }, 1_000);
 */
export function encodePartFacts(facts: Partial<PartFacts>, now: number): EncodedPartFacts {
  const age = (at: number): number => Math.max(0, Math.round(now - at));
  const encodeTimes = (times: readonly PartTime[] = []): [string, number][] =>
    times.map(({ part, at }) => [part, age(at)]);
  return {
    reports: (facts.reports ?? []).map((report) => [
      report.endpoint,
      report.startedAt,
      report.address,
      report.attempt,
      [...report.parts],
      age(report.sentAt),
      age(report.at),
    ]),
    successes: encodeTimes(facts.successes),
    trials: encodeTimes(facts.trials),
  };
}

/**
 * Decodes facts.
 *
 * @param encoded - the facts with ages in milliseconds
 * @param now - the time of the node in milliseconds
 * @returns the facts with times of the node in milliseconds
 * @example
 * decodePartFacts(encodePartFacts(facts, now), now);
 */
export function decodePartFacts(encoded: EncodedPartFacts, now: number): PartFacts {
  const decodeTimes = (times: EncodedPartFacts['successes']): PartTime[] =>
    times.map(([part, age]) => ({ part, at: now - age }));
  return {
    reports: encoded.reports.map(
      ([endpoint, startedAt, address, attempt, parts, sentAge, age]): CrashReport => ({
        endpoint,
        startedAt,
        address,
        attempt,
        parts,
        sentAt: now - sentAge,
        at: now - age,
      }),
    ),
    successes: decodeTimes(encoded.successes),
    trials: decodeTimes(encoded.trials),
  };
}
