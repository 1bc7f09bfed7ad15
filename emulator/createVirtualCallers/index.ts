/**
 * Emulated callers of a site: requests, cached node addresses, retries and disconnects.
 */
import { createEventGuard } from '../../src/request/createEventGuard/index.js';
import { createEventSplitter } from '../../src/request/createEventSplitter/index.js';
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import { listCallerAddresses } from '../../src/process/site/listCallerAddresses/index.js';
import type { RequestMetadata, CallerResponse } from '../../src/types/relay/index.js';
import type { VirtualRequest } from '../createEndpointPort/index.js';
import type { VirtualNode } from '../createVirtualNodes/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { RequestClass, VirtualSite } from '../readScenario/index.js';

/** Outcome of a request for its caller. */
export type CallerOutcome = 'inTime' | 'late' | 'refused' | 'failed';

/** A request with its outcome. */
export interface CallerRecord {
  readonly requestClass: string;
  readonly priority: number;
  readonly account: string;
  readonly availabilityZone: string;
  readonly promptTokens: number;
  /** Virtual time at which the request began, in milliseconds. */
  readonly at: number;
  outcome: CallerOutcome | undefined;
  /** Reason of a failure or refusal. */
  reason: string;
  /** Time to the first event, in milliseconds. */
  firstMilliseconds: number;
  /** Longest time between two events, in milliseconds. */
  longestPause: number;
}

/** Demand that rises and falls by a share of its mean. */
export interface DemandWave {
  readonly amplitude: number;
  readonly periodSeconds: number;
}

/** Emulated callers of a site. */
export interface VirtualCallers {
  readonly records: CallerRecord[];
  readonly findRequest: (attempt: string) => VirtualRequest;
  /** Returns what an attempt carries. */
  readonly findMetadata: (attempt: string) => RequestMetadata;
  /** Returns the name of an attempt's request class. */
  readonly findClass: (attempt: string) => string;
  /** Attempts refused by a response that guarantees that they were not executed. */
  readonly refusedAttempts: ReadonlySet<string>;
  /** Sends requests until a moment of virtual time, in milliseconds. */
  readonly start: (until: number) => void;
  /** Sets the factor on the request rate, of the requests with a priority or of all. */
  readonly setRate: (factor: number, priority?: number) => void;
  /** Lets the rate of each zone rise and fall, one zone after the other; undefined ends it. */
  readonly setWave: (wave: DemandWave | undefined) => void;
  /** Returns the number of missing, duplicate and reordered events. */
  readonly countEventErrors: () => number;
}

/** Options of {@link createVirtualCallers}. */
export interface CreateVirtualCallersOptions {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly seed: number;
  readonly getNodes: () => readonly VirtualNode[];
}

/** Time for which callers cache the node addresses of their zone. */
const ADDRESS_CACHE_MILLISECONDS = 1_000;
/** Time after which a caller retries a failed connection. */
const RETRY_MILLISECONDS = 2;
const MAXIMUM_RETRIES = 1;
/** Standard deviations of the logarithms of drawn token and event counts. */
const PROMPT_SPREAD = 0.9;
const ANSWER_SPREAD = 0.75;
const EXPECTED_ANSWER_SPREAD = 0.5;
/** Exponent of the Zipf distribution of requests over client accounts. */
const ACCOUNT_SKEW = 0.8;
/** Callers of streams disconnect when no event arrives within the largest of these three limits. */
const MINIMUM_IDLE_LIMIT_MILLISECONDS = 2_000;
const IDLE_LIMIT_OBJECTIVES = 4;
const IDLE_LIMIT_PAUSES = 8;
const RETRY_AFTER = 'Retry-After';

/** A request in progress. */
interface ActiveRequest {
  readonly requestClass: RequestClass;
  readonly record: CallerRecord;
  readonly promptTokens: number;
  /** Number of the last event of the answer. */
  readonly lastEvent: number;
  readonly expectedAnswerTokens: number;
  readonly deadlineAt: number;
  readonly failedNodes: Set<string>;
  /** Number of the last event received. */
  receivedEvent: number;
  firstAt: number | undefined;
  lastAt: number;
  tries: number;
}

/** Draws a positive integer from a log-normal distribution; a `maximum` of 0 means no maximum. */
function drawCount(random: Random, mean: number, spread: number, maximum: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const value = mean * Math.exp(spread * normal - (spread * spread) / 2);
  return Math.max(1, Math.round(maximum > 0 ? Math.min(maximum, value) : value));
}

function readRetryAfter(headers: readonly string[]): number {
  const index = headers.indexOf(RETRY_AFTER);
  return index < 0 ? 0 : Number(headers[index + 1]) * 1_000;
}

/**
 * Creates the callers of a site.
 *
 * @param options - site, virtual time, seed and nodes
 * @returns the callers
 * @example
 * createVirtualCallers(options).start(30_000);
 */
