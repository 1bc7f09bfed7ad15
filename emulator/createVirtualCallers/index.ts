/**
 * The emulated callers of a site: requests, address answers that are kept, retries and hang-ups.
 */
import { createEventGuard } from '../../src/request/createEventGuard/index.js';
import { createEventSplitter } from '../../src/request/createEventSplitter/index.js';
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import { listCallerAddresses } from '../../src/process/site/listCallerAddresses/index.js';
import type { RequestMetadata, CallerResponse } from '../../src/types/relay/index.js';
import type { VirtualRequest } from '../createEndpointPorts/index.js';
import type { VirtualNode } from '../createVirtualNodes/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { RequestClass, VirtualSite } from '../readScenario/index.js';

/** What a caller got in the end. */
export type CallerOutcome = 'inTime' | 'late' | 'refused' | 'failed';

/** One request with its outcome. */
export interface CallerRecord {
  readonly requestClass: string;
  readonly account: string;
  readonly availabilityZone: string;
  readonly promptTokens: number;
  readonly at: number;
  outcome: CallerOutcome | undefined;
  /** Why it failed or was refused. */
  reason: string;
  firstMilliseconds: number;
  longestPause: number;
}

/** Callers of a site. */
export interface VirtualCallers {
  readonly records: CallerRecord[];
  readonly findRequest: (attempt: string) => VirtualRequest;
  /** Name of an attempt's kind of request. */
  readonly findClass: (attempt: string) => string;
  /** Attempts that were refused with the promise that they did not run. */
  readonly refusedAttempts: ReadonlySet<string>;
  /** Begins to send; the factor on the rate may change. */
  readonly start: (until: number) => void;
  readonly setRate: (factor: number) => void;
  /** Answers with events that were missing, doubled or out of order. */
  readonly countWrong: () => number;
}

/** Options of {@link createVirtualCallers}. */
export interface CreateVirtualCallersOptions {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly seed: number;
  readonly getNodes: () => readonly VirtualNode[];
}

const ADDRESSES_MILLISECONDS = 1_000;
const CONNECT_MILLISECONDS = 2;
const RETRIES = 1;
const PROMPT_SPREAD = 0.9;
const ANSWER_SPREAD = 0.75;
const HINT_SPREAD = 0.5;
const ACCOUNT_SKEW = 0.8;
const LEAST_GAP_MILLISECONDS = 2_000;
const OBJECTIVES_BEFORE_LEAVING = 4;
const PAUSES_BEFORE_LEAVING = 8;
const RETRY_AFTER = 'Retry-After';

interface Asked {
  readonly requestClass: RequestClass;
  readonly record: CallerRecord;
  readonly promptTokens: number;
  readonly lastEvent: number;
  readonly hint: number;
  readonly deadlineAt: number;
  readonly failedNodes: Set<string>;
  received: number;
  firstAt: number | undefined;
  lastAt: number;
  tries: number;
}

function drawAround(random: Random, mean: number, spread: number, most: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const value = mean * Math.exp(spread * normal - (spread * spread) / 2);
  return Math.max(1, Math.round(most > 0 ? Math.min(most, value) : value));
}

function readRetryAfter(headers: readonly string[]): number {
  const index = headers.indexOf(RETRY_AFTER);
  return index < 0 ? 0 : Number(headers[index + 1]) * 1_000;
}

/**
 * Creates the callers of a site.
 *
 * @param options - the site, the time, a seed and the nodes
 * @returns the callers
 * @example
 * createVirtualCallers(options).start(30_000);
 */
