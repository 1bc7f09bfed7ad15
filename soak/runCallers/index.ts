/**
 * Callers of a soak run: they keep connections and addresses, and retry as callers do.
 */
import { Agent, request as openRequest, type IncomingMessage } from 'node:http';
import { sleep } from '../../bench/sleep/index.js';
import { readEvents } from '../describeStream/index.js';
import type { AttemptOutcome, CallerAttempt, RequestKind, SoakRecord } from '../types/index.js';

/** A node as callers know it. */
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
  /** Host and key that requests name. */
  readonly host: string;
  readonly key: string;
  /** Callers that ask at the same time. */
  readonly count: number;
  /** How long a request may take, in milliseconds, as its header says. */
  readonly deadlineMilliseconds: number;
  /** When a caller gives up, in milliseconds. */
  readonly attemptMilliseconds: number;
}

/** Options of one attempt. */
export interface AskOptions {
  readonly request: string;
  readonly kind: RequestKind;
  /** Path of the request, without its query. */
  readonly path: string;
  readonly target: CallerTarget;
  readonly lastEvent?: number;
}

/** Callers that ask until they are stopped. */
export interface Callers {
  /** Makes one attempt and records it. */
  readonly ask: (options: AskOptions) => Promise<CallerAttempt>;
  /** Lets callers ask until they are stopped. */
  readonly start: () => void;
  /** Resolves when the last attempt has ended. */
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
/** Kinds of requests by their share, which add up to 1. */
const SHARES: readonly (readonly [RequestKind, number])[] = [
  ['stream', 0.5],
  ['lookUp', 0.3],
  ['booking', 0.2],
];
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MOST_ATTEMPTS = 3;
const LONGEST_PAUSE_MILLISECONDS = 150;
const LONGEST_RETRY_AFTER_SECONDS = 1;
/** Share of requests for which a caller keeps its address. */
const KEPT_SHARE = 0.7;
/** Bytes of an answer that a caller keeps; no sound answer is longer. */
const MOST_BODY_BYTES = 65_536;

/** Outcomes after which a caller tries again; a booking only when it is told that it did not run. */
const RETRIED: Readonly<Record<RequestKind, readonly AttemptOutcome[]>> = {
  stream: ['refused', 'failed', 'cut', 'timedOut'],
  lookUp: ['refused', 'failed', 'cut', 'timedOut'],
  booking: ['refused'],
};

function findOutcome(status: number): AttemptOutcome {
  if (status === 200) return 'answered';
  return REFUSALS.has(status) ? 'refused' : 'failed';
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
 * @param options - the nodes, and where to record
 * @returns the callers, which do not ask yet
 * @example
 * const callers = createCallers(options);
 * callers.start();
 */
export function createCallers(options: CreateCallersOptions): Callers {
  const { targets, record, now, random, host, key } = options;
  const running: Promise<void>[] = [];
  let isStopped = false;
  let requests = 0;
  let attempts = 0;

  const send = (attempt: CallerAttempt, path: string, address: string, agent: Agent) =>
    new Promise<number>((resolve) => {
      const [hostname, port] = address.split(':');
      const { kind, lastEvent, request } = attempt;
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
          Credential: key,
          'Token-Counts': '20,10',
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
          if (attempt.body.length < MOST_BODY_BYTES) attempt.body += chunk.toString();
        });
        incoming.on('error', () => {
          finish('cut');
        });
        incoming.on('end', () => {
          finish(incoming.complete ? findOutcome(attempt.status) : 'cut');
        });
        incoming.on('close', () => {
          finish('cut');
        });
      });
      outgoing.end(kind === 'booking' ? 'book' : undefined);
    });

  const open = ({ request, kind, target, lastEvent = 0 }: AskOptions): CallerAttempt => {
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
    };
    record.attempts.push(attempt);
    return attempt;
  };
  const pickTarget = (): CallerTarget => {
    const target = targets[Math.floor(random() * targets.length)];
    if (!target) throw new Error('callers know no node');
    return target;
  };
  const pickKind = (): RequestKind => {
    let left = random();
    for (const [kind, share] of SHARES) {
      left -= share;
      if (left < 0) return kind;
    }
    return 'stream';
  };
  /** One request with its retries, elsewhere each time. */
  const askUntilDone = async (first: CallerTarget, agent: Agent): Promise<void> => {
    requests += 1;
    const request = `r${requests}`;
    const kind = pickKind();
    let target = first;
    let lastEvent = 0;
    for (let tried = 0; tried < MOST_ATTEMPTS && !isStopped; tried += 1) {
      const attempt = open({ request, kind, path: PATHS[kind], target, lastEvent });
      const retryAfter = await send(attempt, PATHS[kind], target.address, agent);
      if (!RETRIED[kind].includes(attempt.outcome)) return;
      if (kind === 'stream' && attempt.status === 200) {
        lastEvent = readEvents(attempt.body, request, lastEvent).last;
      }
      await sleep(Math.min(LONGEST_RETRY_AFTER_SECONDS, retryAfter) * 1_000);
      target = pickTarget();
    }
  };
  const runCaller = async (): Promise<void> => {
    const agent = new Agent({ keepAlive: true });
    let target = pickTarget();
    while (!isStopped) {
      if (random() > KEPT_SHARE) target = pickTarget();
      await askUntilDone(target, agent);
      await sleep(random() * LONGEST_PAUSE_MILLISECONDS);
    }
    agent.destroy();
  };
  return {
    ask: async (asked) => {
      const attempt = open(asked);
      const agent = new Agent();
      await send(attempt, asked.path, asked.target.address, agent);
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
