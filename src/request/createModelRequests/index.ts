/**
 * Model requests from admission to the last token, over one or more attempts.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { ResultCodeName } from '../../process/resultCodes/index.js';
import type { TokenLine } from '../../types/endpoint/index.js';
import { createErrorResponse } from '../createErrorResponse/index.js';
import {
  chooseSelector,
  createActiveRequest,
  nameFlow,
  type ActiveRequest,
  type StartModelRequestOptions,
} from '../createActiveRequest/index.js';
import type { Attempts } from '../createAttempts/index.js';
import type { Pools } from '../createPools/index.js';
import { formatBufferedResponse, formatToken } from '../formatTokens/index.js';
import type { AttemptFailure } from '../createRunningAttempt/index.js';
import { observeDelivery } from '../observeDelivery/index.js';

/** Component of a node that runs model requests. */
export interface ModelRequests {
  readonly start: (options: StartModelRequestOptions) => void;
  readonly cancel: (request: string) => void;
  /** Interrupts all requests immediately; used when a drain has reached its time limit. */
  readonly interruptAll: () => void;
  readonly count: () => number;
}

/** Options of {@link createModelRequests}. */
export interface CreateModelRequestsOptions {
  readonly context: NodeContext;
  readonly pools: Pools;
  readonly attempts: Attempts;
}

const NO_CHAIN_RETRY_MILLISECONDS = 100;
const NO_ENDPOINT_RETRY_MILLISECONDS = 1_000;

/** Factor on the weight of an account's flow for each step of priority. */
const PRIORITY_WEIGHT = 1.5;

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

/**
 * Creates the component of a node that runs model requests.
 *
 * @param options - the node's context, pools and attempts
 * @returns the component
 * @example
 * createModelRequests({ context, pools, attempts }).start({ request, account, completion, version });
 */
export function createModelRequests(options: CreateModelRequestsOptions): ModelRequests {
  const { context, pools, attempts } = options;
  const requests = new Map<string, ActiveRequest>();

  const remove = (active: ActiveRequest, isComplete = false): void => {
    requests.delete(active.id);
    context.cancel(active.deadlineTimer);
    context.cancel(active.retryTimer);
    attempts.cancel(active.attempt);
    active.pool.gate.abandon(active.id);
    if (active.admittedAt >= 0) {
      const { cost, admittedAt: startedAt } = active;
      const flow = nameFlow(active.account);
      active.pool.gate.release({ flow, cost, startedAt, now: context.now(), isComplete });
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
      context.emit(
        createErrorResponse({ request, code, retryAfterMilliseconds: retryMilliseconds }),
      );
      return;
    }
    const { body } = createErrorResponse({ request, code }) as { body: string };
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
    if (active.failedAt < 0) active.failedAt = failure.failedAt;
    active.excluded.clear();
    for (const suspect of failure.suspects) active.excluded.add(suspect);
    context.log('warn', 'attempt-failed', {
      requestId: active.id,
      account: active.account.name,
      fault: failure.reason,
      suspects: failure.suspects.join(','),
      nextIndex: active.nextIndex,
    });
    retry(active);
  };
  const deliver = (active: ActiveRequest, lines: readonly TokenLine[]): void => {
    active.wasSent = true;
    observeDelivery(context, active, lines.length);
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
    const body = formatBufferedResponse({
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
        context.emit(createErrorResponse({ request, code: 'notFound', message }));
        return;
      }
      const now = context.now();
      const active = createActiveRequest({ start, selector, served: selector.serve, pools, now });
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
