/**
 * Model requests from admission to the last token, over as many attempts as it takes.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { ResultCodeName } from '../../process/resultCodes/index.js';
import type { Selector } from '../../types/configuration/index.js';
import type { TokenLine } from '../../types/endpoint/index.js';
import { type Account, type CompiledVersion } from '../../version/compileVersion/index.js';
import { listSelectors, selectServed } from '../../version/selectServed/index.js';
import { answerError } from '../answerError/index.js';
import type { AttemptFailure, Attempts } from '../createAttempts/index.js';
import type { Pool, Pools, ServedModel } from '../createPools/index.js';
import {
  createStreamTemplate,
  formatToken,
  formatWholeAnswer,
  type StreamTemplate,
} from '../formatTokens/index.js';
import type { Completion } from '../readCompletion/index.js';

/** Options of {@link ModelRequests.start}. */
export interface StartModelRequestOptions {
  readonly request: string;
  readonly account: Account;
  readonly completion: Completion;
  readonly version: CompiledVersion;
}

/** The model requests of one node. */
export interface ModelRequests {
  readonly start: (options: StartModelRequestOptions) => void;
  readonly cancel: (request: string) => void;
  /** Ends every request at once; used when a drain has reached its bound. */
  readonly interruptAll: () => void;
  readonly count: () => number;
}

/** Options of {@link createModelRequests}. */
export interface CreateModelRequestsOptions {
  readonly context: NodeContext;
  readonly pools: Pools;
  readonly attempts: Attempts;
}

interface ActiveRequest {
  readonly id: string;
  readonly account: Account;
  readonly completion: Completion;
  readonly pool: Pool;
  readonly template: StreamTemplate;
  readonly answerId: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly promptTokens: number;
  readonly cost: number;
  readonly texts: string[];
  readonly excluded: Set<string>;
  admittedAt: number;
  nextIndex: number;
  attempt: string;
  wasSent: boolean;
  isStreaming: boolean;
  faultAt: number;
  deliveredAt: number;
  /** Start and number of the tokens that the next slowdown is computed over. */
  sampledAt: number;
  sampledTokens: number;
  /** Time that a token takes on the chain without load; 0 once the answer was resumed. */
  unloadedMilliseconds: number;
  deadlineTimer: string;
  retryTimer: string;
}

const CHARACTERS_PER_TOKEN = 4;
const SLOWDOWN_TOKENS = 4;
const NO_CHAIN_RETRY_MILLISECONDS = 100;
const NO_ENDPOINT_RETRY_MILLISECONDS = 1_000;

/** Weight of an account's flow for each step of priority. */
const PRIORITY_WEIGHT = 1.5;

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

function chooseSelector(
  context: NodeContext,
  options: StartModelRequestOptions,
): Selector | undefined {
  const { version, account, completion } = options;
  const wanted = { version, account, kind: 'model' as const, name: completion.model };
  const { resume } = completion;
  if (!resume) return selectServed({ ...wanted, draw: context.random() });
  return listSelectors(wanted).find(({ name }) => name === resume.selector);
}

/** Flow of a client account in a pool's queue. */
function nameFlow(account: Account): string {
  return `${account.class}/${account.name}`;
}

/**
 * Creates the model requests of one node.
 *
 * @param options - the node's context, pools and attempts
 * @returns the requests
 * @example
 * createModelRequests({ context, pools, attempts }).start({ request, account, completion, version });
 */
