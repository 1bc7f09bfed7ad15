/**
 * Callers of a soak run. They reuse connections and addresses, and retry failed requests.
 */
import { Agent, request as openRequest, type IncomingMessage } from 'node:http';
import { sleep } from '../../bench/sleep/index.js';
import { CRASHING_PART_PREFIX } from '../readEndpointRequest/index.js';
import { readEvents } from '../readEvents/index.js';
import type { AttemptOutcome, CallerAttempt, RequestKind, SoakRecord } from '../types/index.js';

/** Name and address of a node that callers use. */
export interface CallerTarget {
  readonly node: string;
  readonly address: string;
}

/** Options of {@link createCallers}. */
export interface CreateCallersOptions {
  readonly targets: readonly CallerTarget[];
  readonly record: SoakRecord;
  readonly now: () => number;
  readonly random: () => number;
  /** Host and API key of the requests. */
  readonly host: string;
  readonly apiKey: string;
  /** Number of concurrent callers. */
  readonly count: number;
  /** Time limit of a request that its header states, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Time after which a caller abandons an attempt, in milliseconds. */
  readonly attemptMilliseconds: number;
  /** Returns the share of streams whose prompt has a part that crashes endpoints; none by default. */
  readonly getCrashingShare?: () => number;
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly request: string;
  readonly kind: RequestKind;
  /** URL path of the request, without its query. */
  readonly path: string;
  readonly target: CallerTarget;
  readonly lastEvent?: number;
  readonly parts?: readonly string[];
}

/** Callers that send requests until they are stopped. */
export interface Callers {
  /** Sends one attempt and records it. */
  readonly sendAttempt: (options: AttemptOptions) => Promise<CallerAttempt>;
  /** Starts all callers. */
  readonly start: () => void;
  /** Stops all callers; resolves when the last attempt has ended. */
  readonly stop: () => Promise<void>;
}

const PATHS: Readonly<Record<RequestKind, string>> = {
  stream: '/ask/one',
  lookUp: '/look/one',
  booking: '/book/one',
};
const METHODS: Readonly<Record<RequestKind, string>> = {
  stream: 'GET',
  lookUp: 'GET',
  booking: 'POST',
};
/** Share of each kind of request; the shares add up to 1. */
const SHARES: readonly (readonly [RequestKind, number])[] = [
  ['stream', 0.5],
  ['lookUp', 0.3],
  ['booking', 0.2],
];
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** First parts that streams share, and parts that crash endpoints. */
const SHARED_PARTS = 4;
const CRASHING_PARTS = 2;
const MAXIMUM_ATTEMPTS = 3;
const MAXIMUM_PAUSE_MILLISECONDS = 150;
const MAXIMUM_RETRY_AFTER_SECONDS = 1;
/** Probability that a caller sends its next request to the same address. */
const KEEP_TARGET_SHARE = 0.7;
/** Maximum size of a response body that a caller stores; no valid response is longer. */
const MAXIMUM_BODY_BYTES = 65_536;

/** Outcomes after which a caller retries; a booking is retried only when it was refused as not executed. */
const RETRYABLE_OUTCOMES: Readonly<Record<RequestKind, readonly AttemptOutcome[]>> = {
  stream: ['refused', 'failed', 'cut', 'timedOut'],
  lookUp: ['refused', 'failed', 'cut', 'timedOut'],
  booking: ['refused'],
};

function classifyStatus(status: number): AttemptOutcome {
  if (status === 200) return 'answered';
  return REFUSAL_STATUSES.has(status) ? 'refused' : 'failed';
}

function readHead(attempt: CallerAttempt, { statusCode, headers }: IncomingMessage): void {
  attempt.status = statusCode ?? 0;
  attempt.saysLeaving = headers['server-leaving'] === '1';
  const endpoint = headers['served-by'];
  attempt.endpoint = typeof endpoint === 'string' ? endpoint : undefined;
}

/**
 * Creates callers.
 *
 * @param options - nodes, record, and request settings
 * @returns the callers, not started yet
 * @example
 * const callers = createCallers(options);
 * callers.start();
 */
