/**
 * Open-loop load on real nodes over HTTP, as callers would send it, with every answer checked.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { createRandom } from '../../src/process/createRandom/index.js';
import { callHttp } from '../../src/process/runtime/callHttp/index.js';
import { generateAnswer } from '../../standins/generateToken/index.js';
import { computeReference } from '../../standins/serveService/index.js';
import { createCaller, type Caller, type StreamedAnswer } from '../createCaller/index.js';
import type { ProcessUsage, SpawnedSite } from '../spawnSite/index.js';
import { summarizeValues, type ValueSummary } from '../summarizeValues/index.js';
import { round } from '../types.js';
import { sleep } from '../sleep/index.js';

/** Settings of a load. Bounded in count and time. */
export const loadSchema = z.strictObject({
  site: z.string(),
  nodes: z.number().int().min(1).max(6),
  seconds: z.number().min(1).max(100),
  seed: z.number().int().default(1),
  accounts: z.array(
    z.strictObject({ name: z.string(), requestsPerSecond: z.number().positive().max(500) }),
  ),
  bookingsPerSecond: z.number().min(0).max(200).default(2),
  hangUpShare: z.number().min(0).max(1).default(0.02),
  maximumTokens: z.number().int().default(64),
  model: z.string(),
  version: z.string(),
  service: z.string(),
  /** Largest number of requests, whatever the rates. */
  maximumRequests: z.number().int().max(100_000).default(20_000),
});
export type LoadSettings = z.infer<typeof loadSchema>;

/** What a load found. */
export interface LoadResult {
  readonly asked: number;
  readonly whole: number;
  readonly wrong: number;
  readonly refused: number;
  readonly hungUp: number;
  readonly cut: number;
  readonly bookingsAsked: number;
  readonly bookingsAnswered: number;
  readonly bookingsWrong: number;
  readonly bookingsRunTwice: number;
  readonly falseNotRun: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly firstToken: ValueSummary;
  readonly betweenTokens: ValueSummary;
  readonly wholeAnswer: ValueSummary;
  readonly processorPercentPerNode: number;
  readonly processorMicrosecondsPerToken: number;
  readonly memoryMegabytesPerNode: number;
  readonly errors: Readonly<Record<string, number>>;
}

interface Tally {
  asked: number;
  whole: number;
  wrong: number;
  hungUp: number;
  tokens: number;
  bookingsAsked: number;
  bookingsAnswered: number;
  bookingsWrong: number;
  readonly answers: StreamedAnswer[];
  readonly notRun: string[];
  readonly errors: Record<string, number>;
}

const DRAIN_MILLISECONDS = 40_000;
const HANG_UP_MILLISECONDS = 80;

/**
 * Reads the settings of a load.
 *
 * @param file - path of the file
 * @returns the settings
 * @example
 * readLoad('examples/fit-desk/load.json');
 */
