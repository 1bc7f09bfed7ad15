/**
 * Steps of the demonstration and the summary of their results.
 */
import { readFileSync } from 'node:fs';
import type { Row } from '../../src/commands/printOutput/index.js';
import type { Caller, StreamedResponse } from '../../bench/createCaller/index.js';
import { summarizeValues } from '../../bench/summarizeValues/index.js';
import { startExample, type RunningExample } from '../../bench/startExample/index.js';
import { generateAnswer } from '../../standins/generateToken/index.js';
import { computeReference } from '../../standins/serveService/index.js';
import { sleep } from '../../bench/sleep/index.js';

/** Results of the demonstration. */
export interface DemoSummary {
  readonly isPassed: boolean;
  readonly rows: readonly Row[];
  readonly classes: readonly Row[];
  readonly result: Record<string, unknown>;
}

interface Question {
  readonly account: string;
  readonly question: string;
}

interface DemoCounters {
  complete: number;
  wrong: number;
  bookingsRequested: number;
  bookingsAnswered: number;
  bookingsWrong: number;
  readonly notRun: string[];
  readonly answers: { readonly account: string; readonly answer: StreamedResponse }[];
}

type ReportProgress = (text: string) => void;

const BOOKINGS = 24;
const CANCELLATIONS = 6;
const ENGINE_DOWNTIME_MILLISECONDS = 4_000;
const DRAIN_LIMIT_MILLISECONDS = 20_000;
const CONCURRENT_QUESTIONS = 8;

function readQuestions(folder: string): Question[] {
  return readFileSync(`${folder}/questions.jsonl`, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Question);
}

function checkAnswer(
  example: RunningExample,
  question: Question,
  answer: StreamedResponse,
  counters: DemoCounters,
): void {
  const { model, version } = example;
  const expected = generateAnswer({ model, version, adapter: '', prompt: question.question }, 64);
  counters.answers.push({ account: question.account, answer });
  if (answer.isComplete && answer.text === expected) counters.complete += 1;
  else counters.wrong += 1;
}

class Session {
  private readonly callers = new Map<string, Caller>();

  public constructor(
    private readonly example: RunningExample,
    private readonly counters: DemoCounters,
  ) {}

  public findCaller(account: string): Caller {
    const caller = this.callers.get(account) ?? this.example.createCaller(account);
    this.callers.set(account, caller);
    return caller;
  }

  public async sendQuestion(
    question: Question,
    onToken?: (count: number, address: string) => void,
  ): Promise<StreamedResponse> {
    const answer = await this.findCaller(question.account).stream({
      model: this.example.model,
      prompt: question.question,
      ...(onToken && { onToken }),
    });
    checkAnswer(this.example, question, answer, this.counters);
    return answer;
  }

  public async sendBooking(
    account: string,
    idempotencyKey: string,
    method: string,
    path: string,
  ): Promise<void> {
    const body = JSON.stringify({ account, bay: idempotencyKey });
    this.counters.bookingsRequested += 1;
    const answer = await this.findCaller(account).book({
      path: `/v1/services/${this.example.service}${path}`,
      method,
      idempotencyKey,
      body,
    });
    if (answer.status === 200) {
      this.counters.bookingsAnswered += 1;
      if (!answer.body.includes(computeReference(idempotencyKey, body)))
        this.counters.bookingsWrong += 1;
    }
    if (answer.body.includes('"not-run"')) this.counters.notRun.push(idempotencyKey);
  }
}

async function sendQuestions(session: Session, questions: readonly Question[]): Promise<void> {
  for (let start = 0; start < questions.length; start += CONCURRENT_QUESTIONS) {
    await Promise.all(
      questions
        .slice(start, start + CONCURRENT_QUESTIONS)
        .map((question) => session.sendQuestion(question)),
    );
  }
}

async function sendBookings(
  example: RunningExample,
  session: Session,
  accounts: readonly string[],
): Promise<void> {
  const [first] = example.site.services;
  first?.faults.add({ kind: 'dropReply', target: 'appointments', count: 1 });
  example.site.platform.faults.add({ kind: 'dropReply', target: 'compareAndSwap', count: 3 });
  const choose = (index: number): string => accounts[index % accounts.length] ?? '';
  const bookings = Array.from({ length: BOOKINGS }, (_, index) =>
    session.sendBooking(choose(index), `booking-${index.toString()}`, 'POST', '/appointments'),
  );
  const duplicate = session.sendBooking(choose(0), 'booking-0', 'POST', '/appointments');
  await Promise.all([...bookings, duplicate]);
  const cancellations = Array.from({ length: CANCELLATIONS }, (_, index) =>
    session.sendBooking(
      choose(index),
      `cancel-${index.toString()}`,
      'DELETE',
      `/appointments/${index.toString()}`,
    ),
  );
  await Promise.all(cancellations);
}

async function killBusiestEngine(
  example: RunningExample,
  session: Session,
  questions: readonly Question[],
): Promise<string> {
  let killed = '';
  const kill = (count: number): void => {
    if (killed !== '' || count < 4) return;
    const busiest = [...example.site.engines.values()].sort(
      (left, right) => right.active() - left.active(),
    )[0];
    killed = busiest?.name ?? '';
    busiest?.crash(ENGINE_DOWNTIME_MILLISECONDS);
  };
  await Promise.all(
    questions
      .slice(0, CONCURRENT_QUESTIONS)
      .map((question) => session.sendQuestion(question, kill)),
  );
  return killed;
}

