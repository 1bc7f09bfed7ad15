/**
 * The steps of the demonstration, and what they show.
 */
import { readFileSync } from 'node:fs';
import type { Row } from '../../src/commands/printOutput/index.js';
import type { Caller, StreamedAnswer } from '../../bench/createCaller/index.js';
import { summarizeValues } from '../../bench/summarizeValues/index.js';
import { startExample, type Example } from '../../bench/startExample/index.js';
import { generateAnswer } from '../../standins/generateToken/index.js';
import { computeReference } from '../../standins/serveService/index.js';
import { sleep } from '../../bench/sleep/index.js';

/** What the demonstration found. */
export interface DemoSummary {
  readonly isKept: boolean;
  readonly rows: readonly Row[];
  readonly classes: readonly Row[];
  readonly result: Record<string, unknown>;
}

interface Question {
  readonly account: string;
  readonly question: string;
}

interface Tally {
  whole: number;
  wrong: number;
  bookingsAsked: number;
  bookingsAnswered: number;
  bookingsWrong: number;
  readonly notRun: string[];
  readonly answers: { readonly account: string; readonly answer: StreamedAnswer }[];
}

type Report = (text: string) => void;

const BOOKINGS = 24;
const CANCELLATIONS = 6;
const DOWN_MILLISECONDS = 4_000;
const DRAIN_LIMIT_MILLISECONDS = 20_000;
const WAVE = 8;

function readQuestions(folder: string): Question[] {
  return readFileSync(`${folder}/questions.jsonl`, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Question);
}

function checkAnswer(
  example: Example,
  question: Question,
  answer: StreamedAnswer,
  tally: Tally,
): void {
  const { model, version } = example;
  const expected = generateAnswer({ model, version, adapter: '', prompt: question.question }, 64);
  tally.answers.push({ account: question.account, answer });
  if (answer.isWhole && answer.text === expected) tally.whole += 1;
  else tally.wrong += 1;
}

class Session {
  private readonly callers = new Map<string, Caller>();

  public constructor(
    private readonly example: Example,
    private readonly tally: Tally,
  ) {}

  public findCaller(account: string): Caller {
    const caller = this.callers.get(account) ?? this.example.createCaller(account);
    this.callers.set(account, caller);
    return caller;
  }

  public async ask(
    question: Question,
    onToken?: (count: number, address: string) => void,
  ): Promise<StreamedAnswer> {
    const answer = await this.findCaller(question.account).stream({
      model: this.example.model,
      prompt: question.question,
      ...(onToken && { onToken }),
    });
    checkAnswer(this.example, question, answer, this.tally);
    return answer;
  }

  public async book(account: string, key: string, method: string, path: string): Promise<void> {
    const body = JSON.stringify({ account, bay: key });
    this.tally.bookingsAsked += 1;
    const answer = await this.findCaller(account).book({
      path: `/v1/services/${this.example.service}${path}`,
      method,
      key,
      body,
    });
    if (answer.status === 200) {
      this.tally.bookingsAnswered += 1;
      if (!answer.body.includes(computeReference(key, body))) this.tally.bookingsWrong += 1;
    }
    if (answer.body.includes('"not-run"')) this.tally.notRun.push(key);
  }
}

async function askAll(session: Session, questions: readonly Question[]): Promise<void> {
  for (let start = 0; start < questions.length; start += WAVE) {
    await Promise.all(
      questions.slice(start, start + WAVE).map((question) => session.ask(question)),
    );
  }
}

async function bookAll(
  example: Example,
  session: Session,
  accounts: readonly string[],
): Promise<void> {
  const [first] = example.site.services;
  first?.faults.add({ kind: 'dropReply', target: 'appointments', count: 1 });
  example.site.platform.faults.add({ kind: 'dropReply', target: 'compareAndSwap', count: 3 });
  const choose = (index: number): string => accounts[index % accounts.length] ?? '';
  const bookings = Array.from({ length: BOOKINGS }, (_, index) =>
    session.book(choose(index), `booking-${index.toString()}`, 'POST', '/appointments'),
  );
  const twice = session.book(choose(0), 'booking-0', 'POST', '/appointments');
  await Promise.all([...bookings, twice]);
  const cancellations = Array.from({ length: CANCELLATIONS }, (_, index) =>
    session.book(
      choose(index),
      `cancel-${index.toString()}`,
      'DELETE',
      `/appointments/${index.toString()}`,
    ),
  );
  await Promise.all(cancellations);
}

