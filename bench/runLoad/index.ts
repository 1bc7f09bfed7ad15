/**
 * Sends open-loop load to real nodes over HTTP, as callers do, and checks every response.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { createRandom } from '../../src/process/createRandom/index.js';
import { callHttp } from '../../src/process/runtime/callHttp/index.js';
import { generateAnswer } from '../../standins/generateToken/index.js';
import { computeReference } from '../../standins/serveService/index.js';
import { createCaller, type Caller, type StreamedResponse } from '../createCaller/index.js';
import type { ProcessUsage, SpawnedSite } from '../spawnSite/index.js';
import { summarizeValues, type ValueSummary } from '../summarizeValues/index.js';
import { round } from '../types.js';
import { sleep } from '../sleep/index.js';

/** Settings of a load; the number of requests and the time are limited. */
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
  /** Maximum number of requests, whatever the rates. */
  maximumRequests: z.number().int().max(100_000).default(20_000),
});
export type LoadSettings = z.infer<typeof loadSchema>;

/** Result of a load. The keys are printed and written to files. */
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

interface LoadCounter {
  sent: number;
  complete: number;
  wrong: number;
  disconnected: number;
  tokens: number;
  bookingsSent: number;
  bookingsAnswered: number;
  bookingsWrong: number;
  readonly answers: StreamedResponse[];
  readonly notExecuted: string[];
  readonly errors: Record<string, number>;
}

const DRAIN_MILLISECONDS = 40_000;
const DISCONNECT_MILLISECONDS = 80;

/**
 * Reads the settings of a load.
 *
 * @param file - path of the settings file
 * @returns the settings
 * @example
 * readLoadSettings('examples/fit-desk/load.json');
 */
