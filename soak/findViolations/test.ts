/**
 * Records with one violation each guard against a check that no longer detects it, and valid records against false
 * violations.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecord } from '../createRecord/index.js';
import { formatResponse, formatEvent } from '../readEvents/index.js';
import type { CallerAttempt, EndpointSend, SoakBounds, SoakRecord } from '../types/index.js';
import { CHECKS, findViolations } from './index.js';

const BOUNDS: SoakBounds = {
  layers: 4,
  events: 3,
  attemptMilliseconds: 10_000,
  stopMilliseconds: 9_000,
  applyMilliseconds: 17_000,
  contactApplyMilliseconds: 2_000,
  noticeMilliseconds: 1_000,
  registerMilliseconds: 10_000,
  drainMilliseconds: 2_000,
  retryRatio: 0.2,
  retrySlack: 2,
  retryWindowMilliseconds: 10_000,
  crashesUntilKnown: 5,
  contactMilliseconds: 3_000,
  maximumKnownSends: 3,
  maximumDescriptorGrowth: 20,
  maximumMegabyteGrowth: 50,
};

const VALID_ATTEMPT: CallerAttempt = {
  request: 'r1',
  attempt: 'r1-1',
  kind: 'booking',
  node: 'node-0',
  sentAt: 1_000,
  lastEvent: 0,
  endedAt: 1_100,
  outcome: 'answered',
  status: 200,
  body: formatResponse('r1'),
  endpoint: 'engine-0',
  saysLeaving: false,
  headAt: 1_090,
  parts: [],
};
const VALID_SEND: EndpointSend = {
  request: 'r1',
  attempt: 'r1-1',
  kind: 'booking',
  endpoint: 'engine-0',
  birth: 1,
  at: 1_010,
  hasRun: true,
  path: undefined,
  parts: [],
};
const STREAM = { ...VALID_ATTEMPT, kind: 'stream' } as const;
const EVENTS = [1, 2, 3].map((number) => formatEvent('r1', number));
const COMPLETE_STREAM = EVENTS.join('');

/** Creates a record of one valid booking, with changes. */
function record(changes: Partial<SoakRecord> = {}): SoakRecord {
  return { ...createRecord(), attempts: [VALID_ATTEMPT], sends: [VALID_SEND], ...changes };
}

function createStreamRecord(body: string, changes: Partial<CallerAttempt> = {}): SoakRecord {
  return record({ attempts: [{ ...STREAM, body, ...changes }] });
}

/** Creates requests that reach an endpoint through one node after a delay, one every 10 ms. */
function createLaterRequests(count: number, after: number): Pick<SoakRecord, 'attempts' | 'sends'> {
  const at = (index: number): number => 1_000 + after + 10 * index;
  const names = Array.from({ length: count }, (_, index) => `r${index + 2}`);
  const attempts = names.map((request, index) => ({
    ...VALID_ATTEMPT,
    request,
    attempt: `${request}-1`,
    sentAt: at(index),
    endedAt: at(index) + 5,
    headAt: at(index) + 5,
    body: formatResponse(request),
  }));
  const sends = names.map((request, index) => ({
    ...VALID_SEND,
    request,
    attempt: `${request}-1`,
    at: at(index),
  }));
  return { attempts: [VALID_ATTEMPT, ...attempts], sends: [VALID_SEND, ...sends] };
}

const FROZEN = { kind: 'freeze', target: 'node-0', from: 1_050, until: 1_060 };
const LIMIT = { endpoint: 'engine-0', birth: 1, requestsPerSecond: 1, from: 1_000, until: 9_000 };
const BACKOFF = { endpoint: 'engine-0', birth: 1, attempt: 'r1-1', at: 1_000, milliseconds: 2_000 };
const UNFINISHED = { request: 'r1', endpoint: 'engine-0', at: 1_050 };
const LEAVING = { ...VALID_ATTEMPT, saysLeaving: true };
const STOPPED = {
  node: 'node-0',
  birth: 1,
  isPlanned: true,
  askedAt: 1_050,
  endedAt: 2_000,
  code: 0,
};
const PROCESS = { node: 'node-0', birth: 1, at: 0, descriptors: 30, megabytes: 40 };
const VERSION = { node: 'node-0', birth: 1, version: 1, at: 20_000 };
const WRITES = [
  { version: 1, at: 0 },
  { version: 2, at: 1_000 },
];
const SILENCE = { kind: 'silence', target: 'node-0' };
const RESTORED = { kind: 'restored', target: 'store', from: 3_000, until: 6_000 };
const RESTORATION = { copiedAt: 500, awayAt: 3_000, returnedAt: 4_500, rewrittenAt: 6_000 };
/** A restoration that loses the second version before nodes have to know it. */
const EARLY_RESTORATION = { ...RESTORATION, awayAt: 1_500 };
const DEPARTURE = { endpoint: 'engine-0', birth: 1, at: 1_000 };
const REGISTRATION = { node: 'node-0', birth: 1, at: 0, isRegistered: true };
const MISSING = { ...REGISTRATION, at: 19_000, isRegistered: false };

