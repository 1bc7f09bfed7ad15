/**
 * Guards against runs that are given up for an endpoint that only seems lost, before another run is
 * certain.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { SilenceReaction } from '../watchStream/index.js';
import { watchLostEndpoints, type WatchLostEndpointsOptions } from './index.js';

const TIME_TO_REPLACE = 90;
const SIZE = { promptTokens: 10, answerTokens: 0, roomTokens: 20 };

function createPath(...endpoints: string[]): ChosenPath {
  const hops = endpoints.map((endpoint, index) => ({
    endpoint,
    address: `127.0.0.1:${index + 1}`,
    range: { from: index, to: index + 1 },
  }));
  return { hops, firstEventMilliseconds: 50, pauseMilliseconds: 20 };
}

interface Stream {
  isSilent: boolean;
  /** Time until a run that is not silent may be moved, in milliseconds. */
  timeToMove: number;
  isEstablished: boolean;
  retriesLeft: number;
  mayRepeat: boolean;
  lost: string[];
  movedPath: ChosenPath | undefined;
  otherPath: ChosenPath | undefined;
  readonly outcomes: string[];
  /** Times after which the path is checked again, in milliseconds. */
  readonly pauses: number[];
  readonly reportLost: (endpoint: string) => void;
  /** Runs the timers that are due next. */
  readonly elapse: () => void;
}

/** Watches a stream that runs on the endpoints a and b. */
function watchStream(changes: Partial<Stream> = {}): Stream {
  let listener: (endpoint: string) => void = () => undefined;
  let timers: (() => void)[] = [];
  const path = createPath('a', 'b');
  const stream: Stream = {
    isSilent: true,
    timeToMove: 40,
    isEstablished: true,
    retriesLeft: 1,
    mayRepeat: false,
    lost: [],
    movedPath: undefined,
    otherPath: undefined,
    outcomes: [],
    pauses: [],
    reportLost: (endpoint) => {
      stream.lost.push(endpoint);
      listener(endpoint);
    },
    elapse: () => {
      const due = timers;
      timers = [];
      for (const timer of due) timer();
    },
    ...changes,
  };
  const options = {
    context: {
      clock: {
        now: () => 0,
        schedule: (pause: number, action: () => void) => {
          stream.pauses.push(pause);
          timers.push(action);
          return () => {
            timers = timers.filter((timer) => timer !== action);
          };
        },
      },
      decisions: { movesRuns: true },
      onLost: (callback: (endpoint: string) => void) => {
        listener = callback;
        return () => undefined;
      },
    },
    request: {
      service: { name: 'assistant' },
      log: {
        add: (event: string) => {
          stream.outcomes.push(event);
        },
      },
    },
    paths: {
      selectWithFirstHop: () => stream.movedPath,
      selectWithoutEndpoints: () => stream.otherPath,
      findLost: (hops: ChosenPath['hops']) =>
        hops.find(({ endpoint }) => stream.lost.includes(endpoint)),
    },
    getPath: () => path,
    isRunning: () => true,
    isEstablished: () => stream.isEstablished,
    getTimeToSilence: (reaction: SilenceReaction) => {
      if (stream.isSilent) return 0;
      return reaction === 'move' ? stream.timeToMove : TIME_TO_REPLACE;
    },
    hasBegun: () => true,
    mayReplace: () => stream.retriesLeft >= 1,
    computeSize: () => SIZE,
    checkSuspect: () => {
      stream.outcomes.push('suspect');
      return Promise.resolve(stream.mayRepeat);
    },
    onMove: () => stream.outcomes.push('move'),
    onReplace: () => stream.outcomes.push('replace'),
  } as unknown as WatchLostEndpointsOptions;
  watchLostEndpoints(options);
  return stream;
}

const OTHER = createPath('c', 'b');
const MOVED = createPath('a', 'd');

