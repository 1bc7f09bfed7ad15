/**
 * Waiting rooms of the services whose requests have different priorities.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import {
  createWaitingRoom,
  type WaitingRequest,
} from '../../../request/createWaitingRoom/index.js';
import type { TokenEstimate } from '../../../request/estimateTokens/index.js';
import type { RoomFacts, RoomSize, RunningRequest } from '../../../request/forecastRoom/index.js';
import type { LayerRange, SiteService } from '../../../types/site/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Refusal of a request that found no capacity. */
export interface Refusal {
  /** Time after which the caller may return, in milliseconds; undefined where nothing is known about it. */
  readonly retryAfterMilliseconds: number | undefined;
}

/** Options of {@link WaitingRooms.wait}. */
export interface WaitOptions {
  readonly size: TokenEstimate;
  /** Selects a path and reserves it, since further requests may be admitted before the run begins. */
  readonly findPath: () => ChosenPath | undefined;
  /** Aborted when the caller has its response or has disconnected. */
  readonly signal: AbortSignal;
}

/** Run that a node has begun. */
export interface BegunRun {
  readonly size: TokenEstimate;
  /** Predicted time between its events, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** Returns the number of events since its begin. */
  readonly countEvents: () => number;
}

/** Waiting requests of one priority of a service. */
export interface WaitingCount {
  readonly service: string;
  readonly priority: number;
  readonly requests: number;
}

/** Waiting rooms of one node. */
export interface WaitingRooms {
  /** Records that a request arrived; recognises a caller that returns at its announced time. */
  readonly recordArrival: (request: RelayedRequest, size: TokenEstimate) => void;
  /** Returns whether a request may wait for a path, where nothing of it has run. */
  readonly mayWait: (request: RelayedRequest) => boolean;
  /** Returns whether others wait that are served before a new request. */
  readonly mustWait: (request: RelayedRequest) => boolean;
  /** Waits for a path; resolves to a refusal where none becomes free in time. */
  readonly wait: (request: RelayedRequest, options: WaitOptions) => Promise<ChosenPath | Refusal>;
  /** Records that a run has begun; returns the function that records its end. */
  readonly beginRun: (request: RelayedRequest, run: BegunRun) => () => void;
  /** Admits and refuses waiting requests by the current loads; to be called in each round of messages. */
  readonly step: () => void;
  readonly listWaiting: () => WaitingCount[];
}

/** Options of {@link createWaitingRooms}. */
export interface CreateWaitingRoomsOptions extends Pick<
  RelayContext,
  'clock' | 'endpoints' | 'metrics' | 'permits' | 'stopSignal' | 'countNodes' | 'readLoadAge'
> {
  /** Returns the priorities of the services of the current configuration. */
  readonly getPriorities: () => ReadonlyMap<string, readonly number[]>;
}

/** Outcome of a wait. */
type WaitOutcome = 'path' | 'refused' | 'left' | 'stopped';

interface Entry extends WaitingRequest {
  readonly relayed: RelayedRequest;
  readonly size: TokenEstimate;
  readonly findPath: WaitOptions['findPath'];
  readonly settle: (outcome: WaitOutcome, result: ChosenPath | Refusal) => void;
  path?: ChosenPath | undefined;
}

interface Run extends BegunRun {
  readonly startedAt: number;
}

type Room = ReturnType<typeof createWaitingRoom<Entry>>;

interface ServiceState {
  readonly service: SiteService;
  readonly room: Room;
  readonly runs: Set<Run>;
  /** Requests that were admitted and have not begun their run. */
  readonly starting: Map<RelayedRequest, Run>;
  /** Mean time that a run of this node takes, in milliseconds; undefined before the first run. */
  stayMilliseconds: number | undefined;
}

/** Age of the loads from which they count as unknown, in milliseconds. */
const LOAD_UNKNOWN_MILLISECONDS = 2_500;
/** Weight of a run in the mean time of runs. */
const STAY_WEIGHT = 0.1;
const NO_ROOM: RoomSize = { requests: 0, tokens: 0 };
/** Facts of a node that knows no run: any forecast is as good as another. */
const UNKNOWN_FACTS: Omit<RoomFacts, 'nodes'> = {
  free: { requests: Number.POSITIVE_INFINITY, tokens: Number.POSITIVE_INFINITY },
  running: [],
  others: NO_ROOM,
  loadAgeMilliseconds: 0,
  stayMilliseconds: 0,
  permitWaitMilliseconds: 0,
};
const UNKNOWN_REFUSAL: Refusal = { retryAfterMilliseconds: undefined };

