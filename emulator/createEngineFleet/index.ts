/**
 * Emulated engines of a site: their layers, layer orders, crashes and registry entries.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import type { OrderOutcome, LayerOrder } from '../../src/types/relay/index.js';
import type { EndpointReport, LayerRange, PathHop } from '../../src/types/site/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { VirtualSite } from '../readScenario/index.js';
import { createForwardPasses, type EngineCounts } from '../createForwardPasses/index.js';
import { createRepairMonitor, type Repair } from '../createRepairMonitor/index.js';
import type { StreamEnd, VirtualEngine, VirtualStream } from './types.js';

/** A run as its first engine receives it. */
export interface EngineRun {
  readonly attempt: string;
  readonly path: readonly PathHop[];
  readonly promptTokens: number;
  /** Number of the last event that the caller received. */
  readonly receivedEvent: number;
  /** Number of the last event to produce. */
  readonly lastEvent: number;
  readonly onEvent: (event: number) => void;
  readonly onEnd: (end: StreamEnd, failedEngine?: VirtualEngine) => void;
}

/** Emulated engines of a site. */
export interface EngineFleet {
  readonly engines: readonly VirtualEngine[];
  readonly counts: EngineCounts;
  /** Repairs of layers that an availability zone lost in a crash. */
  readonly repairs: readonly Repair[];
  readonly find: (address: string) => VirtualEngine | undefined;
  /** Starts a run; returns a function that cancels it, or the engine that refused it. */
  readonly startRun: (
    run: EngineRun,
  ) => (() => void) | { readonly failedEngine: VirtualEngine | undefined };
  /** Applies an order to load layers. */
  readonly applyOrder: (order: LayerOrder) => OrderOutcome;
  /** Migrates a running attempt to another path. */
  readonly movePath: (attempt: string, path: readonly PathHop[]) => OrderOutcome;
  /** Returns the report that an engine sends to nodes. */
  readonly createReport: (engine: VirtualEngine) => EndpointReport;
  readonly crash: (engine: VirtualEngine, isUnresponsive: boolean) => void;
  readonly restart: (engine: VirtualEngine) => void;
  /** Registers an engine as draining; it serves for about two more seconds and then stops. */
  readonly drain: (engine: VirtualEngine) => void;
  /** Writes the registration of an engine again; the one of an engine that is down ends. */
  readonly repeatRegistration: (engine: VirtualEngine) => void;
  /** Sets the share of orders that get no reply and are carried out seconds later. */
  readonly setLateOrderShare: (share: number) => void;
}

/** Options of {@link createEngineFleet}. */
export interface CreateEngineFleetOptions {
  readonly site: VirtualSite;
  readonly time: Pick<VirtualTime, 'now' | 'schedule'>;
  readonly store: Pick<VirtualStore, 'put'>;
  readonly seed: number;
}

/** Service that the engines belong to. */
export const MODEL_SERVICE = 'assistant';
/** Time from a crash until the registry removes the entry. */
const ENTRY_EXPIRY_MILLISECONDS = 3_600;
/** Time that a draining engine continues to serve. */
const DRAIN_MILLISECONDS = 2_100;
/** Factor on the load time of layers before the first request. */
const EARLY_LOAD_FACTOR = 0.1;
/** Bounds of the delay after which a late order is carried out. */
const MINIMUM_LATE_MILLISECONDS = 2_000;
const MAXIMUM_LATE_MILLISECONDS = 12_000;

function createEngines({ engines, availabilityZones, model }: VirtualSite): VirtualEngine[] {
  const created: VirtualEngine[] = [];
  for (const { kind: name, counts } of engines) {
    const kind = model.kinds.find((known) => known.name === name);
    if (!kind)
      throw new Error(`unknown accelerator kind '${name}': not among the kinds of the model`);
    counts.forEach((count, zone) => {
      for (let index = 0; index < count; index += 1) {
        const id = `${name}-${zone}-${index}`;
        created.push({
          id,
          address: `engine:${id}`,
          availabilityZone: availabilityZones[zone] ?? '',
          kind,
          startedAt: 1,
          layers: undefined,
          isBusy: false,
          acceptedOrders: 0,
          usedTokenLayers: 0,
          isDown: false,
          isDraining: false,
          isUnresponsive: false,
          slowdown: 1,
          queue: [],
          isRunning: false,
          firstHopStreams: new Set(),
          streams: new Set(),
          stalledOn: new Set(),
        });
      }
    });
  }
  return created;
}

function hostsLayers({ layers }: VirtualEngine, range: LayerRange): boolean {
  return layers !== undefined && layers.from <= range.from && range.to <= layers.to;
}

