import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecord } from '../createRecord/index.js';
import { formatAnswer, formatEvent } from '../describeStream/index.js';
import type { CallerAttempt, EndpointSend, SoakBounds, SoakRecord } from '../types/index.js';
import { CHECKS, findViolations } from './index.js';

const BOUNDS: SoakBounds = {
  layers: 4,
  events: 3,
  attemptMilliseconds: 10_000,
  stopMilliseconds: 9_000,
  forceMilliseconds: 17_000,
  drainMilliseconds: 2_000,
  retryRatio: 0.2,
  retrySlack: 2,
  retryWindowMilliseconds: 10_000,
  moreDescriptors: 20,
  moreMegabytes: 50,
};

const SOUND_ATTEMPT: CallerAttempt = {
  request: 'r1',
  attempt: 'r1-1',
  kind: 'booking',
  node: 'node-0',
  sentAt: 1_000,
  lastEvent: 0,
  endedAt: 1_100,
  outcome: 'answered',
  status: 200,
  body: formatAnswer('r1'),
  endpoint: 'engine-0',
  saysLeaving: false,
  headAt: 1_090,
};
const SOUND_SEND: EndpointSend = {
  request: 'r1',
  attempt: 'r1-1',
  kind: 'booking',
  endpoint: 'engine-0',
  birth: 1,
  at: 1_010,
  hasRun: true,
  path: undefined,
};
const STREAM = { ...SOUND_ATTEMPT, kind: 'stream' } as const;
const EVENTS = [1, 2, 3].map((number) => formatEvent('r1', number));
const WHOLE_STREAM = EVENTS.join('');

/** A record of one booking that went well, with changes. */
function record(changes: Partial<SoakRecord> = {}): SoakRecord {
  return { ...createRecord(), attempts: [SOUND_ATTEMPT], sends: [SOUND_SEND], ...changes };
}

function streamWith(body: string, changes: Partial<CallerAttempt> = {}): SoakRecord {
  return record({ attempts: [{ ...STREAM, body, ...changes }] });
}

/** Requests that reach an endpoint through one node, after some time, one in 10 ms. */
function sendLater(count: number, after: number): Pick<SoakRecord, 'attempts' | 'sends'> {
  const at = (index: number): number => 1_000 + after + 10 * index;
  const names = Array.from({ length: count }, (_, index) => `r${index + 2}`);
  const attempts = names.map((request, index) => ({
    ...SOUND_ATTEMPT,
    request,
    attempt: `${request}-1`,
    sentAt: at(index),
    endedAt: at(index) + 5,
    headAt: at(index) + 5,
    body: formatAnswer(request),
  }));
  const sends = names.map((request, index) => ({
    ...SOUND_SEND,
    request,
    attempt: `${request}-1`,
    at: at(index),
  }));
  return { attempts: [SOUND_ATTEMPT, ...attempts], sends: [SOUND_SEND, ...sends] };
}

const FROZEN = { kind: 'freeze', target: 'node-0', from: 1_050, until: 1_060 };
const REST = { endpoint: 'engine-0', birth: 1, attempt: 'r1-1', at: 1_000, milliseconds: 2_000 };
const LEAVING = { ...SOUND_ATTEMPT, saysLeaving: true };
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

function leaveThenSend(after: number, changes: Partial<SoakRecord> = {}): SoakRecord {
  const { attempts, sends } = sendLater(1, after);
  return record({ attempts: [LEAVING, ...attempts.slice(1)], sends, ...changes });
}