export function createModelRequests(options: CreateModelRequestsOptions): ModelRequests {
  const { context, pools, attempts } = options;
  const requests = new Map<string, ActiveRequest>();

  const remove = (active: ActiveRequest, isWhole = false): void => {
    requests.delete(active.id);
    context.cancel(active.deadlineTimer);
    context.cancel(active.retryTimer);
    attempts.cancel(active.attempt);
    active.pool.gate.abandon(active.id);
    if (active.admittedAt >= 0) {
      const { cost, admittedAt: startedAt } = active;
      const flow = nameFlow(active.account);
      active.pool.gate.release({ flow, cost, startedAt, now: context.now(), isWhole });
    }
  };
  const refuse = (
    active: ActiveRequest,
    code: ResultCodeName,
    retryMilliseconds?: number,
  ): void => {
    remove(active);
    context.count(`requests_${code}`);
    const { id: request } = active;
    if (!active.isStreaming) {
      context.emit(answerError({ request, code, retryAfterMilliseconds: retryMilliseconds }));
      return;
    }
    const { body } = answerError({ request, code }) as { body: string };
    context.emit({ kind: 'streamData', request, data: `event: error\ndata: ${body}\n\n` });
    context.emit({ kind: 'streamEnd', request });
  };
  const expire = (active: ActiveRequest): void => {
    refuse(active, active.wasSent ? 'interrupted' : 'overloaded', NO_ENDPOINT_RETRY_MILLISECONDS);
  };
  const startAttempt = (active: ActiveRequest): void => {
    const { pool, completion } = active;
    const attempt = attempts.start({
      pool: pools.find(pool.selector, pool.served),
      prompt: completion.prompt,
      promptTokens: active.promptTokens,
      startIndex: active.nextIndex,
      maximumTokens: completion.maximumTokens,
      excluded: active.excluded,
      onTokens: (lines) => {
        deliver(active, lines);
      },
      onFailure: (failure) => {
        recover(active, failure);
      },
    });
    if (attempt !== undefined) {
      active.attempt = attempt.id;
      active.unloadedMilliseconds = active.wasSent ? 0 : attempt.tokenMilliseconds;
      return;
    }
    active.attempt = '';
    if (!active.wasSent) {
      refuse(active, 'noEndpoint', NO_ENDPOINT_RETRY_MILLISECONDS);
      return;
    }
    active.excluded.clear();
    scheduleRetry(active, NO_CHAIN_RETRY_MILLISECONDS);
  };
  const scheduleRetry = (active: ActiveRequest, delayMilliseconds: number): void => {
    active.retryTimer = context.schedule(delayMilliseconds, () => {
      retry(active);
    });
  };
  const retry = (active: ActiveRequest): void => {
    const wait = active.pool.budget.take(context.now());
    if (wait > 0) {
      scheduleRetry(active, wait);
      return;
    }
    context.count('attempts_retried');
    startAttempt(active);
  };
  const recover = (active: ActiveRequest, failure: AttemptFailure): void => {
    active.wasSent ||= failure.sent;
    if (active.faultAt < 0) active.faultAt = failure.faultAt;
    active.excluded.clear();
    for (const suspect of failure.suspects) active.excluded.add(suspect);
    context.log('warn', 'attempt-failed', {
      requestId: active.id,
      account: active.account.name,
      fault: failure.fault,
      suspects: failure.suspects.join(','),
      nextIndex: active.nextIndex,
    });
    retry(active);
  };
  /** Tells the pool's limit how slow tokens come, once every few tokens. */
  const observeSlowdown = (active: ActiveRequest, count: number): void => {
    active.sampledTokens += count;
    if (active.sampledTokens < SLOWDOWN_TOKENS || active.unloadedMilliseconds === 0) return;
    const gap = (context.now() - active.sampledAt) / active.sampledTokens;
    const { gate, leastTokenMilliseconds } = active.pool;
    const accepted = Math.max(active.unloadedMilliseconds, leastTokenMilliseconds);
    gate.observe(Math.max(1, gap / accepted));
    active.sampledTokens = 0;
    active.sampledAt = context.now();
  };
  const observeDelivery = (active: ActiveRequest, count: number): void => {
    const now = context.now();
    const { name, class: accountClass } = active.account;
    if (active.faultAt >= 0) {
      context.observe('recovery', name, accountClass, now - active.faultAt);
      active.faultAt = -1;
    }
    if (active.deliveredAt < 0) {
      context.observe('firstToken', name, accountClass, now - active.arrivedAt);
      active.sampledAt = now;
    } else {
      context.observe('betweenTokens', name, accountClass, (now - active.deliveredAt) / count);
      observeSlowdown(active, count);
    }
    active.deliveredAt = now;
  };
  const deliver = (active: ActiveRequest, lines: readonly TokenLine[]): void => {
    active.wasSent = true;
    observeDelivery(active, lines.length);
    let data = '';
    for (const line of lines) {
      active.nextIndex = line.index + 1;
      if (active.completion.stream) data += formatToken(active.template, line.index, line.text);
      else active.texts.push(line.text);
    }
    context.emit({ kind: 'count', counter: 'tokens_delivered' });
    if (active.completion.stream) context.emit({ kind: 'streamData', request: active.id, data });
    if (lines.at(-1)?.last === true) finish(active);
  };
  const finish = (active: ActiveRequest): void => {
    remove(active, true);
    const { name, class: accountClass } = active.account;
    context.observe('wholeAnswer', name, accountClass, context.now() - active.arrivedAt);
    context.count('requests_answered');
    const { id: request, completion } = active;
    if (completion.stream) {
      context.emit({ kind: 'streamData', request, data: active.template.ending });
      context.emit({ kind: 'streamEnd', request });
      return;
    }
    const body = formatWholeAnswer({
      form: completion.form,
      answerId: active.answerId,
      model: completion.model,
      text: active.texts.join(''),
      promptTokens: active.promptTokens,
      completionTokens: active.texts.length,
    });
    const headers = { 'content-type': 'application/json' };
    context.emit({ kind: 'answer', request, status: 200, headers, body });
  };
  const openStream = (active: ActiveRequest): void => {
    active.isStreaming = true;
    context.emit({ kind: 'streamStart', request: active.id, headers: STREAM_HEADERS });
  };
  const admit = (active: ActiveRequest): void => {
    const now = context.now();
    active.admittedAt = now;
    const { name, class: accountClass } = active.account;
    context.observe('queueing', name, accountClass, now - active.arrivedAt);
    active.pool.budget.addRequest();
    if (active.nextIndex >= active.completion.maximumTokens) {
      if (active.completion.stream) openStream(active);
      finish(active);
      return;
    }
    startAttempt(active);
    if (requests.has(active.id) && active.completion.stream) openStream(active);
  };
  const create = (
    start: StartModelRequestOptions,
    selector: Selector,
    served: ServedModel,
  ): ActiveRequest => {
    const { request: id, account, completion } = start;
    const answerId = `answer-${completion.digest}`;
    const { resume } = completion;
    const pool = resume
      ? pools.find(selector, { ...served, version: resume.version, adapter: resume.adapter })
      : pools.findServable(selector, served);
    const { version, adapter } = pool.served;
    const promptTokens = Math.ceil(completion.prompt.length / CHARACTERS_PER_TOKEN);
    const now = context.now();
    return {
      id,
      account,
      completion,
      pool,
      template: createStreamTemplate({
        form: completion.form,
        answerId,
        model: completion.model,
        resumePrefix: `${selector.name}:${version}:${adapter}:${completion.digest}`,
      }),
      answerId,
      arrivedAt: now,
      deadlineAt: now + completion.deadlineMilliseconds,
      promptTokens,
      cost: promptTokens + completion.maximumTokens,
      texts: [],
      excluded: new Set(),
      admittedAt: -1,
      nextIndex: completion.resume?.nextIndex ?? 0,
      attempt: '',
      wasSent: false,
      isStreaming: false,
      faultAt: -1,
      deliveredAt: -1,
      sampledAt: -1,
      sampledTokens: 0,
      unloadedMilliseconds: 0,
      deadlineTimer: '',
      retryTimer: '',
    };
  };
  const enqueue = (active: ActiveRequest): void => {
    const { id, account, cost, deadlineAt, pool } = active;
    const weight = account.weight * PRIORITY_WEIGHT ** pool.selector.priority;
    const flow = nameFlow(account);
    pool.gate.offer(
      {
        id,
        flow,
        weight,
        cost,
        queuedAt: active.arrivedAt,
        deadlineAt,
        start: () => {
          admit(active);
        },
        refuse: (retryAfterMilliseconds) => {
          refuse(active, 'overloaded', retryAfterMilliseconds);
        },
      },
      context.now(),
    );
  };

  return {
    start: (start) => {
      const { request, completion } = start;
      const selector = chooseSelector(context, start);
      if (selector?.serve.kind !== 'model') {
        const message = `no selector serves the model '${completion.model}' to this client account`;
        context.emit(answerError({ request, code: 'notFound', message }));
        return;
      }
      const active = create(start, selector, selector.serve);
      requests.set(request, active);
      active.deadlineTimer = context.schedule(completion.deadlineMilliseconds, () => {
        expire(active);
      });
      enqueue(active);
    },
    cancel: (request) => {
      const active = requests.get(request);
      if (!active) return;
      context.count('requests_cancelled');
      remove(active);
    },
    interruptAll: () => {
      for (const active of [...requests.values()]) refuse(active, 'interrupted');
    },
    count: () => requests.size,
  };
}