/** Returns the loaded layers that stay usable while another range is loaded. */
function findRetainedLayers(
  current: LayerRange | undefined,
  range: LayerRange,
): LayerRange | undefined {
  if (!current) return undefined;
  const from = Math.max(current.from, range.from);
  const to = Math.min(current.to, range.to);
  return from < to ? { from, to } : undefined;
}

/**
 * Creates the engines of a site without layers, and registers them.
 *
 * @param options - site, virtual time, store and seed of late orders
 * @returns the engines
 * @example
 * createEngineFleet({ site, time, store, seed: 1 }).engines.length;
 */
export function createEngineFleet(options: CreateEngineFleetOptions): EngineFleet {
  const { site, time, store } = options;
  const { model } = site;
  const random = createRandom(options.seed + 7);
  const engines = createEngines(site);
  const byAddress = new Map(engines.map((engine) => [engine.address, engine]));
  const runningStreams = new Map<string, VirtualStream>();
  const counts: EngineCounts = { events: 0, preempted: 0, prefilledTokens: 0, refused: new Map() };
  const passes = createForwardPasses({ site, time, counts });
  const repairMonitor = createRepairMonitor({ engines, now: time.now });
  let lateOrderShare = 0;

  const register = (engine: VirtualEngine): void => {
    const { id, address, availabilityZone, startedAt, kind, layers, isDraining } = engine;
    const record = {
      id,
      service: MODEL_SERVICE,
      address,
      availabilityZone,
      isDraining,
      startedAt,
      slots: model.slots,
      kind: kind.name,
      layers,
    };
    store.put(`endpoints/${id}`, JSON.stringify(record));
  };
  const finish = (stream: VirtualStream): void => {
    stream.isOver = true;
    passes.freeMemory(stream);
    stream.hops[0]?.engine.firstHopStreams.delete(stream);
    runningStreams.delete(stream.attempt);
  };
  const recordRefusal = (reason: string, failedEngine: VirtualEngine | undefined) => {
    counts.refused.set(reason, (counts.refused.get(reason) ?? 0) + 1);
    return { failedEngine };
  };
  const resolveHops = (path: readonly PathHop[]): VirtualStream['hops'] =>
    path.flatMap(({ address, range }) => {
      const engine = byAddress.get(address);
      return engine ? [{ engine, range }] : [];
    });
  const findRefusal = (hops: VirtualStream['hops'], tokens: number) => {
    for (const { engine, range } of hops) {
      if (engine.isDown) return recordRefusal('lost', engine);
      if (!hostsLayers(engine, range)) return recordRefusal('layers', engine);
      const needed = tokens * (range.to - range.from);
      if (!passes.hasFreeMemory(engine, needed)) return recordRefusal('memory', engine);
    }
    return undefined;
  };

  const startRun: EngineFleet['startRun'] = (run) => {
    const hops = resolveHops(run.path);
    const [first] = hops;
    if (!first) return recordRefusal('path', undefined);
    const refusal = findRefusal(hops, run.promptTokens);
    if (refusal) return refusal;
    if (first.engine.firstHopStreams.size >= model.slots)
      return recordRefusal('slots', first.engine);
    const stream: VirtualStream = {
      attempt: run.attempt,
      hops,
      tokens: 0,
      promptTokens: run.promptTokens,
      event: run.receivedEvent,
      lastEvent: run.lastEvent,
      epoch: 0,
      isOver: false,
      hasMemory: false,
      onEvent: run.onEvent,
      onEnd: (end, failedEngine) => {
        if (stream.isOver) return;
        finish(stream);
        run.onEnd(end, failedEngine);
      },
    };
    runningStreams.set(run.attempt, stream);
    repairMonitor.recordRun(hops);
    first.engine.firstHopStreams.add(stream);
    passes.reserveMemory(stream, run.promptTokens);
    passes.prefill(stream, 0, run.promptTokens);
    return () => {
      if (!stream.isOver) finish(stream);
    };
  };

  const executeOrder = (
    engine: VirtualEngine,
    { range, acceptedOrders }: LayerOrder,
  ): OrderOutcome => {
    if (engine.isDown) return 'refused';
    if (engine.isBusy || engine.acceptedOrders !== acceptedOrders) return 'conflict';
    engine.acceptedOrders += 1;
    engine.isBusy = true;
    const retained = findRetainedLayers(engine.layers, range);
    const loaded = range.to - range.from - (retained ? retained.to - retained.from : 0);
    engine.layers = retained;
    const isBeforeFirstRequest = time.now() < site.leadSeconds * 1_000;
    const share = (loaded / model.layers) * (isBeforeFirstRequest ? EARLY_LOAD_FACTOR : 1);
    const { startedAt } = engine;
    time.schedule(model.loadSeconds * 1_000 * share, () => {
      if (engine.startedAt !== startedAt || engine.isDown) return;
      engine.isBusy = false;
      engine.layers = range;
      register(engine);
    });
    return 'begun';
  };
  const applyOrder: EngineFleet['applyOrder'] = (order) => {
    const engine = byAddress.get(order.address);
    if (!engine) return 'refused';
    if (random() >= lateOrderShare) return executeOrder(engine, order);
    const spread = MAXIMUM_LATE_MILLISECONDS - MINIMUM_LATE_MILLISECONDS;
    time.schedule(MINIMUM_LATE_MILLISECONDS + random() * spread, () => {
      executeOrder(engine, order);
    });
    return 'unknown';
  };
  const movePath: EngineFleet['movePath'] = (attempt, path) => {
    const stream = runningStreams.get(attempt);
    if (!stream || stream.isOver) return 'refused';
    const hops = resolveHops(path);
    const { tokens } = stream;
    const isKept = (index: number): boolean =>
      stream.hops.some(
        ({ engine, range }) =>
          engine === hops[index]?.engine &&
          range.from === hops[index].range.from &&
          range.to === hops[index].range.to,
      );
    const added = hops.filter((_, index) => !isKept(index));
    if (findRefusal(added, tokens)) return 'conflict';
    passes.freeMemory(stream);
    stream.hops = hops;
    stream.epoch += 1;
    passes.reserveMemory(stream, tokens);
    const firstNew = hops.findIndex((_, index) => !isKept(index));
    passes.prefill(stream, Math.max(0, firstNew), tokens);
    return 'begun';
  };

  const crash: EngineFleet['crash'] = (engine, isUnresponsive) => {
    if (engine.isDown) return;
    repairMonitor.recordCrash(engine);
    engine.isDown = true;
    engine.isUnresponsive = isUnresponsive;
    engine.layers = undefined;
    engine.isBusy = false;
    engine.isRunning = false;
    engine.queue = [];
    const { startedAt } = engine;
    for (const stream of [...engine.firstHopStreams]) {
      if (isUnresponsive) finish(stream);
      else stream.onEnd('cut', engine);
    }
    for (const stream of [...engine.streams]) {
      // The work at the engine is lost: the stream stalls at this hop until it is migrated.
      stream.epoch += 1;
      const hop = stream.hops.findIndex((other) => other.engine === engine);
      passes.prefill(stream, hop, 1);
    }
    time.schedule(ENTRY_EXPIRY_MILLISECONDS, () => {
      if (engine.isDown && engine.startedAt === startedAt)
        store.put(`endpoints/${engine.id}`, undefined);
    });
  };
  const restart: EngineFleet['restart'] = (engine) => {
    if (!engine.isDown) return;
    Object.assign(engine, {
      isDown: false,
      isDraining: false,
      isUnresponsive: false,
      startedAt: Math.floor(time.now()) + 1,
      acceptedOrders: 0,
      usedTokenLayers: 0,
    });
    engine.streams.clear();
    engine.firstHopStreams.clear();
    for (const other of engines) other.stalledOn.delete(engine);
    register(engine);
  };

  for (const engine of engines) register(engine);
  return {
    engines,
    counts,
    repairs: repairMonitor.repairs,
    find: (address) => byAddress.get(address),
    startRun,
    applyOrder,
    movePath,
    crash,
    restart,
    drain: (engine) => {
      engine.isDraining = true;
      register(engine);
      time.schedule(DRAIN_MILLISECONDS, () => {
        crash(engine, false);
        store.put(`endpoints/${engine.id}`, undefined);
      });
    },
    repeatRegistration: (engine) => {
      if (!engine.isDown) register(engine);
      const { startedAt } = engine;
      time.schedule(ENTRY_EXPIRY_MILLISECONDS, () => {
        if (engine.isDown && engine.startedAt === startedAt)
          store.put(`endpoints/${engine.id}`, undefined);
      });
    },
    createReport: (engine) => ({
      acceptedOrders: engine.acceptedOrders,
      isBusy: engine.isBusy,
      layers: engine.layers,
      slowdown: engine.slowdown,
      usedTokenLayers: engine.usedTokenLayers,
      totalTokenLayers: 0,
      startedAt: engine.startedAt,
      stalledAddresses: [...engine.stalledOn].map(({ address }) => address),
      isLeaving: false,
    }),
    setLateOrderShare: (share) => {
      lateOrderShare = share;
    },
  };
}