interface Case {
  readonly name: string;
  readonly changes: Partial<Stream>;
  readonly lost: string;
  readonly outcomes: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'moves a silent run off a later endpoint',
    changes: { movedPath: MOVED, otherPath: OTHER },
    lost: 'b',
    outcomes: ['move'],
  },
  {
    name: 'replaces a silent run that cannot be moved',
    changes: { otherPath: OTHER },
    lost: 'b',
    outcomes: ['replace'],
  },
  {
    name: 'replaces a silent run whose first endpoint is lost',
    changes: { movedPath: MOVED, otherPath: OTHER },
    lost: 'a',
    outcomes: ['replace'],
  },
  {
    name: 'keeps a run that no path can take over',
    changes: {},
    lost: 'a',
    outcomes: ['run-kept'],
  },
  {
    name: 'keeps a run when the retry budget is used up',
    changes: { otherPath: OTHER, retriesLeft: 0 },
    lost: 'b',
    outcomes: ['run-kept'],
  },
  {
    name: 'keeps a run that still delivers events',
    changes: { isSilent: false, movedPath: MOVED, otherPath: OTHER },
    lost: 'a',
    outcomes: [],
  },
  {
    name: 'keeps a run that is not established while it is not silent',
    changes: { isEstablished: false, isSilent: false, otherPath: OTHER },
    lost: 'a',
    outcomes: [],
  },
  {
    name: 'keeps a run that may have crashed its first endpoint',
    changes: { isEstablished: false, otherPath: OTHER },
    lost: 'a',
    outcomes: ['suspect', 'run-kept'],
  },
  {
    name: 'replaces a run that did not crash its first endpoint',
    changes: { isEstablished: false, mayRepeat: true, otherPath: OTHER },
    lost: 'a',
    outcomes: ['suspect', 'replace'],
  },
  {
    name: 'keeps a run that did not crash its first endpoint and that no path can take over',
    changes: { isEstablished: false, mayRepeat: true },
    lost: 'a',
    outcomes: ['suspect', 'run-kept'],
  },
  {
    name: 'ignores the loss of an endpoint of another path',
    changes: { otherPath: OTHER },
    lost: 'c',
    outcomes: [],
  },
];

for (const { name, changes, lost, outcomes } of CASES) {
  test(name, async () => {
    const stream = watchStream(changes);
    stream.reportLost(lost);
    await Promise.resolve();
    await Promise.resolve();
    assert.deepEqual(stream.outcomes, outcomes);
  });
}

test('replaces a kept run as soon as another path has room', () => {
  const stream = watchStream();
  stream.reportLost('a');
  stream.elapse();
  stream.otherPath = OTHER;
  stream.elapse();
  assert.deepEqual(stream.outcomes, ['run-kept', 'replace']);
});

test('replaces a run that delivered events at first and fell silent', () => {
  const stream = watchStream({ isSilent: false, otherPath: OTHER });
  stream.reportLost('b');
  stream.isSilent = true;
  stream.elapse();
  assert.deepEqual(stream.outcomes, ['replace']);
});

/** Guards against streams that pause for longer than callers accept, as a lost endpoint is checked too late again. */
test('checks a run again at the time at which it may be moved, and then moves it', () => {
  const stream = watchStream({ isSilent: false, movedPath: MOVED, otherPath: OTHER });
  stream.reportLost('b');
  assert.deepEqual(stream.pauses, [40]);
  stream.timeToMove = 0;
  stream.elapse();
  assert.deepEqual(stream.outcomes, ['move']);
});

test('replaces a run that cannot be moved only after a longer silence', () => {
  const stream = watchStream({ isSilent: false, timeToMove: 0, otherPath: OTHER });
  stream.reportLost('b');
  assert.deepEqual([stream.outcomes, stream.pauses], [[], [TIME_TO_REPLACE]]);
  stream.isSilent = true;
  stream.elapse();
  assert.deepEqual(stream.outcomes, ['replace']);
});
