/**
 * Context shared by the components of a node: time, random numbers, effects and continuations.
 */
import { PLATFORM_TIMEOUT_MILLISECONDS } from '../../../constants/index.js';
import type { Metric, NodeEffect, NodeEvent } from '../../../types/node/index.js';
import type { PlatformCall, PlatformResult } from '../../../types/platform/index.js';
import { createRandom, type Random } from '../../createRandom/index.js';

/** Result of a call to an endpoint: the reply or the failure. */
export type EndpointResult = Extract<NodeEvent, { kind: 'reply' | 'callFailed' }>;

/** A call to an endpoint whose response is buffered. */
export interface EndpointCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMilliseconds: number;
}

/** Fields of a log line. */
export type LogFields = Record<string, string | number | boolean>;

/** Interface by which the components of a node read the time and emit effects. */
export interface NodeContext {
  readonly node: string;
  readonly incarnation: number;
  readonly random: Random;
  readonly now: () => number;
  readonly emit: (effect: NodeEffect) => void;
  readonly nextId: (prefix: string) => string;
  readonly schedule: (delayMilliseconds: number, action: () => void) => string;
  readonly cancel: (timer: string) => void;
  readonly callPlatform: (
    platformCall: PlatformCall,
    done: (result: PlatformResult) => void,
    timeoutMilliseconds?: number,
  ) => void;
  readonly callEndpoint: (call: EndpointCall, done: (result: EndpointResult) => void) => void;
  readonly log: (level: 'info' | 'warn' | 'error', event: string, fields?: LogFields) => void;
  readonly observe: (
    metric: Metric,
    account: string,
    accountClass: string,
    milliseconds: number,
  ) => void;
  readonly count: (counter: string) => void;
}

/** Interface of the driver: delivers results to the context and drains its effects. */
export interface ContextControl {
  readonly context: NodeContext;
  readonly advanceTime: (nowMilliseconds: number) => void;
  readonly drainEffects: () => NodeEffect[];
  readonly resumeTimer: (timer: string) => void;
  readonly resumePlatform: (call: string, result: PlatformResult) => void;
  readonly resumeEndpoint: (result: EndpointResult) => void;
}

/** Options of {@link createContext}. */
export interface CreateContextOptions {
  readonly node: string;
  readonly incarnation: number;
  readonly seed: number;
}

/**
 * Creates the context of one node.
 *
 * Continuations of timers and calls are stored by identifier and run at most once.
 *
 * @param options - name, incarnation and random seed of the node
 * @returns the context and the control interface of its driver
 * @example
 * const { context } = createContext({ node: 'node-1', incarnation: 1, seed: 7 });
 */
export function createContext(options: CreateContextOptions): ContextControl {
  let now = 0;
  let sequence = 0;
  let effects: NodeEffect[] = [];
  const timers = new Map<string, () => void>();
  const platformCalls = new Map<string, (result: PlatformResult) => void>();
  const endpointCalls = new Map<string, (result: EndpointResult) => void>();

  const nextId = (prefix: string): string => {
    sequence += 1;
    return `${prefix}-${options.node}-${options.incarnation.toString(36)}-${sequence.toString(36)}`;
  };
  const emit = (effect: NodeEffect): void => {
    effects.push(effect);
  };

  const context: NodeContext = {
    node: options.node,
    incarnation: options.incarnation,
    random: createRandom(options.seed),
    now: () => now,
    emit,
    nextId,
    schedule: (delayMilliseconds, action) => {
      const timer = nextId('timer');
      timers.set(timer, action);
      emit({ kind: 'setTimer', timer, delayMilliseconds: Math.max(0, delayMilliseconds) });
      return timer;
    },
    cancel: (timer) => {
      if (!timers.delete(timer)) return;
      emit({ kind: 'clearTimer', timer });
    },
    callPlatform: (platformCall, done, timeoutMilliseconds = PLATFORM_TIMEOUT_MILLISECONDS) => {
      const call = nextId('platform');
      platformCalls.set(call, done);
      emit({ kind: 'callPlatform', call, platformCall, timeoutMilliseconds });
    },
    callEndpoint: (endpointCall, done) => {
      const call = nextId('call');
      endpointCalls.set(call, done);
      emit({ kind: 'callEndpoint', call, headers: {}, body: '', ...endpointCall });
    },
    log: (level, event, fields = {}) => {
      emit({ kind: 'log', level, event, fields });
    },
    observe: (metric, account, accountClass, milliseconds) => {
      emit({ kind: 'observe', metric, account, class: accountClass, milliseconds });
    },
    count: (counter) => {
      emit({ kind: 'count', counter });
    },
  };

  const removeEntry = <Value>(map: Map<string, Value>, key: string): Value | undefined => {
    const value = map.get(key);
    map.delete(key);
    return value;
  };

  return {
    context,
    advanceTime: (nowMilliseconds) => {
      now = Math.max(now, nowMilliseconds);
    },
    drainEffects: () => {
      const drained = effects;
      effects = [];
      return drained;
    },
    resumeTimer: (timer) => removeEntry(timers, timer)?.(),
    resumePlatform: (call, result) => removeEntry(platformCalls, call)?.(result),
    resumeEndpoint: (result) => removeEntry(endpointCalls, result.call)?.(result),
  };
}