function createRequestAfterDeparture(after: number, changes: Partial<SoakRecord> = {}) {
  return record({ ...createLaterRequests(1, after), departures: [DEPARTURE], ...changes });
}

function createRequestAfterLeaving(after: number, changes: Partial<SoakRecord> = {}): SoakRecord {
  const { attempts, sends } = createLaterRequests(1, after);
  return record({ attempts: [LEAVING, ...attempts.slice(1)], sends, ...changes });
}

/** Creates a record of five crashes by one part, and of requests with it after a delay. */
function createCrashRecord(
  count: number,
  after: number,
  changes: Partial<SoakRecord> = {},
): SoakRecord {
  const parts = ['head-1', 'crash-1', 'own'];
  const { attempts, sends } = createLaterRequests(count, after);
  return record({
    attempts: attempts.map((attempt) => ({ ...attempt, parts })),
    sends: sends.map((send) => ({ ...send, parts })),
    crashes: Array.from({ length: 5 }, (_, index) => ({
      part: 'crash-1',
      endpoint: `engine-${index}`,
      at: 600 + 100 * index,
    })),
    ...changes,
  });
}
const BLOCKED_ATTEMPT: CallerAttempt = {
  ...STREAM,
  outcome: 'refused',
  status: 503,
  body: '{"error":{"code":1512}}',
  parts: ['head-1', 'own'],
};