export function readLoadSettings(file: string): LoadSettings {
  return loadSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

function readCounts(address: string): Promise<Record<string, number>> {
  return new Promise((done, failed) => {
    callHttp({ address, method: 'GET', path: '/counts', timeoutMilliseconds: 5_000 }, (result) => {
      if (result.kind === 'reply') done(JSON.parse(result.body) as Record<string, number>);
      else failed(new Error(`the service stand-in at ${address} did not return its counts`));
    });
  });
}

function createLoadCounter(): LoadCounter {
  return {
    sent: 0,
    complete: 0,
    wrong: 0,
    disconnected: 0,
    tokens: 0,
    bookingsSent: 0,
    bookingsAnswered: 0,
    bookingsWrong: 0,
    answers: [],
    notExecuted: [],
    errors: {},
  };
}

async function sendStreamRequest(
  settings: LoadSettings,
  caller: Caller,
  prompt: string,
  disconnects: boolean,
  counter: LoadCounter,
): Promise<void> {
  const { model, version, maximumTokens } = settings;
  counter.sent += 1;
  const answer = await caller.stream({
    model,
    prompt,
    maximumTokens,
    ...(disconnects && { disconnectAfterMilliseconds: DISCONNECT_MILLISECONDS }),
  });
  counter.tokens += answer.gaps.length + 1;
  const expected = generateAnswer({ model, version, adapter: '', prompt }, maximumTokens);
  if (disconnects && !answer.isComplete) {
    counter.disconnected += 1;
    if (!expected.startsWith(answer.text)) counter.wrong += 1;
    return;
  }
  counter.answers.push(answer);
  if (answer.isComplete && answer.text === expected) counter.complete += 1;
  else if (answer.isComplete || !expected.startsWith(answer.text)) counter.wrong += 1;
  else counter.errors[answer.error] = (counter.errors[answer.error] ?? 0) + 1;
}

async function sendBooking(
  settings: LoadSettings,
  caller: Caller,
  idempotencyKey: string,
  counter: LoadCounter,
): Promise<void> {
  counter.bookingsSent += 1;
  const body = JSON.stringify({ bay: idempotencyKey, name: 'Siân Ó Briain' });
  const answer = await caller.book({
    path: `/v1/services/${settings.service}/appointments`,
    idempotencyKey,
    body,
  });
  if (answer.body.includes('"not-run"')) counter.notExecuted.push(idempotencyKey);
  if (answer.status !== 200) {
    counter.errors[`booking ${answer.status.toString()}`] =
      (counter.errors[`booking ${answer.status.toString()}`] ?? 0) + 1;
    return;
  }
  counter.bookingsAnswered += 1;
  if (!answer.body.includes(computeReference(idempotencyKey, body))) counter.bookingsWrong += 1;
}

function sumProcessor(usage: readonly ProcessUsage[]): number {
  return usage.reduce((sum, { processorSeconds }) => sum + processorSeconds, 0);
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  readonly settings: LoadSettings;
  readonly site: SpawnedSite;
  readonly keys: Readonly<Record<string, string>>;
  /** Action that runs while the load is sent. */
  readonly runDuringLoad?: () => Promise<void>;
}

/**
 * Sends a load and checks every response and every booking.
 *
 * Arrivals are drawn beforehand and do not wait for responses, so that latency is not understated.
 *
 * @param options - settings, site and API keys of the accounts
 * @returns the counts, latencies and usage of the nodes
 * @example
 * const result = await runLoad({ settings, site, keys });
 */
export async function runLoad(options: RunLoadOptions): Promise<LoadResult> {
  const { settings, site, keys } = options;
  const random = createRandom(settings.seed);
  const counter = createLoadCounter();
  const seeds = site.callerAddresses;
  const callers = new Map(
    settings.accounts.map(({ name }) => [
      name,
      createCaller({ account: name, apiKey: keys[name] ?? '', seeds }),
    ]),
  );
  const pending: Promise<void>[] = [];
  const keyPrefix = settings.seed.toString(36);
  const arrivals: { readonly at: number; readonly send: (index: number) => Promise<void> }[] = [];
  const drawArrivals = (rate: number, send: (index: number) => Promise<void>): void => {
    for (let at = 0; ;) {
      at += (-Math.log(1 - random()) * 1_000) / rate;
      if (at > settings.seconds * 1_000) return;
      arrivals.push({ at, send });
    }
  };
  for (const { name, requestsPerSecond } of settings.accounts) {
    const caller = callers.get(name);
    if (!caller) continue;
    drawArrivals(requestsPerSecond, (index) => {
      const prompt = `Question ${index.toString()} of ${name}: où régler la selle de Zoë?`;
      return sendStreamRequest(settings, caller, prompt, random() < settings.hangUpShare, counter);
    });
  }
  const [first] = callers.values();
  if (settings.bookingsPerSecond > 0 && first) {
    drawArrivals(settings.bookingsPerSecond, (index) =>
      sendBooking(settings, first, `load-${keyPrefix}-${index.toString()}`, counter),
    );
  }
  arrivals.sort((left, right) => left.at - right.at);
  arrivals.splice(settings.maximumRequests);
  await Promise.all([...callers.values()].map((caller) => caller.refreshAddresses()));

  const usageBefore = site.readUsage();
  const startedAt = performance.now();
  const concurrentAction = options.runDuringLoad?.();
  for (const [index, arrival] of arrivals.entries()) {
    const wait = arrival.at - (performance.now() - startedAt);
    if (wait > 1) await sleep(wait);
    pending.push(arrival.send(index));
  }
  await Promise.race([Promise.all([...pending, concurrentAction]), sleep(DRAIN_MILLISECONDS)]);
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  const usage = site.readUsage();
  const processorSeconds = sumProcessor(usage) - sumProcessor(usageBefore);
  const counts = await readCounts(site.serviceAddress);
  for (const caller of callers.values()) caller.close();
  const refused = counter.answers.filter(({ status }) => status >= 400).length;
  const answered = counter.answers.filter(({ isComplete }) => isComplete);
  const memory = usage.map(({ memoryMegabytes }) => memoryMegabytes);
  return {
    asked: counter.sent,
    whole: counter.complete,
    wrong: counter.wrong,
    refused,
    hungUp: counter.disconnected,
    cut: counter.sent - counter.complete - counter.wrong - refused - counter.disconnected,
    bookingsAsked: counter.bookingsSent,
    bookingsAnswered: counter.bookingsAnswered,
    bookingsWrong: counter.bookingsWrong,
    bookingsRunTwice: Object.values(counts).filter((count) => count > 1).length,
    falseNotRun: counter.notExecuted.filter((key) => key in counts).length,
    requestsPerSecond: round(counter.complete / elapsedSeconds),
    tokensPerSecond: round(counter.tokens / elapsedSeconds),
    firstToken: summarizeValues(
      answered.map(({ firstTokenMilliseconds }) => firstTokenMilliseconds),
    ),
    betweenTokens: summarizeValues(answered.flatMap(({ gaps }) => gaps)),
    wholeAnswer: summarizeValues(answered.map(({ totalMilliseconds }) => totalMilliseconds)),
    processorPercentPerNode: round((100 * processorSeconds) / elapsedSeconds / usage.length),
    processorMicrosecondsPerToken: round(
      (processorSeconds * 1_000_000) / Math.max(1, counter.tokens),
    ),
    memoryMegabytesPerNode: round(memory.reduce((sum, value) => sum + value, 0) / memory.length),
    errors: counter.errors,
  };
}