async function killStage(
  example: Example,
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
    busiest?.die(DOWN_MILLISECONDS);
  };
  await Promise.all(questions.slice(0, WAVE).map((question) => session.ask(question, kill)));
  return killed;
}

async function killNode(
  example: Example,
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
  await Promise.all(questions.slice(0, WAVE).map((question) => session.ask(question, kill)));
  return killed;
}

async function stopNode(
  example: Example,
  session: Session,
  questions: readonly Question[],
  excluded: string,
): Promise<{ name: string; code: number }> {
  const node = example.nodes.find(
    ({ name }) => name !== excluded && name !== example.nodes[0]?.name,
  );
  if (!node) return { name: '', code: -1 };
  const load = askAll(session, questions);
  node.leave();
  const code = await Promise.race([node.ended, sleep(DRAIN_LIMIT_MILLISECONDS).then(() => -1)]);
  await load;
  return { name: node.name, code };
}

function summarizeClasses(example: Example, tally: Tally): Row[] {
  const labels = JSON.parse(readFileSync(`${example.folder}/labels.json`, 'utf8')) as {
    name: string;
    labels: { class: string };
  }[];
  const classOf = new Map(labels.map((entry) => [entry.name, entry.labels.class]));
  const groups = new Map<string, StreamedAnswer[]>();
  for (const { account, answer } of tally.answers) {
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
 * @param report - called with the progress
 * @returns what was found
 * @example
 * await runDemo('fit-desk', console.log);
 */
export async function runDemo(siteName: string, report: Report): Promise<DemoSummary> {
  const example = await startExample({ site: siteName, onProgress: report });
  report('the fleet has its declared shape');
  const tally: Tally = {
    whole: 0,
    wrong: 0,
    bookingsAsked: 0,
    bookingsAnswered: 0,
    bookingsWrong: 0,
    notRun: [],
    answers: [],
  };
  const session = new Session(example, tally);
  const questions = readQuestions(example.folder);
  const accounts = [...new Set(questions.map(({ account }) => account))];
  const addresses = await session.findCaller(accounts[0] ?? '').refresh();
  report(`${accounts[0] ?? ''} is told to use ${addresses.join(', ')}`);
  await askAll(session, questions);
  report(`${tally.whole.toString()} of ${questions.length.toString()} questions answered whole`);
  await bookAll(example, session, accounts);
  report(
    `${tally.bookingsAsked.toString()} bookings and cancellations asked, with replies lost on the way`,
  );
  const stage = await killStage(example, session, questions);
  report(`${stage} was killed in mid-answer`);
  const node = await killNode(example, session, questions);
  report(`${node} was killed in mid-answer; its callers resumed elsewhere`);
  const stopped = await stopNode(example, session, questions, node);
  report(`${stopped.name} left gracefully with exit code ${stopped.code.toString()}`);

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
  const falseNotRun = tally.notRun.filter((key) => example.site.counts.has(key)).length;
  const runTwice = counts.filter((count) => count > 1).length;
  const result = {
    site: siteName,
    answersWhole: tally.whole,
    answersWrong: tally.wrong,
    layerViolations,
    bookingsAsked: tally.bookingsAsked,
    bookingsRunOnce: counts.filter((count) => count === 1).length,
    bookingsRunTwice: runTwice,
    bookingsAnswered: tally.bookingsAnswered,
    bookingsAnsweredWrong: tally.bookingsWrong,
    falseNotRun,
    recoveries: recoveries.reduce((sum, { count }) => sum + count, 0),
    recoveryMilliseconds: Math.round(recoveryMilliseconds),
    gracefulExitCode: stopped.code,
    classes: summarizeClasses(example, tally),
  };
  const broken = tally.wrong + layerViolations + runTwice + tally.bookingsWrong + falseNotRun;
  const rows = Object.entries(result).flatMap(([what, value]) =>
    typeof value === 'object' ? [] : [{ what, value }],
  );
  const classes = summarizeClasses(example, tally);
  await example.close();
  return { isKept: broken === 0 && stopped.code === 0, rows, classes, result };
}