export function createVirtualCallers(options: CreateVirtualCallersOptions): VirtualCallers {
  const { site, time, getNodes } = options;
  const random = createRandom(options.seed + 23);
  const records: CallerRecord[] = [];
  const requests = new Map<string, VirtualRequest & { readonly name: string }>();
  const refusedAttempts = new Set<string>();
  const answers = new Map<string, { at: number; addresses: string[] }>();
  let rate = 1;
  let attempts = 0;
  let wrong = 0;

  const weights = Array.from({ length: site.accounts }, (_, index) => (index + 1) ** -ACCOUNT_SKEW);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const drawAccount = (): string => {
    let point = random() * totalWeight;
    const index = weights.findIndex((weight) => {
      point -= weight;
      return point < 0;
    });
    return `account-${Math.max(0, index)}`;
  };
  const listAddresses = (zone: string): string[] => {
    const kept = answers.get(zone);
    if (kept && time.now() - kept.at < ADDRESSES_MILLISECONDS) return kept.addresses;
    const living = getNodes().filter((node) => node.getCore() && !node.isLeaving());
    const near = living.filter(({ availabilityZone }) => availabilityZone === zone);
    const [asked = living[0]] = near;
    const core = asked?.getCore();
    if (!core) return kept?.addresses ?? [];
    const addresses = listCallerAddresses(core.exchange.peers.listAlive(), zone, random);
    answers.set(zone, { at: time.now(), addresses });
    return addresses;
  };
  const pickNode = (asked: Asked): VirtualNode | undefined => {
    const addresses = listAddresses(asked.record.availabilityZone);
    const untried = addresses.filter((address) => !asked.failedNodes.has(address));
    const list = untried.length > 0 ? untried : addresses;
    const address = list[Math.floor(random() * list.length)];
    return getNodes().find(({ name }) => name === address);
  };

  const settle = (asked: Asked, outcome: CallerOutcome, reason: string): void => {
    const { record } = asked;
    if (record.outcome) return;
    record.outcome = outcome;
    record.reason = reason;
  };
  const retry = (asked: Asked, pause: number, outcome: CallerOutcome, reason: string): void => {
    const left = asked.deadlineAt - time.now();
    if (asked.tries > RETRIES || pause > left / 3) {
      settle(asked, outcome, reason);
      return;
    }
    time.schedule(pause, () => {
      send(asked);
    });
  };
  const finishWhole = (asked: Asked): void => {
    const { requestClass, record } = asked;
    const first = (asked.firstAt ?? time.now()) - record.at;
    record.firstMilliseconds = first;
    const isLate =
      first > requestClass.objectiveMilliseconds ||
      record.longestPause > requestClass.longestPauseMilliseconds;
    settle(asked, isLate ? 'late' : 'inTime', '');
  };
  const createCaller = (asked: Asked, attempt: string): RequestMetadata => ({
    attempt,
    apiKey: asked.record.account,
    deadlineMilliseconds: asked.deadlineAt - time.now(),
    promptTokens: asked.promptTokens,
    maximumAnswerTokens: asked.requestClass.mostAnswerEvents * site.model.stride,
    expectedAnswerTokens: asked.hint,
    lastEventId: asked.received,
  });

  const send = (asked: Asked): void => {
    const { requestClass, record } = asked;
    asked.tries += 1;
    const node = pickNode(asked);
    const core = node?.getCore();
    if (!node || !core) {
      if (node) asked.failedNodes.add(node.name);
      retry(asked, CONNECT_MILLISECONDS, 'failed', 'no connection');
      return;
    }
    attempts += 1;
    const attempt = `attempt-${attempts}`;
    const { promptTokens, lastEvent } = asked;
    requests.set(attempt, { attempt, promptTokens, lastEvent, name: requestClass.name });
    const gone: (() => void)[] = [];
    const splitter = createEventSplitter();
    const guard = createEventGuard(asked.received);
    let isClosed = false;
    let status = 0;
    let heardAt = time.now();
    const mayRepeat = requestClass.kind !== 'atMostOnce';
    const close = (): void => {
      isClosed = true;
      stopListening();
      cancelWatch();
    };
    const breakOff = (reason: string): void => {
      if (isClosed) return;
      close();
      asked.failedNodes.add(node.name);
      if (mayRepeat) retry(asked, CONNECT_MILLISECONDS, 'failed', reason);
      else settle(asked, 'failed', reason);
    };
    const hangUp = (reason: string): void => {
      if (isClosed) return;
      close();
      time.touch();
      for (const action of gone) action();
      settle(asked, 'failed', reason);
    };
    const stopListening = node.onEnd(() => {
      breakOff('node ended');
    });
    const patience =
      requestClass.kind === 'stream'
        ? Math.max(
            LEAST_GAP_MILLISECONDS,
            OBJECTIVES_BEFORE_LEAVING * requestClass.objectiveMilliseconds,
            PAUSES_BEFORE_LEAVING * requestClass.longestPauseMilliseconds,
          )
        : Number.POSITIVE_INFINITY;
    const watch = (): void => {
      if (time.now() >= asked.deadlineAt) hangUp('deadline');
      else if (time.now() - heardAt >= patience) hangUp('silence');
      else {
        const due = Math.min(asked.deadlineAt, heardAt + patience) - time.now();
        cancelWatch = time.schedule(Math.max(1, due), watch);
      }
    };
    let cancelWatch = time.schedule(Math.min(patience, asked.deadlineAt - time.now()), watch);
    const later = (action: () => void): void => {
      time.schedule(site.callerMilliseconds, () => {
        if (!isClosed) action();
      });
    };
    const receive = (bytes: Buffer): void => {
      for (const { id } of splitter.add(bytes)) {
        if (guard.check(id) !== 'pass') wrong += 1;
        const now = time.now();
        if (asked.firstAt === undefined) asked.firstAt = now;
        else record.longestPause = Math.max(record.longestPause, now - asked.lastAt);
        asked.lastAt = now;
        heardAt = now;
        asked.received = guard.getLastId();
      }
    };
    const complete = (): void => {
      close();
      if (requestClass.kind === 'stream' && status === 200 && asked.received < lastEvent)
        wrong += 1;
      if (status === 200) finishWhole(asked);
      else settle(asked, 'failed', `status ${status}`);
    };
    let isBegun = false;
    const response: CallerResponse = {
      isOpen: () => !isBegun && !isClosed,
      begin: (code, headers) => {
        isBegun = true;
        status = code;
        if (code !== 503) return;
        refusedAttempts.add(attempt);
        later(() => {
          close();
          retry(asked, readRetryAfter(headers), 'refused', 'refused');
        });
      },
      write: (bytes) => {
        later(() => {
          receive(bytes);
        });
      },
      end: () => {
        if (status !== 503) later(complete);
      },
      abort: () => {
        later(() => {
          breakOff('cut');
        });
      },
      countBufferedBytes: () => 0,
      onceDrained: (action) => {
        action();
      },
      onDisconnect: (action) => {
        gone.push(action);
      },
    };
    const caller = createCaller(asked, attempt);
    later(() => {
      const url = `/${requestClass.name}/`;
      const admission = core.relay.admit({ host: 'desk', url, headerBytes: 0, caller });
      if (admission.kind === 'refused') {
        const seconds = admission.retryAfterSeconds ?? 0;
        response.begin(503, [RETRY_AFTER, String(seconds)]);
        return;
      }
      const forwarded = { method: 'POST', url, rawHeaders: ['attempt', attempt], body: undefined };
      const arrivedAt = time.now();
      void core.relay.run({ admitted: admission, caller, forwarded, arrivedAt, response });
    });
  };

  const ask = (requestClass: RequestClass, availabilityZone: string): void => {
    const { promptTokens, mostPromptTokens, answerEvents, mostAnswerEvents } = requestClass;
    const isStream = requestClass.kind === 'stream';
    const prompt = isStream ? drawAround(random, promptTokens, PROMPT_SPREAD, mostPromptTokens) : 0;
    const events = isStream ? drawAround(random, answerEvents, ANSWER_SPREAD, mostAnswerEvents) : 0;
    const answer = events * site.model.stride;
    const record: CallerRecord = {
      requestClass: requestClass.name,
      account: drawAccount(),
      availabilityZone,
      promptTokens: prompt,
      at: time.now(),
      outcome: undefined,
      reason: '',
      firstMilliseconds: 0,
      longestPause: 0,
    };
    records.push(record);
    send({
      requestClass,
      record,
      promptTokens: prompt,
      lastEvent: events,
      hint: isStream ? drawAround(random, answer, HINT_SPREAD, 0) : 0,
      deadlineAt: time.now() + requestClass.deadlineMilliseconds,
      failedNodes: new Set(),
      received: 0,
      firstAt: undefined,
      lastAt: 0,
      tries: 0,
    });
  };
  return {
    records,
    refusedAttempts,
    countWrong: () => wrong,
    findClass: (attempt) => requests.get(attempt)?.name ?? '',
    findRequest: (attempt) => requests.get(attempt) ?? { attempt, promptTokens: 0, lastEvent: 0 },
    setRate: (factor) => {
      rate = factor;
    },
    start: (until) => {
      const perZone = 1 / site.availabilityZones.length;
      for (const requestClass of site.requests) {
        for (const zone of site.availabilityZones) {
          const next = (): void => {
            const pause =
              (-Math.log(1 - random()) * 1_000) / (requestClass.perSecond * perZone * rate);
            if (time.now() + pause > until) return;
            time.schedule(pause, () => {
              ask(requestClass, zone);
              next();
            });
          };
          next();
        }
      }
    },
  };
}
