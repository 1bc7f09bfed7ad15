/**
 * Measures bookings against a store that performs 300 writes per second, with intents written one
 * by one and committed in groups, and the outcomes of bookings with and without tickets while the
 * store is unavailable.
 */
import { createEventQueue, type EventQueue } from '../../standins/createEventQueue/index.js';
import { createVirtualFleet } from '../../standins/createVirtualFleet/index.js';
import { readOutcome, sendBooking, sendRequest, startSystem } from '../../tests/support/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';

const WRITES_PER_SECOND = 300;
const STORE_MILLISECONDS = 3;
const NODES = 6;
const RUN_MILLISECONDS = 10_000;
const RATES = [1, 10, 100, 1_000];
const GROUP_DELAY_MILLISECONDS = 10;
const DEADLINE_MILLISECONDS = 5_000;
const SEGMENTS = 16;

interface SimulatedStore {
  /** Performs one write; calls back when it is confirmed. */
  readonly write: (done: () => void) => void;
  readonly writes: () => number;
}

function createSimulatedStore(queue: EventQueue): SimulatedStore {
  let busyUntil = 0;
  let writes = 0;
  return {
    write: (done) => {
      writes += 1;
      busyUntil = Math.max(busyUntil, queue.now()) + 1_000 / WRITES_PER_SECOND;
      queue.schedule(busyUntil - queue.now() + STORE_MILLISECONDS, done);
    },
    writes: () => writes,
  };
}

/** Commits a booking with one compare-and-swap for its intent and one for its outcome. */
function commitSingly(store: SimulatedStore, done: () => void): void {
  store.write(() => {
    store.write(done);
  });
}

/**
 * Creates a group commit: intents and outcomes of one node are collected for 10 ms and share a
 * compare-and-swap of a journal segment. A swap that conflicts with that of another node is
 * retried.
 */
function createGroupCommit(queue: EventQueue, store: SimulatedStore) {
  const versions = Array.from({ length: SEGMENTS }, () => 0);
  const nodes = Array.from({ length: NODES }, () =>
    Array.from({ length: SEGMENTS }, () => ({ waiting: [] as (() => void)[], isBusy: false })),
  );
  const flush = (node: number, segment: number): void => {
    const group = nodes[node]?.[segment];
    if (!group || group.isBusy || group.waiting.length === 0) return;
    group.isBusy = true;
    const batch = group.waiting.splice(0);
    const attempt = (): void => {
      const expectedVersion = versions[segment];
      store.write(() => {
        if (versions[segment] !== expectedVersion) {
          attempt();
          return;
        }
        versions[segment] = (versions[segment] ?? 0) + 1;
        group.isBusy = false;
        for (const done of batch) done();
        flush(node, segment);
      });
    };
    attempt();
  };
  const commit = (node: number, segment: number, done: () => void): void => {
    nodes[node]?.[segment]?.waiting.push(done);
    queue.schedule(GROUP_DELAY_MILLISECONDS, () => {
      flush(node, segment);
    });
  };
  return (node: number, segment: number, done: () => void): void => {
    commit(node, segment, () => {
      commit(node, segment, done);
    });
  };
}

function measureRate(rate: number, isGrouped: boolean) {
  const queue = createEventQueue(0);
  const store = createSimulatedStore(queue);
  const random = createRandom(71);
  const commitInGroups = createGroupCommit(queue, store);
  const times: number[] = [];
  let bookingCount = 0;
  const arrive = (): void => {
    queue.schedule((-Math.log(1 - random()) * 1_000) / rate, () => {
      if (queue.now() > RUN_MILLISECONDS) return;
      bookingCount += 1;
      const startedAt = queue.now();
      const done = (): void => {
        times.push(queue.now() - startedAt);
      };
      const node = Math.floor(random() * NODES);
      const segment = Math.floor(random() * SEGMENTS);
      if (isGrouped) commitInGroups(node, segment, done);
      else commitSingly(store, done);
      arrive();
    });
  };
  arrive();
  queue.runUntil(RUN_MILLISECONDS + DEADLINE_MILLISECONDS);
  const inTime = times.filter((time) => time <= DEADLINE_MILLISECONDS);
  const summary = summarizeValues(inTime);
  return {
    'bookings a second': rate,
    way: isGrouped ? 'grouped' : 'one by one',
    'writes a booking': round(store.writes() / Math.max(1, bookingCount), 2),
    'in time %': round((100 * inTime.length) / Math.max(1, bookingCount)),
    'added p50 ms': summary.p50,
    'added p99 ms': summary.p99,
  };
}

/** Measures bookings one by one and in groups at each rate. */
export function measureBookings(): Measurement {
  const rows = RATES.flatMap((rate) => [measureRate(rate, false), measureRate(rate, true)]);
  const today = rows.find((row) => row['bookings a second'] === 10 && row.way === 'one by one');
  return {
    rows,
    targets: [
      {
        name: 'bookings one by one at 10 a second, in time',
        target: '100%',
        measured: `${(today?.['in time %'] ?? 0).toString()}%`,
        isMet: today?.['in time %'] === 100,
      },
    ],
  };
}

const OUTAGE_BOOKINGS = 60;

/**
 * Sends bookings during a store outage, with or without tickets minted before it; one node fails
 * half-way.
 */
function measureOutageMethod(usesTickets: boolean) {
  const fleet = createVirtualFleet({ engines: [] });
  let isStoreDown = false;
  const system = startSystem(fleet, {
    nodes: 3,
    decideOutcome: () => (isStoreDown ? 'refused' : 'done'),
  });
  const tickets = system.nodeNames.flatMap((node) => {
    const request = sendRequest(system, node, `mint-${node}`, '/v1/tickets', '{"count":100}');
    system.run(20);
    return (
      JSON.parse(system.responses.get(request)?.body ?? '{}') as { tickets: string[] }
    ).tickets.slice(0, OUTAGE_BOOKINGS / 3);
  });
  isStoreDown = true;
  const outcomes: string[] = [];
  for (let index = 0; index < OUTAGE_BOOKINGS; index += 1) {
    if (index === OUTAGE_BOOKINGS / 2) system.kill('node-3');
    const key = usesTickets ? (tickets[index] ?? '') : `plain-${index.toString()}`;
    const node = system.nodeNames[index % 2] ?? '';
    const request = sendBooking(system, node, `book-${index.toString()}`, key);
    sendBooking(
      system,
      system.nodeNames[(index + 1) % 2] ?? '',
      `again-${index.toString()}`,
      key,
      2,
    );
    system.run(100);
    outcomes.push(request);
  }
  system.run(10_000);
  const countOutcome = (outcome: string): number =>
    outcomes.filter((request) => readOutcome(system.responses.get(request)) === outcome).length;
  const counts = [...fleet.service.counts.values()];
  return {
    way: usesTickets ? 'ticket minted beforehand' : 'refuse at once',
    asked: OUTAGE_BOOKINGS,
    answered: countOutcome('answered'),
    'not-run': countOutcome('not-run'),
    unknown: countOutcome('unknown'),
    'run twice': counts.filter((count) => count > 1).length,
  };
}

/**
 * Measures the outcomes of both methods while the store is unavailable and one of three nodes
 * fails.
 */
export function measureOutage(): Measurement {
  const rows = [measureOutageMethod(false), measureOutageMethod(true)];
  const twice = rows.reduce((sum, row) => sum + row['run twice'], 0);
  return {
    rows,
    targets: [
      {
        name: 'bookings run twice while the store is out, by either way',
        target: '0',
        measured: twice.toString(),
        isMet: twice === 0,
      },
    ],
  };
}