/** Returns whether ranges host each of a number of layers. */
function hostAllLayers(ranges: readonly LayerRange[], layers: number): boolean {
  let covered = 0;
  for (const { from, to } of [...ranges].sort((left, right) => left.from - right.from)) {
    if (from > covered) return false;
    covered = Math.max(covered, to);
  }
  return covered >= layers;
}

/** Identifies a caller's attempts: by account, route and last part of the prompt. */
function formatReturnKey({ account = '', route, caller }: RelayedRequest): string {
  return `${account}|${route.name}|${caller.promptParts.at(-1) ?? ''}`;
}

/**
 * Creates the waiting rooms, which are empty.
 *
 * A service whose requests all have the same priority has no room: its requests are refused as they arrive.
 *
 * @param options - dependencies of the process, and the priorities of the services
 * @returns the waiting rooms
 * @example
 * const found = await createWaitingRooms(options).wait(request, { size, findPath, signal });
 */
export function createWaitingRooms(options: CreateWaitingRoomsOptions): WaitingRooms {
  const { clock, endpoints, metrics, permits, stopSignal, countNodes, readLoadAge } = options;
  const { getPriorities } = options;
  const states = new Map<string, ServiceState>();
  /** Requests that returned at the time that was announced to them. */
  const returned = new WeakSet<RelayedRequest>();

  const isLoadKnown = (): boolean => countNodes() <= 1 || readLoadAge() < LOAD_UNKNOWN_MILLISECONDS;
  const describeRun = (run: Run, stride: number, now: number): RunningRequest => {
    const { size, countEvents, startedAt, pauseMilliseconds } = run;
    const events = countEvents();
    const observed = events > 0 ? (now - startedAt) / events : 0;
    return {
      remainingEvents: size.answerTokens / stride - events,
      paceMilliseconds: Math.max(observed, pauseMilliseconds),
      tokens: size.roomTokens,
    };
  };
  const readFacts = (service: SiteService, state: () => ServiceState, now: number): RoomFacts => {
    const { runs, starting, stayMilliseconds } = state();
    const stride = service.model?.stride ?? 1;
    const layers = Math.max(1, service.model?.layers ?? 1);
    let requests = 0;
    let tokenLayers = 0;
    let permitWaitMilliseconds = Number.POSITIVE_INFINITY;
    for (const endpoint of endpoints.listUsable(service.name, now)) {
      tokenLayers += endpoint.remoteTokenLayers;
      if (endpoint.layers?.from !== 0) continue;
      // A request counts at the first endpoint of its path.
      requests += endpoint.remoteRequests;
      permitWaitMilliseconds = Math.min(
        permitWaitMilliseconds,
        permits.estimateWait(endpoint.record),
      );
    }
    const running = [...runs, ...starting.values()].map((run) => describeRun(run, stride, now));
    const longest = Math.max(
      0,
      ...running.map(({ remainingEvents, paceMilliseconds }) => remainingEvents * paceMilliseconds),
    );
    // Where no run is known, nothing shows that a waiting request will not be served.
    if (running.length + requests === 0) return { ...UNKNOWN_FACTS, nodes: countNodes() };
    return {
      // A request asks for a place only where no path is free.
      free: NO_ROOM,
      running,
      others: isLoadKnown() ? { requests, tokens: tokenLayers / layers } : NO_ROOM,
      loadAgeMilliseconds: readLoadAge(),
      stayMilliseconds: stayMilliseconds ?? longest,
      nodes: countNodes(),
      permitWaitMilliseconds,
    };
  };
  const findState = (service: SiteService): ServiceState => {
    const found = states.get(service.name);
    if (found) return found;
    const state: ServiceState = {
      service,
      runs: new Set(),
      starting: new Map(),
      stayMilliseconds: undefined,
      room: createWaitingRoom<Entry>({
        isLoadKnown,
        readFacts: (now) => readFacts(service, () => state, now),
        mayRun: (entry) => {
          entry.path = entry.findPath();
          return entry.path !== undefined;
        },
      }),
    };
    states.set(service.name, state);
    return state;
  };
  const isEnabled = ({ service }: RelayedRequest): boolean =>
    service.model !== undefined && (getPriorities().get(service.name)?.length ?? 0) > 1;
  // The node that handed a request over can try another one.
  const mayWait = (request: RelayedRequest): boolean =>
    isEnabled(request) && !request.isHandedOver && !stopSignal.isRaised();
  const hasEndpoints = ({ name, model }: SiteService): boolean => {
    const usable = endpoints.listUsable(name, clock.now());
    const ranges = usable.flatMap(({ layers }) => layers ?? []);
    return hostAllLayers(ranges, model?.layers ?? 0);
  };
  /** Returns whether the end of any run is known, on which a forecast could be based. */
  const knowsRuns = (service: SiteService): boolean => {
    const { running, others } = readFacts(service, () => findState(service), clock.now());
    return running.length > 0 || others.requests > 0;
  };
  const serve = ({ service, room, starting }: ServiceState): void => {
    const now = clock.now();
    for (let entry = room.admitNext(now); entry; entry = room.admitNext(now)) {
      const { path, size, relayed } = entry;
      if (!path) continue;
      const { pauseMilliseconds } = path;
      starting.set(relayed, { size, pauseMilliseconds, countEvents: () => 0, startedAt: now });
      entry.settle('path', path);
    }
    const isKnown = knowsRuns(service);
    for (const { request, retryAfterMilliseconds } of room.removeLate(now)) {
      request.settle('refused', isKnown ? { retryAfterMilliseconds } : UNKNOWN_REFUSAL);
    }
  };
  stopSignal.onRaised(() => {
    for (const { room } of states.values()) {
      for (const entry of room.clear()) entry.settle('stopped', UNKNOWN_REFUSAL);
    }
  });

  let lastId = 0;
  const createEntry = (
    request: RelayedRequest,
    { size, findPath }: WaitOptions,
    settle: Entry['settle'],
  ): Entry => ({
    id: `${(lastId += 1)}`,
    account: request.account ?? '',
    priority: request.priority,
    tokens: size.roomTokens,
    bytes: request.forwarded.body?.length ?? 0,
    returnKey: formatReturnKey(request),
    isReturn: returned.has(request),
    arrivedAt: request.arrivedAt,
    objectiveMilliseconds: request.route.objectiveMilliseconds,
    deadlineAt: request.deadlineAt,
    findPath,
    relayed: request,
    size,
    settle,
  });
  const offer = (
    request: RelayedRequest,
    waitOptions: WaitOptions,
    onEnd: (result: ChosenPath | Refusal) => void,
  ): void => {
    const state = findState(request.service);
    const { room } = state;
    const offeredAt = clock.now();
    const { signal } = waitOptions;
    const onAbort = (): void => {
      state.starting.delete(request);
      if (room.leave(entry.id)) entry.settle('left', UNKNOWN_REFUSAL);
    };
    const entry = createEntry(request, waitOptions, (outcome, result) => {
      metrics.count('waits', outcome);
      metrics.record('', 'wait', clock.now() - offeredAt);
      onEnd(result);
    });
    const answer = room.offer(entry, offeredAt);
    if (answer.kind === 'wait') signal.addEventListener('abort', onAbort, { once: true });
    else {
      const result =
        answer.kind === 'refuse' ? answer : (waitOptions.findPath() ?? UNKNOWN_REFUSAL);
      metrics.count('waits', 'hops' in result ? 'path_at_once' : 'refused_at_once');
      onEnd(result);
    }
    serve(state);
  };

  return {
    recordArrival: (request, { roomTokens }) => {
      if (!isEnabled(request)) return;
      const { room } = findState(request.service);
      const returnKey = formatReturnKey(request);
      const arriving = { priority: request.priority, tokens: roomTokens, returnKey };
      const announcedAt = room.recordArrival(arriving, clock.now());
      if (announcedAt !== undefined) returned.add(request);
    },
    mayWait,
    mustWait: (request) =>
      mayWait(request) &&
      (states.get(request.service.name)?.room.isBefore(request.priority) ?? false),
    wait: (request, waitOptions) => {
      if (!mayWait(request) || waitOptions.signal.aborted) return Promise.resolve(UNKNOWN_REFUSAL);
      if (!hasEndpoints(request.service) || !knowsRuns(request.service)) {
        metrics.count('waits', 'impossible');
        return Promise.resolve(UNKNOWN_REFUSAL);
      }
      return new Promise((resolve) => {
        offer(request, waitOptions, resolve);
      });
    },
    beginRun: (request, begun) => {
      if (!isEnabled(request)) return () => undefined;
      const state = findState(request.service);
      const run: Run = { ...begun, startedAt: clock.now() };
      state.starting.delete(request);
      state.runs.add(run);
      return () => {
        if (!state.runs.delete(run)) return;
        const stay = clock.now() - run.startedAt;
        const mean = state.stayMilliseconds ?? stay;
        state.stayMilliseconds = mean + STAY_WEIGHT * (stay - mean);
        serve(state);
      };
    },
    step: () => {
      for (const state of states.values()) if (state.room.size() > 0) serve(state);
    },
    listWaiting: () =>
      [...states].flatMap(([service, { room }]) => {
        const counts = new Map<number, number>();
        for (const { priority } of room.list()) {
          counts.set(priority, (counts.get(priority) ?? 0) + 1);
        }
        return [...counts].map(([priority, requests]) => ({ service, priority, requests }));
      }),
  };
}
