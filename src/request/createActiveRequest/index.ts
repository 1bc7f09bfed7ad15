/**
 * State of a model request while it is processed.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Selector } from '../../types/configuration/index.js';
import type { Account, CompiledConfiguration } from '../../version/compileConfiguration/index.js';
import { listMatchingSelectors, pickSelector } from '../../version/pickSelector/index.js';
import type { Pool, Pools, ServedModel } from '../createPools/index.js';
import { createStreamTemplate, type StreamTemplate } from '../formatTokens/index.js';
import type { Completion } from '../readCompletion/index.js';

/** A model request as received from a caller. */
export interface StartModelRequestOptions {
  readonly request: string;
  readonly account: Account;
  readonly completion: Completion;
  readonly version: CompiledConfiguration;
}

/** A model request and the progress of its answer. */
export interface ActiveRequest {
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
  failedAt: number;
  deliveredAt: number;
  /** Start of the sample of tokens from which the next slowdown is computed. */
  sampledAt: number;
  /** Number of tokens in that sample. */
  sampledTokens: number;
  /** Time of one token on the chain without load, in milliseconds; 0 once the answer was resumed. */
  unloadedMilliseconds: number;
  deadlineTimer: string;
  retryTimer: string;
}

const CHARACTERS_PER_TOKEN = 4;

/**
 * Chooses the selector that serves a request: a random one by weight, or the one of the answer that it resumes.
 *
 * @param context - random number generator of the node
 * @param options - the request
 * @returns the selector, or undefined when none serves the model to the client account
 * @example
 * chooseSelector(context, options)?.name;
 */
export function chooseSelector(
  context: Pick<NodeContext, 'random'>,
  options: StartModelRequestOptions,
): Selector | undefined {
  const { version, account, completion } = options;
  const criteria = { version, account, kind: 'model' as const, name: completion.model };
  const { resume } = completion;
  if (!resume) return pickSelector({ ...criteria, draw: context.random() });
  return listMatchingSelectors(criteria).find(({ name }) => name === resume.selector);
}

/** Options of {@link createActiveRequest}. */
export interface CreateActiveRequestOptions {
  readonly start: StartModelRequestOptions;
  readonly selector: Selector;
  readonly served: ServedModel;
  readonly pools: Pools;
  /** Milliseconds on the node's clock. */
  readonly now: number;
}

/**
 * Creates the state of a new request.
 *
 * @param options - the request, the selector and model that serve it, and the time
 * @returns the state
 * @example
 * createActiveRequest({ start, selector, served, pools, now });
 */
export function createActiveRequest(options: CreateActiveRequestOptions): ActiveRequest {
  const { start, selector, served, pools, now } = options;
  const { request: id, account, completion } = start;
  const answerId = `answer-${completion.digest}`;
  const { resume } = completion;
  const pool = resume
    ? pools.find(selector, { ...served, version: resume.version, adapter: resume.adapter })
    : pools.findServable(selector, served);
  const { version, adapter } = pool.served;
  const promptTokens = Math.ceil(completion.prompt.length / CHARACTERS_PER_TOKEN);
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
    failedAt: -1,
    deliveredAt: -1,
    sampledAt: -1,
    sampledTokens: 0,
    unloadedMilliseconds: 0,
    deadlineTimer: '',
    retryTimer: '',
  };
}

/**
 * Returns the name of a client account's flow in the queue of a pool.
 *
 * @param account - the client account
 * @returns the name
 * @example
 * nameFlow(account); // 'gold/kiosk'
 */
export function nameFlow(account: Pick<Account, 'class' | 'name'>): string {
  return `${account.class}/${account.name}`;
}