/** Promise, description of the violation, and a record that contains it. */
const VIOLATING_RECORDS: readonly (readonly [string, string, SoakRecord])[] = [
  [
    'an answer is whole, correct and its own',
    'response of another request',
    record({ attempts: [{ ...VALID_ATTEMPT, body: formatResponse('r2') }] }),
  ],
  [
    'an answer is whole, correct and its own',
    'truncated response that ended normally',
    record({ attempts: [{ ...VALID_ATTEMPT, body: 'done' }] }),
  ],
  [
    'an answer is whole, correct and its own',
    'missing event',
    createStreamRecord(`${EVENTS[0] ?? ''}${EVENTS[2] ?? ''}`),
  ],
  [
    'an answer is whole, correct and its own',
    'duplicate event',
    createStreamRecord(`${EVENTS[0] ?? ''}${COMPLETE_STREAM}`),
  ],
  [
    'an answer is whole, correct and its own',
    'two merged events',
    createStreamRecord(COMPLETE_STREAM.replace('\n\nid', '\nid')),
  ],
  [
    'an answer is whole, correct and its own',
    'event of another request in an interrupted stream',
    createStreamRecord(formatEvent('r2', 1), { outcome: 'cut' }),
  ],
  [
    'an answer is whole, correct and its own',
    'stream that ends too early',
    createStreamRecord(EVENTS[0] ?? ''),
  ],
  [
    'an answer is whole, correct and its own',
    'resumed stream that starts again at the first event',
    createStreamRecord(COMPLETE_STREAM, { lastEvent: 1 }),
  ],
  [
    'an answer that its endpoint did not finish does not look whole',
    'part of a body without framing in a response that ended normally',
    record({ attempts: [{ ...VALID_ATTEMPT, body: 'done' }], unfinished: [UNFINISHED] }),
  ],
  [
    'an answer that its endpoint did not finish does not look whole',
    'part of a stream without framing in a response that ended normally',
    record({
      attempts: [{ ...STREAM, body: EVENTS[0] ?? '' }],
      unfinished: [UNFINISHED],
    }),
  ],
  [
    'a booking runs once at most, and once where it is answered',
    'two runs of one booking',
    record({ sends: [VALID_SEND, { ...VALID_SEND, endpoint: 'engine-1' }] }),
  ],
  [
    'a booking runs once at most, and once where it is answered',
    'success response without a run',
    record({ sends: [] }),
  ],
  [
    'a refused request has not run and never does',
    'refusal after a run',
    record({ attempts: [{ ...VALID_ATTEMPT, outcome: 'refused', status: 503 }] }),
  ],
  [
    'every request ends',
    'attempt that times out',
    record({ attempts: [{ ...VALID_ATTEMPT, outcome: 'timedOut', endedAt: 12_000 }] }),
  ],
  [
    'a path holds each layer once and in order',
    'gap between layers',
    record({
      sends: [
        {
          ...VALID_SEND,
          path: [
            { from: 0, to: 1 },
            { from: 2, to: 4 },
          ],
        },
      ],
    }),
  ],
  [
    'a path holds each layer once and in order',
    'overlap of layers',
    record({
      sends: [
        {
          ...VALID_SEND,
          path: [
            { from: 0, to: 3 },
            { from: 2, to: 4 },
          ],
        },
      ],
    }),
  ],
  [
    'a path holds each layer once and in order',
    'missing last layers',
    record({ sends: [{ ...VALID_SEND, path: [{ from: 0, to: 3 }] }] }),
  ],
  [
    'a part that crashes endpoints does not reach one after another',
    'four requests with a part that crashed five endpoints',
    createCrashRecord(4, 3_100),
  ],
  [
    'a request without a part that crashes endpoints is not blocked',
    'blocked request with harmless parts',
    record({ attempts: [BLOCKED_ATTEMPT], sends: [] }),
  ],
  [
    'an endpoint at rest gets nothing from a node that knows',
    'three requests during the backoff',
    record({ ...createLaterRequests(3, 700), rests: [BACKOFF] }),
  ],
  [
    'an endpoint with a rate limit gets no more than that from all nodes',
    'twelve requests in four seconds',
    record({ ...createLaterRequests(12, 3_100), limits: [LIMIT] }),
  ],
  [
    'a leaving endpoint gets nothing from a node that knows',
    'request after the drain time',
    createRequestAfterLeaving(2_200),
  ],
  [
    'no request reaches the address of an odd entry',
    'request of a node',
    record({ strays: [{ request: 'r1', method: 'GET', url: '/look/one?request=r1', at: 1_200 }] }),
  ],
  [
    'no request reaches the address of an odd entry',
    'order of a node, which names no request',
    record({ strays: [{ request: '', method: 'POST', url: '/orders', at: 1_200 }] }),
  ],
  [
    'requests are repeated within the budget',
    'more repeated sends than the budget allows',
    record({
      sends: [VALID_SEND, VALID_SEND, VALID_SEND, VALID_SEND].map((send, index) => ({
        ...send,
        hasRun: index === 0,
      })),
    }),
  ],
  [
    'a planned stop cuts no request that was under way',
    'interrupted request',
    record({
      attempts: [{ ...VALID_ATTEMPT, outcome: 'cut', status: 0, body: '' }],
      ends: [STOPPED],
    }),
  ],
  [
    'a node that is asked to stop ends in time',
    'process that does not exit',
    record({ ends: [{ ...STOPPED, endedAt: Infinity, code: null }] }),
  ],
  [
    'a node catches its exceptions',
    'exception that nothing caught',
    record({ internalErrors: [{ node: 'node-0', line: '{"message":"internal-error"}' }] }),
  ],
  [
    'a node that is asked to stop ends in time',
    'exit code other than 0',
    record({ ends: [{ ...STOPPED, code: 1 }] }),
  ],
  [
    'no node ends by itself',
    'exit with an error',
    record({ deaths: [{ node: 'node-0', birth: 1, at: 1_200, code: 1 }] }),
  ],
  [
    'no node ends by itself',
    'exit with code 0 while odd entries stand',
    record({
      deaths: [{ node: 'node-0', birth: 1, at: 1_200, code: 0 }],
      disturbances: [{ kind: 'oddEntries', target: 'registry', from: 1_000, until: 3_000 }],
    }),
  ],
  [
    'a node keeps its open files and memory',
    'growing number of open files',
    record({ processes: [PROCESS, { ...PROCESS, descriptors: 90 }] }),
  ],
  [
    'a node keeps its open files and memory',
    'growing memory',
    record({
      processes: [PROCESS, { ...PROCESS, at: 12_000 }, { ...PROCESS, at: 14_000, megabytes: 190 }],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'version that is applied too late',
    record({ versions: [VERSION], writes: WRITES }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'return to an older version',
    record({
      versions: [
        { ...VERSION, version: 2 },
        { ...VERSION, at: 20_500 },
      ],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'odd configuration that took the place of a good one',
    record({ versions: [VERSION, { ...VERSION, version: 0, at: 20_500 }] }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'version that the restored store had lost, and that is applied too late',
    record({
      versions: [VERSION],
      writes: WRITES,
      disturbances: [RESTORED],
      restorations: [RESTORATION],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'lost version that is applied too late after the operator has written it again',
    record({
      versions: [{ ...VERSION, at: 23_500 }],
      writes: WRITES,
      disturbances: [{ ...RESTORED, from: 1_500 }],
      restorations: [EARLY_RESTORATION],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'late version on a node whose last fault is longer ago than it may take',
    record({
      versions: [{ ...VERSION, at: 40_000 }],
      writes: WRITES,
      disturbances: [{ kind: 'storeLink', target: 'node-0', from: 900, until: 22_000 }],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'late version on a node whose connections went silent before its contact time',
    record({
      versions: [{ ...VERSION, at: 4_600 }],
      writes: WRITES,
      disturbances: [{ ...SILENCE, from: 1_500, until: 1_500 }],
    }),
  ],
  [
    'an endpoint that has left the registry gets nothing from a node that knows',
    'request after the drain time',
    createRequestAfterDeparture(2_200),
  ],
  [
    'an endpoint that has left the registry gets nothing from a node that knows',
    'request after the drain time through a node whose connections went silent before its contact time',
    createRequestAfterDeparture(2_200, {
      disturbances: [{ ...SILENCE, from: 100, until: 100 }],
    }),
  ],
  [
    'an endpoint that has left the registry gets nothing from a node that knows',
    'request after the store was restored',
    createRequestAfterDeparture(4_000, {
      disturbances: [RESTORED],
      restorations: [RESTORATION],
    }),
  ],
  [
    'a running node is registered in the store',
    'registration that is not back after the store was restored',
    record({
      registrations: [REGISTRATION, MISSING],
      disturbances: [RESTORED],
      restorations: [RESTORATION],
    }),
  ],
  [
    'an endpoint that lives receives requests again after the store was restored',
    'no requests after all faults',
    record({ calmAt: 9_000, restorations: [RESTORATION] }),
  ],
  [
    'after all faults every node serves every kind of request',
    'no answered streams',
    record({ calmAt: 0 }),
  ],
];

for (const [promise, description, violating] of VIOLATING_RECORDS) {
  test(`reports a violation of "${promise}": ${description}`, () => {
    const found = new Set(findViolations(violating, BOUNDS).map((violation) => violation.promise));
    assert.ok(found.has(promise), [...found].join(', '));
  });
}

test('has a violating record for every check', () => {
  const violated = new Set(VIOLATING_RECORDS.map(([promise]) => promise));
  for (const { promise } of CHECKS) assert.ok(violated.has(promise), promise);
});

const VALID_RECORDS: readonly (readonly [string, SoakRecord])[] = [
  ['answered booking', record()],
  ['complete stream', createStreamRecord(COMPLETE_STREAM)],
  [
    'stream that another endpoint continued after its endpoint had ended',
    record({ attempts: [{ ...STREAM, body: COMPLETE_STREAM }], unfinished: [UNFINISHED] }),
  ],
  [
    'interrupted stream with a part of its events',
    createStreamRecord('id: 1\nda', { outcome: 'cut' }),
  ],
  ['resumed stream', createStreamRecord(`${EVENTS[1] ?? ''}${EVENTS[2] ?? ''}`, { lastEvent: 1 })],
  ['two requests during a backoff', record({ ...createLaterRequests(2, 700), rests: [BACKOFF] })],
  [
    'requests already in flight when the backoff was requested',
    record({ ...createLaterRequests(20, 100), rests: [BACKOFF] }),
  ],
  [
    'requests after the end of the backoff',
    record({ ...createLaterRequests(9, 2_100), rests: [BACKOFF] }),
  ],
  [
    'eleven requests in four seconds to an endpoint with a rate limit of one a second',
    record({ ...createLaterRequests(11, 3_100), limits: [LIMIT] }),
  ],
  [
    'requests before the nodes have to know a rate limit',
    record({ ...createLaterRequests(30, 2_000), limits: [LIMIT] }),
  ],
  [
    'requests of a node that was frozen after the rate limit was announced',
    record({ ...createLaterRequests(30, 3_100), limits: [LIMIT], disturbances: [FROZEN] }),
  ],
  ['three requests with a part that crashed five endpoints', createCrashRecord(3, 3_100)],
  ['requests with such a part before the nodes have to know it', createCrashRecord(9, 1_000)],
  [
    'blocked request that was on two endpoints that ended',
    record({
      attempts: [BLOCKED_ATTEMPT],
      sends: ['r1-0', 'r1-2'].map((attempt) => ({ ...VALID_SEND, attempt, kind: 'stream' })),
    }),
  ],
  ['request within the drain time of a leaving endpoint', createRequestAfterLeaving(500)],
  [
    'request through a node that was frozen after the shutdown notice',
    createRequestAfterLeaving(2_200, { disturbances: [{ ...FROZEN, until: 1_500 }] }),
  ],
  [
    'request interrupted by a frozen node',
    record({
      attempts: [{ ...VALID_ATTEMPT, outcome: 'cut', status: 0, body: '' }],
      ends: [STOPPED],
      disturbances: [FROZEN],
    }),
  ],
  [
    'version that the store lost before nodes had to know it, within the time after it was written again',
    record({
      versions: [{ ...VERSION, at: 7_900 }],
      writes: WRITES,
      disturbances: [{ ...RESTORED, from: 1_500 }],
      restorations: [EARLY_RESTORATION],
    }),
  ],
  [
    'late version on a node whose connections went silent within its contact time',
    record({
      versions: [{ ...VERSION, at: 4_600 }],
      writes: WRITES,
      disturbances: [{ ...SILENCE, from: 1_700, until: 1_700 }],
    }),
  ],
  [
    'odd entries of which nothing was taken',
    record({
      disturbances: [{ kind: 'oddEntries', target: 'registry', from: 1_000, until: 3_000 }],
    }),
  ],
  [
    'request to a departed endpoint through a node whose connections went silent within its contact time',
    createRequestAfterDeparture(2_200, {
      disturbances: [{ ...SILENCE, from: 700, until: 700 }],
    }),
  ],
  ['request within the drain time of a departed endpoint', createRequestAfterDeparture(1_900)],
  [
    'request to a departed endpoint through a node that started after its departure',
    createRequestAfterDeparture(2_200, {
      disturbances: [{ kind: 'kill', target: 'node-0', from: 1_500, until: 2_500 }],
    }),
  ],
  [
    'request to an endpoint whose departure the store lost before nodes had to know it',
    createRequestAfterDeparture(3_500, {
      disturbances: [{ ...RESTORED, from: 1_500 }],
      restorations: [EARLY_RESTORATION],
    }),
  ],
  [
    'endpoint without requests after all faults that broke off answers before',
    record({
      calmAt: 9_000,
      restorations: [RESTORATION],
      disturbances: [{ kind: 'breaksOff', target: 'engine-0', from: 1_000, until: 2_000 }],
      attempts: [],
    }),
  ],
  [
    'missing registration shortly after the store was restored',
    record({
      registrations: [REGISTRATION, { ...MISSING, at: 15_000 }],
      disturbances: [RESTORED],
      restorations: [RESTORATION],
    }),
  ],
  [
    'late version on a node without a connection to the store',
    record({
      versions: [VERSION],
      writes: WRITES,
      disturbances: [{ kind: 'storeLink', target: 'node-0', from: 900, until: 19_000 }],
    }),
  ],
];

for (const [description, valid] of VALID_RECORDS) {
  test(`reports no violation: ${description}`, () => {
    assert.deepEqual(findViolations(valid, BOUNDS), []);
  });
}
