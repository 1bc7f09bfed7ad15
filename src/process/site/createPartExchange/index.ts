/**
 * Exchange of facts about parts between nodes: crashes, successes and trials.
 *
 * New facts are forwarded at once, by each node that learns them, to a few others. Nodes that miss them
 * get them in later rounds from random nodes, or all at once in the reply to a request.
 */
import { createTokenBucket } from '../../../request/createTokenBucket/index.js';
import type { PartBreakers } from '../../../request/createPartBreakers/index.js';
import type { CrashReport, PartFacts } from '../../../types/breaker/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { pickFanout } from '../pickFanout/index.js';

/** Options of {@link createPartExchange}. */
export interface CreatePartExchangeOptions {
  readonly breakers: PartBreakers;
  readonly clock: Clock;
  readonly random: () => number;
  readonly self: Pick<NodeRecord, 'name' | 'availabilityZone'>;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
  readonly send: (address: string, facts: PartFacts) => void;
}

/** Exchange of one node. */
export interface PartExchange {
  /** Forwards facts that this node found. */
  readonly announce: (facts: Partial<PartFacts>) => void;
  /** Applies facts of another node, and forwards those that were new. */
  readonly receive: (facts: PartFacts) => void;
  /** Sends known facts to one random node, when it is time for it. */
  readonly step: () => void;
}

/** Time after a message in which further facts are gathered into the next one, in milliseconds. */
const GATHER_MILLISECONDS = 5;
/** Facts that a node forwards in a second, and in one burst. */
const FACTS_PER_SECOND = 20;
const MAXIMUM_FACT_BURST = 100;
/** Reports, and other facts of each kind, in one message. */
const MAXIMUM_REPORTS = 8;
const MAXIMUM_TIMES = 24;
/** Trials that wait to be forwarded. */
const MAXIMUM_WAITING = 64;
const MAXIMUM_ANNOUNCED = 4_096;
/** Time after the last new fact in which known facts are sent in each round, in milliseconds. */
const BUSY_MILLISECONDS = 5_000;
/** Interval between messages with known facts after that, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 1_000;

interface WaitingFacts {
  reports: CrashReport[];
  successes: Map<string, number>;
  trials: Map<string, number>;
}

function createWaitingFacts(): WaitingFacts {
  return { reports: [], successes: new Map(), trials: new Map() };
}

function toTimes(times: ReadonlyMap<string, number>): PartFacts['successes'] {
  return [...times].map(([part, at]) => ({ part, at }));
}

/** Creates a rate limit of facts; what it does not let pass is left to later rounds. */
function createFactLimit(clock: Pick<Clock, 'now'>) {
  const bucket = createTokenBucket({
    tokensPerSecond: FACTS_PER_SECOND,
    burst: MAXIMUM_FACT_BURST,
    now: clock.now,
  });
  return {
    take: <Fact>(facts: readonly Fact[]): readonly Fact[] => {
      const taken = facts.slice(0, Math.floor(bucket.countAvailable()));
      bucket.take(taken.length);
      return taken;
    },
  };
}

/** Splits facts into messages of a bounded size. */
function splitFacts(facts: PartFacts): PartFacts[] {
  const messages: PartFacts[] = [];
  const { reports, successes, trials } = facts;
  const count = Math.max(
    Math.ceil(reports.length / MAXIMUM_REPORTS),
    Math.ceil(successes.length / MAXIMUM_TIMES),
    Math.ceil(trials.length / MAXIMUM_TIMES),
  );
  for (let index = 0; index < count; index += 1) {
    messages.push({
      reports: reports.slice(index * MAXIMUM_REPORTS, (index + 1) * MAXIMUM_REPORTS),
      successes: successes.slice(index * MAXIMUM_TIMES, (index + 1) * MAXIMUM_TIMES),
      trials: trials.slice(index * MAXIMUM_TIMES, (index + 1) * MAXIMUM_TIMES),
    });
  }
  return messages;
}

/**
 * Creates the exchange of one node.
 *
 * @param options - the breakers, the clock, the other nodes and the way to send to them
 * @returns the exchange
 * @example
 * createPartExchange(options).announce({ trials: [{ part: 'a1', at: now }] });
 */
