/**
 * Attempts: each runs the remaining tokens of an answer on one chain of engines.
 */
import { addGap } from '../../connection/estimateGap/index.js';
import type { Fleet } from '../../connection/createFleet/index.js';
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Stage, TokenLine } from '../../types/endpoint/index.js';
import { chooseChain } from '../chooseChain/index.js';
import type { PrefixIndex } from '../createPrefixIndex/index.js';
import {
  createRunningAttempt,
  getStallTimeout,
  type AttemptFailure,
  type RunningAttempt,
  type StartAttemptOptions,
} from '../createRunningAttempt/index.js';
import { checkToken } from '../checkToken/index.js';
import { checkLines, ENDED_ATTEMPT_COUNTER } from '../checkLines/index.js';
import { setChainCosts } from '../setChainCosts/index.js';

/** An attempt that has been started. */
export interface StartedAttempt {
  readonly id: string;
  /** Time of one token on the chain without load, in milliseconds. */
  readonly tokenMilliseconds: number;
}

/** Component of a node that starts attempts and follows them to their end. */
export interface Attempts {
  /** Starts an attempt; returns undefined when no chain can run it. */
  readonly start: (options: StartAttemptOptions) => StartedAttempt | undefined;
  /** Cancels an attempt that is no longer needed. */
  readonly cancel: (attempt: string) => void;
  readonly receiveTokens: (attempt: string, lines: readonly TokenLine[]) => void;
  readonly receiveEnd: (attempt: string) => void;
  readonly receiveFailure: (options: ReceiveFailureOptions) => void;
  readonly count: () => number;
}

/** Options of {@link Attempts.receiveFailure}. */
export interface ReceiveFailureOptions {
  readonly attempt: string;
  readonly sent: boolean;
  readonly engine: string;
  readonly leaving: boolean;
}

/** Options of {@link createAttempts}. */
export interface CreateAttemptsOptions {
  readonly context: NodeContext;
  readonly fleet: Fleet;
  readonly prefixes: PrefixIndex;
  readonly countNodes: () => number;
  readonly onLeaving: (endpoint: string) => void;
  readonly checkToken?: typeof checkToken | undefined;
}

const PROBE_TIMEOUT_MILLISECONDS = 300;

/**
 * Creates the component of a node that starts attempts and follows them to their end.
 *
 * @param options - the node's context, fleet and prefix index
 * @returns the attempts
 * @example
 * const attempts = createAttempts({ context, fleet, prefixes, countNodes, onLeaving });
 */