/** Records in which a promise is broken, and some that look like it and are sound. */
const CASES: readonly (readonly [string, string, SoakRecord])[] = [
  [
    'an answer is whole, correct and its own',
    'another answer',
    record({ attempts: [{ ...SOUND_ATTEMPT, body: formatAnswer('r2') }] }),
  ],
  [
    'an answer is whole, correct and its own',
    'a part of an answer that ended as whole',
    record({ attempts: [{ ...SOUND_ATTEMPT, body: 'done' }] }),
  ],
  [
    'an answer is whole, correct and its own',
    'an event that is missing',
    streamWith(`${EVENTS[0] ?? ''}${EVENTS[2] ?? ''}`),
  ],
  [
    'an answer is whole, correct and its own',
    'an event twice',
    streamWith(`${EVENTS[0] ?? ''}${WHOLE_STREAM}`),
  ],
  [
    'an answer is whole, correct and its own',
    'two events that are joined',
    streamWith(WHOLE_STREAM.replace('\n\nid', '\nid')),
  ],
  [
    'an answer is whole, correct and its own',
    'an event of another request, in a stream that broke',
    streamWith(formatEvent('r2', 1), { outcome: 'cut' }),
  ],
  [
    'an answer is whole, correct and its own',
    'a stream that ends too soon',
    streamWith(EVENTS[0] ?? ''),
  ],
  [
    'an answer is whole, correct and its own',
    'a resumed stream that begins anew',
    streamWith(WHOLE_STREAM, { lastEvent: 1 }),
  ],
  [
    'a booking runs once at most, and once where it is answered',
    'two runs',
    record({ sends: [SOUND_SEND, { ...SOUND_SEND, endpoint: 'engine-1' }] }),
  ],
  [
    'a booking runs once at most, and once where it is answered',
    'an answer without a run',
    record({ sends: [] }),
  ],
  [
    'a refused request has not run and never does',
    'a refusal after a run',
    record({ attempts: [{ ...SOUND_ATTEMPT, outcome: 'refused', status: 503 }] }),
  ],
  [
    'every request ends',
    'a request without an end',
    record({ attempts: [{ ...SOUND_ATTEMPT, outcome: 'timedOut', endedAt: 12_000 }] }),
  ],
  [
    'a path holds each layer once and in order',
    'a gap',
    record({
      sends: [
        {
          ...SOUND_SEND,
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
    'an overlap',
    record({
      sends: [
        {
          ...SOUND_SEND,
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
    'a missing end',
    record({ sends: [{ ...SOUND_SEND, path: [{ from: 0, to: 3 }] }] }),
  ],
  [
    'an endpoint at rest gets nothing from a node that knows',
    'three requests',
    record({ ...sendLater(3, 700), rests: [REST] }),
  ],
  ['a leaving endpoint gets nothing from a node that knows', 'a request', leaveThenSend(2_200)],
  [
    'requests are repeated within the budget',
    'many repeats',
    record({
      sends: [SOUND_SEND, SOUND_SEND, SOUND_SEND, SOUND_SEND].map((send, index) => ({
        ...send,
        hasRun: index === 0,
      })),
    }),
  ],
  [
    'a planned stop cuts no request that was under way',
    'a cut',
    record({
      attempts: [{ ...SOUND_ATTEMPT, outcome: 'cut', status: 0, body: '' }],
      ends: [STOPPED],
    }),
  ],
  [
    'a node that is asked to stop ends in time',
    'no end',
    record({ ends: [{ ...STOPPED, endedAt: Infinity, code: null }] }),
  ],
  [
    'a node that is asked to stop ends in time',
    'a fault',
    record({ ends: [{ ...STOPPED, code: 1 }] }),
  ],
  [
    'a node keeps its open files and memory',
    'open files',
    record({ processes: [PROCESS, { ...PROCESS, descriptors: 90 }] }),
  ],
  [
    'a node keeps its open files and memory',
    'memory',
    record({
      processes: [PROCESS, { ...PROCESS, at: 12_000 }, { ...PROCESS, at: 14_000, megabytes: 190 }],
    }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'late',
    record({ versions: [VERSION], writes: WRITES }),
  ],
  [
    'an accepted configuration is in force in time and never goes back',
    'back',
    record({
      versions: [
        { ...VERSION, version: 2 },
        { ...VERSION, at: 20_500 },
      ],
    }),
  ],
  ['after all faults every node serves every kind of request', 'no streams', record({ calmAt: 0 })],
];

for (const [promise, what, broken] of CASES) {
  test(`broken: ${promise}: ${what}`, () => {
    const found = new Set(findViolations(broken, BOUNDS).map((violation) => violation.promise));
    assert.ok(found.has(promise), [...found].join(', '));
  });
}

test('every check has a record that breaks its promise', () => {
  const broken = new Set(CASES.map(([promise]) => promise));
  for (const { promise } of CHECKS) assert.ok(broken.has(promise), promise);
});

const SOUND: readonly (readonly [string, SoakRecord])[] = [
  ['a booking', record()],
  ['a whole stream', streamWith(WHOLE_STREAM)],
  ['a stream that broke, with a part of its events', streamWith('id: 1\nda', { outcome: 'cut' })],
  ['a resumed stream', streamWith(`${EVENTS[1] ?? ''}${EVENTS[2] ?? ''}`, { lastEvent: 1 })],
  ['two requests to an endpoint at rest', record({ ...sendLater(2, 700), rests: [REST] })],
  [
    'requests that were under way when rest was asked for',
    record({ ...sendLater(20, 100), rests: [REST] }),
  ],
  ['requests after the end of the rest', record({ ...sendLater(9, 2_100), rests: [REST] })],
  ['a request soon after an endpoint said that it leaves', leaveThenSend(500)],
  [
    'a request through a node that was frozen since',
    leaveThenSend(2_200, { disturbances: [{ ...FROZEN, until: 1_500 }] }),
  ],
  [
    'a cut by a frozen node',
    record({
      attempts: [{ ...SOUND_ATTEMPT, outcome: 'cut', status: 0, body: '' }],
      ends: [STOPPED],
      disturbances: [FROZEN],
    }),
  ],
  [
    'a late version at a node without the store',
    record({
      versions: [VERSION],
      writes: WRITES,
      disturbances: [{ kind: 'storeLink', target: 'node-0', from: 900, until: 19_000 }],
    }),
  ],
];

for (const [what, sound] of SOUND) {
  test(`sound: ${what}`, () => {
    assert.deepEqual(findViolations(sound, BOUNDS), []);
  });
}
