/**
 * Bookings against a store of 300 writes a second: intents one by one and committed in groups, and
 * what each way of booking keeps while the store is out.
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
const GROUP_MILLISECONDS = 10;
const DEADLINE_MILLISECONDS = 5_000;
const SEGMENTS = 16;

interface Store {
  /** Performs one write; calls back when it is confirmed. */
  readonly write: (done: () => void) => void;
  readonly writes: () => number;
}

function createStore(queue: EventQueue): Store {
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

/** One compare-and-swap for each intent, and one for each outcome. */
function bookSingly(store: Store, done: () => void): void {
  store.write(() => {
    store.write(done);
  });
}

/**
 * Intents and outcomes of one node wait a few milliseconds for each other and share a swap of a
 * journal segment; a swap that loses to another node's is repeated.
 */
function createGroups(queue: EventQueue, store: Store) {
  const versions = Array.from({ length: SEGMENTS }, () => 0);
  const nodes = Array.from({ length: NODES }, () =>
    Array.from({ length: SEGMENTS }, () => ({ waiting: [] as (() => void)[], isBusy: false })),
  );
  const flush = (node: number, segment: number): void => {
    const group = nodes[node]?.[segment];
    if (!group || group.isBusy || group.waiting.length === 0) return;
    group.isBusy = true;
    const taken = group.waiting.splice(0);
    const attempt = (): void => {
      const seen = versions[segment];
      store.write(() => {
        if (versions[segment] !== seen) {
          attempt();
          return;
        }
        versions[segment] = (versions[segment] ?? 0) + 1;
        group.isBusy = false;
        for (const done of taken) done();
        flush(node, segment);
      });
    };
    attempt();
  };
  const commit = (node: number, segment: number, done: () => void): void => {
    nodes[node]?.[segment]?.waiting.push(done);
    queue.schedule(GROUP_MILLISECONDS, () => {
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
  const store = createStore(queue);
  const random = createRandom(71);
  const group = createGroups(queue, store);
  const times: number[] = [];
  let asked = 0;
  const arrive = (): void => {
    queue.schedule((-Math.log(1 - random()) * 1_000) / rate, () => {
      if (queue.now() > RUN_MILLISECONDS) return;
      asked += 1;
      const startedAt = queue.now();
      const done = (): void => {
        times.push(queue.now() - startedAt);
      };
      const node = Math.floor(random() * NODES);
      const segment = Math.floor(random() * SEGMENTS);
      if (isGrouped) group(node, segment, done);
      else bookSingly(store, done);
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
    'writes a booking': round(store.writes() / Math.max(1, asked), 2),
    'in time %': round((100 * inTime.length) / Math.max(1, asked)),
    'added p50 ms': summary.p50,
    'added p99 ms': summary.p99,
  };
}

/** Measures both ways at each rate. */
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

/** Books during an outage, plainly or under tickets minted before it, with one node's death half-way. */
function measureOutageWay(hasTickets: boolean) {
  const fleet = createVirtualFleet({ engines: [] });
  let isDown = false;
  const system = startSystem(fleet, {
    nodes: 3,
    decideOutcome: () => (isDown ? 'refused' : 'done'),
  });
  const tickets = system.nodeNames.flatMap((node) => {
    const request = sendRequest(system, node, `mint-${node}`, '/v1/tickets', '{"count":100}');
    system.run(20);
    return (
      JSON.parse(system.responses.get(request)?.body ?? '{}') as { tickets: string[] }
    ).tickets.slice(0, OUTAGE_BOOKINGS / 3);
  });
  isDown = true;
  const outcomes: string[] = [];
  for (let index = 0; index < OUTAGE_BOOKINGS; index += 1) {
    if (index === OUTAGE_BOOKINGS / 2) system.kill('node-3');
    const key = hasTickets ? (tickets[index] ?? '') : `plain-${index.toString()}`;
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
  const read = (outcome: string): number =>
    outcomes.filter((request) => readOutcome(system.responses.get(request)) === outcome).length;
  const counts = [...fleet.service.counts.values()];
  return {
    way: hasTickets ? 'ticket minted beforehand' : 'refuse at once',
    asked: OUTAGE_BOOKINGS,
    answered: read('answered'),
    'not-run': read('not-run'),
    unknown: read('unknown'),
    'run twice': counts.filter((count) => count > 1).length,
  };
}

/** Measures what each way keeps while the store is out and one of three nodes dies. */
export function measureOutage(): Measurement {
  const rows = [measureOutageWay(false), measureOutageWay(true)];
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