export function createAttempts(options: CreateAttemptsOptions): Attempts {
  const { context, fleet, prefixes, checkToken: check = checkToken } = options;
  const attempts = new Map<string, RunningAttempt>();

  const remove = (attempt: RunningAttempt): void => {
    attempts.delete(attempt.id);
    context.cancel(attempt.timer);
    for (const stage of attempt.stages) fleet.addLocalSequences(stage.engine, -1);
  };
  const fail = (attempt: RunningAttempt, failure: AttemptFailure): void => {
    remove(attempt);
    attempt.options.onFailure(failure);
  };
  const probeStage = (stage: Stage): void => {
    context.callEndpoint(
      {
        address: stage.address,
        method: 'GET',
        path: '/report',
        timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
      },
      (result) => {
        if (result.kind === 'callFailed')
          fleet.updateHealth(stage.engine, 'failure', context.now());
      },
    );
  };
  const endStalled = (attempt: RunningAttempt): void => {
    context.emit({ kind: 'cancelRun', attempt: attempt.id });
    context.count('attempts_stalled');
    attempt.stages.forEach((stage) => {
      fleet.penalize(stage.engine);
      probeStage(stage);
    });
    fail(attempt, {
      reason: 'stalled',
      failedAt: attempt.progressAt,
      suspects: attempt.stages.map((stage) => stage.engine),
      sent: true,
    });
  };
  const watchForStall = (attempt: RunningAttempt, delayMilliseconds: number): void => {
    attempt.timer = context.schedule(delayMilliseconds, () => {
      const dueAt = attempt.progressAt + getStallTimeout(attempt);
      if (context.now() >= dueAt) endStalled(attempt);
      else watchForStall(attempt, dueAt - context.now());
    });
  };
  const chooseStages = (start: StartAttemptOptions): readonly Stage[] | undefined => {
    const { pool, promptTokens } = start;
    const expectedTokens = start.maximumTokens - start.startIndex;
    setChainCosts({
      pool: pool.chain,
      endpoints: pool.endpoints,
      fleet,
      now: context.now(),
      nodes: options.countNodes(),
      random: context.random,
      promptTokens,
      expectedTokens,
      cachedCharacters: prefixes.findCachedCharacters(pool.key, start.prompt),
      excluded: start.excluded,
    });
    return chooseChain({ pool: pool.chain, promptTokens, expectedTokens })?.stages;
  };
  const recordProgress = (attempt: RunningAttempt): void => {
    const { pool } = attempt.options;
    const gap = context.now() - attempt.progressAt;
    attempt.progressAt = context.now();
    if (attempt.received > 0) {
      attempt.gaps = addGap(attempt.gaps, gap / attempt.tokenMilliseconds);
      pool.gaps = addGap(pool.gaps, gap / attempt.tokenMilliseconds);
      return;
    }
    pool.firstTokens = addGap(pool.firstTokens, gap / attempt.firstTokenMilliseconds);
    const names = attempt.stages.map((stage) => stage.engine);
    for (const name of names) fleet.updateHealth(name, 'success', context.now());
    prefixes.record(pool.key, attempt.options.prompt, names);
  };
  const recordLoads = (attempt: RunningAttempt, line: TokenLine): void => {
    line.loads?.forEach((load, index) => {
      const stage = attempt.stages[index];
      if (stage) fleet.applyLoad(stage.engine, load, context.now());
    });
  };
  const endAfterInvalidToken = (attempt: RunningAttempt): void => {
    context.emit({ kind: 'cancelRun', attempt: attempt.id });
    const suspects = attempt.stages.map((stage) => stage.engine);
    suspects.forEach(fleet.penalize);
    fail(attempt, { reason: 'guarded', failedAt: context.now(), suspects, sent: true });
  };
  const acceptLines = (attempt: RunningAttempt, lines: readonly TokenLine[]): void => {
    const { accepted, isInvalid, dropped } = checkLines({
      lines,
      checkToken: check,
      attempt: attempt.id,
      nextIndex: attempt.nextIndex,
      expectedTrace: attempt.trace,
    });
    dropped.forEach(context.count);
    for (const line of accepted) {
      attempt.nextIndex = line.index + 1;
      recordLoads(attempt, line);
    }
    if (accepted.length > 0) recordProgress(attempt);
    attempt.received += accepted.length;
    const isLast = accepted.at(-1)?.last === true;
    if (isLast) remove(attempt);
    if (accepted.length > 0) attempt.options.onTokens(accepted);
    if (isInvalid && !isLast && attempts.has(attempt.id)) endAfterInvalidToken(attempt);
  };

  return {
    start: (start) => {
      const stages = chooseStages(start);
      if (!stages) return undefined;
      const now = context.now();
      const id = context.nextId('attempt');
      const attempt = createRunningAttempt({ id, start, stages, now });
      attempts.set(attempt.id, attempt);
      for (const { engine } of stages) {
        fleet.addLocalSequences(engine, 1);
        if (fleet.find(engine)?.circuit.state !== 'closed')
          fleet.updateHealth(engine, 'probe', now);
      }
      const { pool } = start;
      const { model, version, adapter } = pool.served;
      context.emit({
        kind: 'run',
        address: stages[0]?.address ?? '',
        run: {
          attempt: attempt.id,
          route: [...stages],
          model,
          version,
          adapter,
          prompt: start.prompt,
          startIndex: start.startIndex,
          maximumTokens: start.maximumTokens,
          priority: pool.selector.priority,
        },
      });
      watchForStall(attempt, getStallTimeout(attempt));
      return { id, tokenMilliseconds: attempt.tokenMilliseconds };
    },
    cancel: (id) => {
      const attempt = attempts.get(id);
      if (!attempt) return;
      context.emit({ kind: 'cancelRun', attempt: id });
      remove(attempt);
    },
    receiveTokens: (id, lines) => {
      const attempt = attempts.get(id);
      if (attempt) acceptLines(attempt, lines);
      else context.count(ENDED_ATTEMPT_COUNTER);
    },
    receiveEnd: (id) => {
      const attempt = attempts.get(id);
      if (!attempt) return;
      const suspects = attempt.stages.map((stage) => stage.engine);
      fail(attempt, { reason: 'truncated', failedAt: context.now(), suspects, sent: true });
    },
    receiveFailure: ({ attempt: id, sent, engine, leaving }) => {
      const attempt = attempts.get(id);
      if (!attempt) return;
      const stages = attempt.stages.map((stage) => stage.engine);
      const isOnChain = stages.includes(engine);
      const suspects = isOnChain ? [engine] : stages;
      if (leaving && isOnChain) options.onLeaving(engine);
      else if (isOnChain) fleet.updateHealth(engine, 'failure', context.now());
      else suspects.forEach(fleet.penalize);
      if (isOnChain) prefixes.removeEngine(engine);
      fail(attempt, { reason: sent ? 'died' : 'refused', failedAt: context.now(), suspects, sent });
    },
    count: () => attempts.size,
  };
}