export function createVirtualCallers(options: CreateVirtualCallersOptions): VirtualCallers {
  const { site, time, getNodes } = options;
  const random = createRandom(options.seed + 23);
  const records: CallerRecord[] = [];
  const requests = new Map<string, VirtualRequest & { readonly name: string }>();
  const metadata = new Map<string, RequestMetadata>();
  const refusedAttempts = new Set<string>();
  const addressCache = new Map<string, { at: number; addresses: string[] }>();
  /** Factor on the request rate, by request class. */
  const rates = new Map<string, number>();
  let wave: DemandWave | undefined;
  const computeWaveFactor = (zone: number): number => {
    if (!wave) return 1;
    const phase = time.now() / (wave.periodSeconds * 1_000) + zone / site.availabilityZones.length;
    return 1 + wave.amplitude * Math.sin(2 * Math.PI * phase);
  };
  let attempts = 0;
  let eventErrors = 0;

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
    const cached = addressCache.get(zone);
    if (cached && time.now() - cached.at < ADDRESS_CACHE_MILLISECONDS) return cached.addresses;
    const liveNodes = getNodes().filter((node) => node.getCore() && !node.isLeaving());
    const localNodes = liveNodes.filter(({ availabilityZone }) => availabilityZone === zone);
    const [directoryNode = liveNodes[0]] = localNodes;
    const core = directoryNode?.getCore();
    if (!core) return cached?.addresses ?? [];
    const addresses = listCallerAddresses(core.exchange.peers.listAlive(), zone, random);
    addressCache.set(zone, { at: time.now(), addresses });
    return addresses;
  };
  const pickNode = (request: ActiveRequest): VirtualNode | undefined => {
    const addresses = listAddresses(request.record.availabilityZone);
    const untried = addresses.filter((address) => !request.failedNodes.has(address));
    const list = untried.length > 0 ? untried : addresses;
    const address = list[Math.floor(random() * list.length)];
    return getNodes().find(({ name }) => name === address);
  };

  const recordOutcome = (request: ActiveRequest, outcome: CallerOutcome, reason: string): void => {
    const { record } = request;
    if (record.outcome) return;
    record.outcome = outcome;
    record.reason = reason;
  };
  const retry = (
    request: ActiveRequest,
    pause: number,
    outcome: CallerOutcome,
    reason: string,
  ): void => {
    const remaining = request.deadlineAt - time.now();
    if (request.tries > MAXIMUM_RETRIES || pause > remaining / 3) {
      recordOutcome(request, outcome, reason);
      return;
    }
    time.schedule(pause, () => {
      send(request);
    });
  };
  const completeRequest = (request: ActiveRequest): void => {
    const { requestClass, record } = request;
    const first = (request.firstAt ?? time.now()) - record.at;
    record.firstMilliseconds = first;
    const isLate =
      first > requestClass.objectiveMilliseconds ||
      record.longestPause > requestClass.longestPauseMilliseconds;
    recordOutcome(request, isLate ? 'late' : 'inTime', '');
  };
  const createMetadata = (request: ActiveRequest, attempt: string): RequestMetadata => ({
    attempt,
    apiKey: request.record.account,
    deadlineMilliseconds: request.deadlineAt - time.now(),
    promptTokens: request.promptTokens,
    maximumAnswerTokens: request.requestClass.mostAnswerEvents * site.model.stride,
    expectedAnswerTokens: request.expectedAnswerTokens,
    lastEventId: request.receivedEvent,
    promptParts: [],
  });

  const send = (request: ActiveRequest): void => {
    const { requestClass, record } = request;
    request.tries += 1;
    const node = pickNode(request);
    const core = node?.getCore();
    if (!node || !core) {
      if (node) request.failedNodes.add(node.name);
      retry(request, RETRY_MILLISECONDS, 'failed', 'no connection');
      return;
    }
    attempts += 1;
    const attempt = `attempt-${attempts}`;
    const { promptTokens, lastEvent } = request;
    requests.set(attempt, { attempt, promptTokens, lastEvent, name: requestClass.name });
    const disconnectActions: (() => void)[] = [];
    const splitter = createEventSplitter();
    const guard = createEventGuard(request.receivedEvent);
    let isClosed = false;
    let status = 0;
    let lastDataAt = time.now();
    const isRepeatable = requestClass.kind !== 'atMostOnce';
    const close = (): void => {
      isClosed = true;
      removeEndListener();
      cancelCheck();
    };
    const failAttempt = (reason: string): void => {
      if (isClosed) return;
      close();
      request.failedNodes.add(node.name);
      if (isRepeatable) retry(request, RETRY_MILLISECONDS, 'failed', reason);
      else recordOutcome(request, 'failed', reason);
    };
    const disconnect = (reason: string): void => {
      if (isClosed) return;
      close();
      time.requestFlush();
      for (const action of disconnectActions) action();
      recordOutcome(request, 'failed', reason);
    };
    const removeEndListener = node.onEnd(() => {
      failAttempt('node ended');
    });
    const idleLimit =
      requestClass.kind === 'stream'
        ? Math.max(
            MINIMUM_IDLE_LIMIT_MILLISECONDS,
            IDLE_LIMIT_OBJECTIVES * requestClass.objectiveMilliseconds,
            IDLE_LIMIT_PAUSES * requestClass.longestPauseMilliseconds,
          )
        : Number.POSITIVE_INFINITY;
    const checkLimits = (): void => {
      if (time.now() >= request.deadlineAt) disconnect('deadline');
      else if (time.now() - lastDataAt >= idleLimit) disconnect('silence');
      else {
        const remaining = Math.min(request.deadlineAt, lastDataAt + idleLimit) - time.now();
        cancelCheck = time.schedule(Math.max(1, remaining), checkLimits);
      }
    };
    let cancelCheck = time.schedule(
      Math.min(idleLimit, request.deadlineAt - time.now()),
      checkLimits,
    );
    const afterDelay = (action: () => void): void => {
      time.schedule(site.callerMilliseconds, () => {
        if (!isClosed) action();
      });
    };
    const receive = (bytes: Buffer): void => {
      for (const { id } of splitter.add(bytes)) {
        if (guard.check(id) !== 'pass') eventErrors += 1;
        const now = time.now();
        if (request.firstAt === undefined) request.firstAt = now;
        else record.longestPause = Math.max(record.longestPause, now - request.lastAt);
        request.lastAt = now;
        lastDataAt = now;
        request.receivedEvent = guard.getLastId();
      }
    };
    const complete = (): void => {
      close();
      if (requestClass.kind === 'stream' && status === 200 && request.receivedEvent < lastEvent)
        eventErrors += 1;
      if (status === 200) completeRequest(request);
      else recordOutcome(request, 'failed', `status ${status}`);
    };
    let hasBegun = false;
    const response: CallerResponse = {
      isOpen: () => !hasBegun && !isClosed,
      begin: (code, headers) => {
        hasBegun = true;
        status = code;
        if (code !== 503) return;
        refusedAttempts.add(attempt);
        afterDelay(() => {
          close();
          retry(request, readRetryAfter(headers), 'refused', 'refused');
        });
      },
      write: (bytes) => {
        afterDelay(() => {
          receive(bytes);
        });
      },
      end: () => {
        if (status !== 503) afterDelay(complete);
      },
      abort: () => {
        afterDelay(() => {
          failAttempt('cut');
        });
      },
      countBufferedBytes: () => 0,
      onceDrained: (action) => {
        action();
      },
      onDisconnect: (action) => {
        disconnectActions.push(action);
      },
    };
    const caller = createMetadata(request, attempt);
    metadata.set(attempt, caller);
    afterDelay(() => {
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

  const startRequest = (requestClass: RequestClass, availabilityZone: string): void => {
    const { promptTokens, mostPromptTokens, answerEvents, mostAnswerEvents } = requestClass;
    const isStream = requestClass.kind === 'stream';
    const prompt = isStream ? drawCount(random, promptTokens, PROMPT_SPREAD, mostPromptTokens) : 0;
    const events = isStream ? drawCount(random, answerEvents, ANSWER_SPREAD, mostAnswerEvents) : 0;
    const answerTokens = events * site.model.stride;
    const record: CallerRecord = {
      requestClass: requestClass.name,
      priority: requestClass.priority,
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
      expectedAnswerTokens: isStream
        ? drawCount(random, answerTokens, EXPECTED_ANSWER_SPREAD, 0)
        : 0,
      deadlineAt: time.now() + requestClass.deadlineMilliseconds,
      failedNodes: new Set(),
      receivedEvent: 0,
      firstAt: undefined,
      lastAt: 0,
      tries: 0,
    });
  };
  return {
    records,
    refusedAttempts,
    countEventErrors: () => eventErrors,
    findClass: (attempt) => requests.get(attempt)?.name ?? '',
    findMetadata: (attempt) => {
      const found = metadata.get(attempt);
      if (!found) throw new Error(`no caller sent the attempt '${attempt}'`);
      return found;
    },
    findRequest: (attempt) => requests.get(attempt) ?? { attempt, promptTokens: 0, lastEvent: 0 },
    setRate: (factor, priority) => {
      for (const requestClass of site.requests)
        if (priority === undefined || requestClass.priority === priority)
          rates.set(requestClass.name, factor);
    },
    setWave: (changed) => {
      wave = changed;
    },
    start: (until) => {
      const perZone = 1 / site.availabilityZones.length;
      for (const requestClass of site.requests) {
        site.availabilityZones.forEach((zone, index) => {
          const next = (): void => {
            const rate = rates.get(requestClass.name) ?? 1;
            const zoneRate = requestClass.perSecond * perZone * rate * computeWaveFactor(index);
            const pause = (-Math.log(1 - random()) * 1_000) / zoneRate;
            if (time.now() + pause > until) return;
            time.schedule(pause, () => {
              startRequest(requestClass, zone);
              next();
            });
          };
          next();
        });
      }
    },
  };
}