export function createCallers(options: CreateCallersOptions): Callers {
  const { targets, record, now, random, host, apiKey } = options;
  const running: Promise<void>[] = [];
  let isStopped = false;
  let requests = 0;
  let attempts = 0;

  const send = (attempt: CallerAttempt, path: string, address: string, agent: Agent) =>
    new Promise<number>((resolve) => {
      const [hostname, port] = address.split(':');
      const { kind, lastEvent, request, parts } = attempt;
      let retryAfter = 0;
      const finish = (outcome: AttemptOutcome): void => {
        if (attempt.endedAt !== Infinity) return;
        attempt.endedAt = now();
        attempt.outcome = outcome;
        clearTimeout(timer);
        resolve(retryAfter);
      };
      const outgoing = openRequest({
        hostname,
        port: Number(port),
        path: `${path}?request=${request}`,
        method: METHODS[kind],
        agent,
        headers: {
          Host: host,
          'Attempt-Id': attempt.attempt,
          'Deadline-Ms': String(options.deadlineMilliseconds),
          Credential: apiKey,
          'Token-Counts': '20,10',
          ...(parts.length > 0 && {
            'Prompt-Prefix': parts.map((part) => `${part}:10`).join(','),
          }),
          ...(lastEvent > 0 && { 'Last-Event-Id': String(lastEvent) }),
        },
      });
      const timer = setTimeout(() => {
        finish('timedOut');
        outgoing.destroy();
      }, options.attemptMilliseconds);
      outgoing.on('error', () => {
        finish('cut');
      });
      outgoing.on('response', (incoming) => {
        attempt.headAt = now();
        readHead(attempt, incoming);
        retryAfter = Number(incoming.headers['retry-after'] ?? 0);
        incoming.on('data', (chunk: Buffer) => {
          if (attempt.body.length < MAXIMUM_BODY_BYTES) attempt.body += chunk.toString();
        });
        incoming.on('error', () => {
          finish('cut');
        });
        incoming.on('end', () => {
          finish(incoming.complete ? classifyStatus(attempt.status) : 'cut');
        });
        incoming.on('close', () => {
          finish('cut');
        });
      });
      outgoing.end(kind === 'booking' ? 'book' : undefined);
    });

  const startAttempt = ({
    request,
    kind,
    target,
    lastEvent = 0,
    parts = [],
  }: AttemptOptions): CallerAttempt => {
    attempts += 1;
    const attempt: CallerAttempt = {
      request,
      attempt: `${request}-${attempts}`,
      kind,
      node: target.node,
      sentAt: now(),
      lastEvent,
      endedAt: Infinity,
      outcome: 'timedOut',
      status: 0,
      body: '',
      endpoint: undefined,
      saysLeaving: false,
      headAt: undefined,
      parts,
    };
    record.attempts.push(attempt);
    return attempt;
  };
  const pickTarget = (): CallerTarget => {
    const target = targets[Math.floor(random() * targets.length)];
    if (!target) throw new Error('soak run has no node that callers can use');
    return target;
  };
  const pickKind = (): RequestKind => {
    let remaining = random();
    for (const [kind, share] of SHARES) {
      remaining -= share;
      if (remaining < 0) return kind;
    }
    return 'stream';
  };
  /** Draws the parts of a stream's prompt: harmless and crashing requests share their first parts. */
  const pickParts = (request: string): string[] => {
    const head = `head-${Math.floor(random() * SHARED_PARTS)}`;
    const isCrashing = random() < (options.getCrashingShare?.() ?? 0);
    const crashing = `${CRASHING_PART_PREFIX}${Math.floor(random() * CRASHING_PARTS)}`;
    return [head, ...(isCrashing ? [crashing] : []), `own-${request}`];
  };
  /** Sends one request and its retries, each to a newly picked target. */
  const sendWithRetries = async (firstTarget: CallerTarget, agent: Agent): Promise<void> => {
    requests += 1;
    const request = `r${requests}`;
    const kind = pickKind();
    const parts = kind === 'stream' ? pickParts(request) : [];
    let target = firstTarget;
    let lastEvent = 0;
    for (let tryNumber = 0; tryNumber < MAXIMUM_ATTEMPTS && !isStopped; tryNumber += 1) {
      const attempt = startAttempt({ request, kind, path: PATHS[kind], target, lastEvent, parts });
      const retryAfter = await send(attempt, PATHS[kind], target.address, agent);
      if (!RETRYABLE_OUTCOMES[kind].includes(attempt.outcome)) return;
      if (kind === 'stream' && attempt.status === 200) {
        lastEvent = readEvents(attempt.body, request, lastEvent).last;
      }
      await sleep(Math.min(MAXIMUM_RETRY_AFTER_SECONDS, retryAfter) * 1_000);
      target = pickTarget();
    }
  };
  const runCaller = async (): Promise<void> => {
    const agent = new Agent({ keepAlive: true });
    let target = pickTarget();
    while (!isStopped) {
      if (random() > KEEP_TARGET_SHARE) target = pickTarget();
      await sendWithRetries(target, agent);
      await sleep(random() * MAXIMUM_PAUSE_MILLISECONDS);
    }
    agent.destroy();
  };
  return {
    sendAttempt: async (attemptOptions) => {
      const attempt = startAttempt(attemptOptions);
      const agent = new Agent();
      await send(attempt, attemptOptions.path, attemptOptions.target.address, agent);
      agent.destroy();
      return attempt;
    },
    start: () => {
      for (let caller = 0; caller < options.count; caller += 1) running.push(runCaller());
    },
    stop: async () => {
      isStopped = true;
      await Promise.all(running);
    },
  };
}