export function readLoad(file: string): LoadSettings {
  return loadSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

function readCounts(address: string): Promise<Record<string, number>> {
  return new Promise((done, failed) => {
    callHttp({ address, method: 'GET', path: '/counts', timeoutMilliseconds: 5_000 }, (result) => {
      if (result.kind === 'reply') done(JSON.parse(result.body) as Record<string, number>);
      else failed(new Error('the service stand-in did not answer'));
    });
  });
}

function createTally(): Tally {
  return {
    asked: 0,
    whole: 0,
    wrong: 0,
    hungUp: 0,
    tokens: 0,
    bookingsAsked: 0,
    bookingsAnswered: 0,
    bookingsWrong: 0,
    answers: [],
    notRun: [],
    errors: {},
  };
}

async function ask(
  settings: LoadSettings,
  caller: Caller,
  prompt: string,
  isHangUp: boolean,
  tally: Tally,
): Promise<void> {
  const { model, version, maximumTokens } = settings;
  tally.asked += 1;
  const answer = await caller.stream({
    model,
    prompt,
    maximumTokens,
    ...(isHangUp && { hangUpAfter: HANG_UP_MILLISECONDS }),
  });
  tally.tokens += answer.gaps.length + 1;
  const expected = generateAnswer({ model, version, adapter: '', prompt }, maximumTokens);
  if (isHangUp && !answer.isWhole) {
    tally.hungUp += 1;
    if (!expected.startsWith(answer.text)) tally.wrong += 1;
    return;
  }
  tally.answers.push(answer);
  if (answer.isWhole && answer.text === expected) tally.whole += 1;
  else if (answer.isWhole || !expected.startsWith(answer.text)) tally.wrong += 1;
  else tally.errors[answer.error] = (tally.errors[answer.error] ?? 0) + 1;
}

async function book(
  settings: LoadSettings,
  caller: Caller,
  key: string,
  tally: Tally,
): Promise<void> {
  tally.bookingsAsked += 1;
  const body = JSON.stringify({ bay: key, name: 'Siân Ó Briain' });
  const answer = await caller.book({
    path: `/v1/services/${settings.service}/appointments`,
    key,
    body,
  });
  if (answer.body.includes('"not-run"')) tally.notRun.push(key);
  if (answer.status !== 200) {
    tally.errors[`booking ${answer.status.toString()}`] =
      (tally.errors[`booking ${answer.status.toString()}`] ?? 0) + 1;
    return;
  }
  tally.bookingsAnswered += 1;
  if (!answer.body.includes(computeReference(key, body))) tally.bookingsWrong += 1;
}

function sumProcessor(usage: readonly ProcessUsage[]): number {
  return usage.reduce((sum, { processorSeconds }) => sum + processorSeconds, 0);
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  readonly settings: LoadSettings;
  readonly site: SpawnedSite;
  readonly keys: Readonly<Record<string, string>>;
  /** Called once the load has begun. */
  readonly during?: () => Promise<void>;
}

/**
 * Runs a load and checks every answer and every booking.
 *
 * Arrivals are drawn beforehand and do not wait for answers, so that latency is not understated.
 *
 * @param options - settings, site and keys of the accounts
 * @returns what was found
 * @example
 * const result = await runLoad({ settings, site, keys });
 */
export async function runLoad(options: RunLoadOptions): Promise<LoadResult> {
  const { settings, site, keys } = options;
  const random = createRandom(settings.seed);
  const tally = createTally();
  const seeds = site.callerAddresses;
  const callers = new Map(
    settings.accounts.map(({ name }) => [
      name,
      createCaller({ account: name, key: keys[name] ?? '', seeds }),
    ]),
  );
  const pending: Promise<void>[] = [];
  const runStamp = settings.seed.toString(36);
  const arrivals: { readonly at: number; readonly send: (index: number) => Promise<void> }[] = [];
  const draw = (rate: number, send: (index: number) => Promise<void>): void => {
    for (let at = 0; ;) {
      at += (-Math.log(1 - random()) * 1_000) / rate;
      if (at > settings.seconds * 1_000) return;
      arrivals.push({ at, send });
    }
  };
  for (const { name, requestsPerSecond } of settings.accounts) {
    const caller = callers.get(name);
    if (!caller) continue;
    draw(requestsPerSecond, (index) => {
      const prompt = `Question ${index.toString()} of ${name}: où régler la selle de Zoë?`;
      return ask(settings, caller, prompt, random() < settings.hangUpShare, tally);
    });
  }
  const [first] = callers.values();
  if (settings.bookingsPerSecond > 0 && first) {
    draw(settings.bookingsPerSecond, (index) =>
      book(settings, first, `load-${runStamp}-${index.toString()}`, tally),
    );
  }
  arrivals.sort((left, right) => left.at - right.at);
  arrivals.splice(settings.maximumRequests);
  await Promise.all([...callers.values()].map((caller) => caller.refresh()));

  const usageBefore = site.readUsage();
  const startedAt = performance.now();
  const disturbance = options.during?.();
  for (const [index, arrival] of arrivals.entries()) {
    const wait = arrival.at - (performance.now() - startedAt);
    if (wait > 1) await sleep(wait);
    pending.push(arrival.send(index));
  }
  await Promise.race([Promise.all([...pending, disturbance]), sleep(DRAIN_MILLISECONDS)]);
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  const usage = site.readUsage();
  const processorSeconds = sumProcessor(usage) - sumProcessor(usageBefore);
  const counts = await readCounts(site.serviceAddress);
  for (const caller of callers.values()) caller.close();
  const refused = tally.answers.filter(({ status }) => status >= 400).length;
  const answered = tally.answers.filter(({ isWhole }) => isWhole);
  const memory = usage.map(({ memoryMegabytes }) => memoryMegabytes);
  return {
    asked: tally.asked,
    whole: tally.whole,
    wrong: tally.wrong,
    refused,
    hungUp: tally.hungUp,
    cut: tally.asked - tally.whole - tally.wrong - refused - tally.hungUp,
    bookingsAsked: tally.bookingsAsked,
    bookingsAnswered: tally.bookingsAnswered,
    bookingsWrong: tally.bookingsWrong,
    bookingsRunTwice: Object.values(counts).filter((count) => count > 1).length,
    falseNotRun: tally.notRun.filter((key) => key in counts).length,
    requestsPerSecond: round(tally.whole / elapsedSeconds),
    tokensPerSecond: round(tally.tokens / elapsedSeconds),
    firstToken: summarizeValues(
      answered.map(({ firstTokenMilliseconds }) => firstTokenMilliseconds),
    ),
    betweenTokens: summarizeValues(answered.flatMap(({ gaps }) => gaps)),
    wholeAnswer: summarizeValues(answered.map(({ totalMilliseconds }) => totalMilliseconds)),
    processorPercentPerNode: round((100 * processorSeconds) / elapsedSeconds / usage.length),
    processorMicrosecondsPerToken: round(
      (processorSeconds * 1_000_000) / Math.max(1, tally.tokens),
    ),
    memoryMegabytesPerNode: round(memory.reduce((sum, value) => sum + value, 0) / memory.length),
    errors: tally.errors,
  };
}