async function killNode(
  example: RunningExample,
  session: Session,
  questions: readonly Question[],
): Promise<string> {
  let killed = '';
  const kill = (count: number, address: string): void => {
    if (killed !== '' || count < 5) return;
    const node = example.nodes.find((candidate) => candidate.callerAddress === address);
    killed = node?.name ?? '';
    void node?.kill();
  };
  await Promise.all(
    questions
      .slice(0, CONCURRENT_QUESTIONS)
      .map((question) => session.sendQuestion(question, kill)),
  );
  return killed;
}

async function stopNode(
  example: RunningExample,
  session: Session,
  questions: readonly Question[],
  excluded: string,
): Promise<{ name: string; code: number }> {
  const node = example.nodes.find(
    ({ name }) => name !== excluded && name !== example.nodes[0]?.name,
  );
  if (!node) return { name: '', code: -1 };
  const load = sendQuestions(session, questions);
  node.leave();
  const code = await Promise.race([node.ended, sleep(DRAIN_LIMIT_MILLISECONDS).then(() => -1)]);
  await load;
  return { name: node.name, code };
}

function summarizeClasses(example: RunningExample, counters: DemoCounters): Row[] {
  const labels = JSON.parse(readFileSync(`${example.folder}/labels.json`, 'utf8')) as {
    name: string;
    labels: { class: string };
  }[];
  const classOf = new Map(labels.map((entry) => [entry.name, entry.labels.class]));
  const groups = new Map<string, StreamedResponse[]>();
  for (const { account, answer } of counters.answers) {
    const name = classOf.get(account) ?? '';
    groups.set(name, [...(groups.get(name) ?? []), answer]);
  }
  return [...groups.entries()].map(([name, answers]) => {
    const first = summarizeValues(answers.map((answer) => answer.firstTokenMilliseconds));
    const gaps = summarizeValues(answers.flatMap((answer) => answer.gaps));
    return {
      class: name,
      answers: answers.length,
      'first token p50 ms': first.p50,
      'p95 ms': first.p95,
      'between tokens p50 ms': gaps.p50,
      'p95 ms ': gaps.p95,
      'longest ms': gaps.maximum,
    };
  });
}

/**
 * Runs the demonstration.
 *
 * @param siteName - folder under `examples`
 * @param report - called with a line of text for each step
 * @returns the results, with `isPassed` set when no check failed
 * @example
 * await runDemo('fit-desk', console.log);
 */
export async function runDemo(siteName: string, report: ReportProgress): Promise<DemoSummary> {
  const example = await startExample({ site: siteName, onProgress: report });
  report('all engines host their declared layers');
  const counters: DemoCounters = {
    complete: 0,
    wrong: 0,
    bookingsRequested: 0,
    bookingsAnswered: 0,
    bookingsWrong: 0,
    notRun: [],
    answers: [],
  };
  const session = new Session(example, counters);
  const questions = readQuestions(example.folder);
  const accounts = [...new Set(questions.map(({ account }) => account))];
  const addresses = await session.findCaller(accounts[0] ?? '').refreshAddresses();
  report(`${accounts[0] ?? ''} resolved the node addresses ${addresses.join(', ')}`);
  await sendQuestions(session, questions);
  report(
    `${counters.complete.toString()} of ${questions.length.toString()} questions answered completely`,
  );
  await sendBookings(example, session, accounts);
  report(
    `${counters.bookingsRequested.toString()} bookings and cancellations requested, with injected loss of replies`,
  );
  const stage = await killBusiestEngine(example, session, questions);
  report(`engine ${stage} was killed during its answers`);
  const node = await killNode(example, session, questions);
  report(`${node} was killed during its answers; its callers resumed at other nodes`);
  const stopped = await stopNode(example, session, questions, node);
  report(`${stopped.name} shut down gracefully with exit code ${stopped.code.toString()}`);

  const counts = [...example.site.counts.values()];
  const recoveries = example.nodes
    .flatMap(({ histograms }) => histograms.summarize())
    .filter(({ metric }) => metric === 'recovery');
  const layerViolations = example.nodes.reduce(
    (sum, { histograms }) =>
      sum + (histograms.readCounters().get('tokens_dropped_wrong_layers') ?? 0),
    0,
  );
  const recoveryMilliseconds = Math.max(0, ...recoveries.map(({ maximum }) => maximum));
  const falseNotRun = counters.notRun.filter((key) => example.site.counts.has(key)).length;
  const runTwice = counts.filter((count) => count > 1).length;
  const result = {
    site: siteName,
    answersWhole: counters.complete,
    answersWrong: counters.wrong,
    layerViolations,
    bookingsAsked: counters.bookingsRequested,
    bookingsRunOnce: counts.filter((count) => count === 1).length,
    bookingsRunTwice: runTwice,
    bookingsAnswered: counters.bookingsAnswered,
    bookingsAnsweredWrong: counters.bookingsWrong,
    falseNotRun,
    recoveries: recoveries.reduce((sum, { count }) => sum + count, 0),
    recoveryMilliseconds: Math.round(recoveryMilliseconds),
    gracefulExitCode: stopped.code,
    classes: summarizeClasses(example, counters),
  };
  const violations =
    counters.wrong + layerViolations + runTwice + counters.bookingsWrong + falseNotRun;
  const rows = Object.entries(result).flatMap(([what, value]) =>
    typeof value === 'object' ? [] : [{ what, value }],
  );
  const classes = summarizeClasses(example, counters);
  await example.close();
  return { isPassed: violations === 0 && stopped.code === 0, rows, classes, result };
}