export function createPartExchange(options: CreatePartExchangeOptions): PartExchange {
  const { breakers, clock, random, self, listAlive, send } = options;
  let waiting = createWaitingFacts();
  let isFlushScheduled = false;
  let flushedAt = Number.NEGATIVE_INFINITY;
  let lastNewAt = Number.NEGATIVE_INFINITY;
  let lastSentAt = Number.NEGATIVE_INFINITY;
  /** Latest success by part that was sent or received; later ones of this node are worth sending. */
  const announcedSuccesses = new Map<string, number>();

  const listOthers = (): readonly NodeRecord[] =>
    listAlive().filter(({ name }) => name !== self.name);
  const reportLimit = createFactLimit(clock);
  const successLimit = createFactLimit(clock);
  const flush = (): void => {
    isFlushScheduled = false;
    flushedAt = clock.now();
    const { reports, successes, trials } = waiting;
    waiting = createWaitingFacts();
    const facts = { reports, successes: toTimes(successes), trials: toTimes(trials) };
    const messages = splitFacts(facts);
    const nodes = listAlive();
    for (const address of pickFanout({ self, nodes, random }))
      for (const message of messages) send(address, message);
  };
  const forward = ({ reports = [], successes = [], trials = [] }: Partial<PartFacts>): void => {
    if (reports.length + successes.length + trials.length === 0) return;
    if (reports.length + trials.length > 0) lastNewAt = clock.now();
    waiting.reports.push(...reportLimit.take(reports));
    if (announcedSuccesses.size > MAXIMUM_ANNOUNCED) announcedSuccesses.clear();
    for (const { part, at } of successLimit.take(successes)) {
      announcedSuccesses.set(part, at);
      waiting.successes.set(part, at);
    }
    for (const { part, at } of trials) {
      if (waiting.trials.size < MAXIMUM_WAITING) waiting.trials.set(part, at);
    }
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    clock.schedule(Math.max(0, flushedAt + GATHER_MILLISECONDS - clock.now()), flush);
  };
  /** Lists successes of this node that the others need to weigh reports and that were not announced yet. */
  const listUnannounced = (reports: readonly CrashReport[]): PartFacts['successes'] =>
    breakers
      .listSuccesses(reports)
      .filter(({ part, at }) => at > (announcedSuccesses.get(part) ?? Number.NEGATIVE_INFINITY));
  /** Selects facts for one message: those of blocked parts first, then the newest. */
  const selectKnown = (): PartFacts => {
    const { reports, successes, trials } = breakers.listFacts(clock.now());
    const blocked = new Set(breakers.listBlocked().flatMap((part) => part.reports));
    const selected = [...reports]
      .sort(
        (left, right) =>
          Number(blocked.has(right)) - Number(blocked.has(left)) || right.at - left.at,
      )
      .slice(0, MAXIMUM_REPORTS);
    const parts = new Set(selected.flatMap((report) => report.parts));
    return {
      reports: selected,
      successes: successes.filter(({ part }) => parts.has(part)).slice(0, MAXIMUM_TIMES),
      trials: trials.slice(0, MAXIMUM_TIMES),
    };
  };

  return {
    announce: (facts) => {
      forward({
        ...facts,
        successes: [...(facts.successes ?? []), ...listUnannounced(facts.reports ?? [])],
      });
    },
    receive: (facts) => {
      for (const { part, at } of facts.successes) {
        announcedSuccesses.set(part, Math.max(at, announcedSuccesses.get(part) ?? at));
      }
      const added = breakers.add(facts, clock.now());
      forward({ ...added, successes: [...added.successes, ...listUnannounced(added.reports)] });
    },
    step: () => {
      if (!breakers.hasReports()) return;
      const now = clock.now();
      const interval = now - lastNewAt < BUSY_MILLISECONDS ? 0 : IDLE_INTERVAL_MILLISECONDS;
      if (now - lastSentAt < interval) return;
      lastSentAt = now;
      const others = listOthers();
      const other = others[Math.floor(random() * others.length)];
      if (other) send(other.peerAddress, selectKnown());
    },
  };
}
