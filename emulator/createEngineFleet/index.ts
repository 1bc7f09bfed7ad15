/**
 * The emulated engines of a site: what they hold, their orders, crashes and registry entries.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import type { OrderOutcome, LayerOrder } from '../../src/types/relay/index.js';
import type { EndpointReport, LayerRange, PathHop } from '../../src/types/site/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { VirtualSite } from '../readScenario/index.js';
import { createPasses, type EngineCounts } from '../runPasses/index.js';
import { createRepairWatch, type Repair } from '../watchRepairs/index.js';
import type { StreamEnd, VirtualEngine, VirtualStream } from './types.js';

/** A run as an engine receives it. */
export interface EngineRun {
  readonly attempt: string;
  readonly path: readonly PathHop[];
  readonly promptTokens: number;
  /** Number of the last event that the caller has, and of the last one to make. */
  readonly begunEvent: number;
  readonly lastEvent: number;
  readonly onEvent: (event: number) => void;
  readonly onEnd: (end: StreamEnd, faulty?: VirtualEngine) => void;
}

/** Engines of a site. */
export interface EngineFleet {
  readonly engines: readonly VirtualEngine[];
  readonly counts: EngineCounts;
  /** Ranges that crashes took from a zone, and when requests ran through them again. */
  readonly repairs: readonly Repair[];
  readonly find: (address: string) => VirtualEngine | undefined;
  /** Begins a run; returns a function that cancels it, or why it is refused, with the engine at fault. */
  readonly begin: (run: EngineRun) => (() => void) | { readonly faulty: VirtualEngine | undefined };
  readonly order: (order: LayerOrder) => OrderOutcome;
  readonly move: (attempt: string, path: readonly PathHop[]) => OrderOutcome;
  readonly report: (engine: VirtualEngine) => EndpointReport;
  readonly crash: (engine: VirtualEngine, isDark: boolean) => void;
  readonly restart: (engine: VirtualEngine) => void;
  /** Says that an engine is leaving; it serves for two seconds more and ends. */
  readonly drain: (engine: VirtualEngine) => void;
  /** Share of orders that get no answer and are carried out seconds later. */
  readonly setLateOrders: (share: number) => void;
}

/** Options of {@link createEngineFleet}. */
export interface CreateEngineFleetOptions {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly store: Pick<VirtualStore, 'put'>;
  readonly seed: number;
}

/** Service of the engines. */
export const MODEL_SERVICE = 'assistant';
/** Time after a crash until the registry drops the entry, in milliseconds. */
const ENTRY_MILLISECONDS = 3_600;
/** How long a leaving engine still serves, in milliseconds. */
const DRAIN_MILLISECONDS = 2_100;
/** Loads before the first request take this share of the usual time. */
const EARLY_LOAD_SHARE = 0.1;
const LEAST_LATE_MILLISECONDS = 2_000;
const MOST_LATE_MILLISECONDS = 12_000;

function createEngines({ engines, availabilityZones, model }: VirtualSite): VirtualEngine[] {
  const created: VirtualEngine[] = [];
  for (const { kind: name, counts } of engines) {
    const kind = model.kinds.find((known) => known.name === name);
    if (!kind) throw new Error(`no accelerator is called ${name}`);
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
          isDark: false,
          pace: 1,
          queue: [],
          isRunning: false,
          own: new Set(),
          streams: new Set(),
          stalledFor: new Set(),
        });
      }
    });
  }
  return created;
}

function holds({ layers }: VirtualEngine, range: LayerRange): boolean {
  return layers !== undefined && layers.from <= range.from && range.to <= layers.to;
}

/** What remains of a range while another one is loaded. */
function findKept(held: LayerRange | undefined, range: LayerRange): LayerRange | undefined {
  if (!held) return undefined;
  const from = Math.max(held.from, range.from);
  const to = Math.min(held.to, range.to);
  return from < to ? { from, to } : undefined;
}

/**
 * Creates the engines of a site, empty and registered.
 *
 * @param options - the site, the time, the store and a seed
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
  const running = new Map<string, VirtualStream>();
  const counts: EngineCounts = { events: 0, preempted: 0, readTokens: 0, refused: new Map() };
  const passes = createPasses({ site, time, counts });
  const repairWatch = createRepairWatch({ engines, now: time.now });
  let lateShare = 0;

  const register = (engine: VirtualEngine, isDraining = false): void => {
    const { id, address, availabilityZone, startedAt, kind, layers } = engine;
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
    stream.hops[0]?.engine.own.delete(stream);
    running.delete(stream.attempt);
  };
  const refuse = (reason: string, faulty: VirtualEngine | undefined) => {
    counts.refused.set(reason, (counts.refused.get(reason) ?? 0) + 1);
    return { faulty };
  };
  const readHops = (path: readonly PathHop[]): VirtualStream['hops'] =>
    path.flatMap(({ address, range }) => {
      const engine = byAddress.get(address);
      return engine ? [{ engine, range }] : [];
    });
  const findUnfit = (hops: VirtualStream['hops'], tokens: number) => {
    for (const { engine, range } of hops) {
      if (engine.isDown) return refuse('lost', engine);
      if (!holds(engine, range)) return refuse('layers', engine);
      const needed = tokens * (range.to - range.from);
      if (!passes.hasRoom(engine, needed)) return refuse('memory', engine);
    }
    return undefined;
  };

  const begin: EngineFleet['begin'] = (run) => {
    const hops = readHops(run.path);
    const [first] = hops;
    if (!first) return refuse('path', undefined);
    const unfit = findUnfit(hops, run.promptTokens);
    if (unfit) return unfit;
    if (first.engine.own.size >= model.slots) return refuse('slots', first.engine);
    const stream: VirtualStream = {
      attempt: run.attempt,
      hops,
      tokens: 0,
      promptTokens: run.promptTokens,
      event: run.begunEvent,
      lastEvent: run.lastEvent,
      epoch: 0,
      isOver: false,
      hasMemory: false,
      onEvent: run.onEvent,
      onEnd: (end, faulty) => {
        if (stream.isOver) return;
        finish(stream);
        run.onEnd(end, faulty);
      },
    };
    running.set(run.attempt, stream);
    repairWatch.noteRun(hops);
    first.engine.own.add(stream);
    passes.takeMemory(stream, run.promptTokens);
    passes.read(stream, 0, run.promptTokens);
    return () => {
      if (!stream.isOver) finish(stream);
    };
  };

  const carryOut = (engine: VirtualEngine, { range, acceptedOrders }: LayerOrder): OrderOutcome => {
    if (engine.isDown) return 'refused';
    if (engine.isBusy || engine.acceptedOrders !== acceptedOrders) return 'conflict';
    engine.acceptedOrders += 1;
    engine.isBusy = true;
    const kept = findKept(engine.layers, range);
    const loaded = range.to - range.from - (kept ? kept.to - kept.from : 0);
    engine.layers = kept;
    const isEarly = time.now() < site.leadSeconds * 1_000;
    const share = (loaded / model.layers) * (isEarly ? EARLY_LOAD_SHARE : 1);
    const { startedAt } = engine;
    time.schedule(model.loadSeconds * 1_000 * share, () => {
      if (engine.startedAt !== startedAt || engine.isDown) return;
      engine.isBusy = false;
      engine.layers = range;
      register(engine);
    });
    return 'begun';
  };
  const order: EngineFleet['order'] = (place) => {
    const engine = byAddress.get(place.address);
    if (!engine) return 'refused';
    if (random() >= lateShare) return carryOut(engine, place);
    const spread = MOST_LATE_MILLISECONDS - LEAST_LATE_MILLISECONDS;
    time.schedule(LEAST_LATE_MILLISECONDS + random() * spread, () => {
      carryOut(engine, place);
    });
    return 'unknown';
  };
  const move: EngineFleet['move'] = (attempt, path) => {
    const stream = running.get(attempt);
    if (!stream || stream.isOver) return 'refused';
    const hops = readHops(path);
    const { tokens } = stream;
    const isKept = (index: number): boolean =>
      stream.hops.some(
        ({ engine, range }) =>
          engine === hops[index]?.engine &&
          range.from === hops[index].range.from &&
          range.to === hops[index].range.to,
      );
    const added = hops.filter((_, index) => !isKept(index));
    if (findUnfit(added, tokens)) return 'conflict';
    passes.freeMemory(stream);
    stream.hops = hops;
    stream.epoch += 1;
    passes.takeMemory(stream, tokens);
    const firstNew = hops.findIndex((_, index) => !isKept(index));
    passes.read(stream, Math.max(0, firstNew), tokens);
    return 'begun';
  };

  const crash: EngineFleet['crash'] = (engine, isDark) => {
    if (engine.isDown) return;
    repairWatch.noteCrash(engine);
    engine.isDown = true;
    engine.isDark = isDark;
    engine.layers = undefined;
    engine.isBusy = false;
    engine.isRunning = false;
    engine.queue = [];
    const { startedAt } = engine;
    for (const stream of [...engine.own]) {
      if (isDark) finish(stream);
      else stream.onEnd('cut', engine);
    }
    for (const stream of [...engine.streams]) {
      // Its work was lost with the engine, so it waits there until it is moved.
      stream.epoch += 1;
      const hop = stream.hops.findIndex((other) => other.engine === engine);
      passes.read(stream, hop, 1);
    }
    time.schedule(ENTRY_MILLISECONDS, () => {
      if (engine.isDown && engine.startedAt === startedAt)
        store.put(`endpoints/${engine.id}`, undefined);
    });
  };
  const restart: EngineFleet['restart'] = (engine) => {
    if (!engine.isDown) return;
    Object.assign(engine, {
      isDown: false,
      isDark: false,
      startedAt: Math.floor(time.now()) + 1,
      acceptedOrders: 0,
      usedTokenLayers: 0,
    });
    engine.streams.clear();
    engine.own.clear();
    for (const other of engines) other.stalledFor.delete(engine);
    register(engine);
  };

  for (const engine of engines) register(engine);
  return {
    engines,
    counts,
    repairs: repairWatch.repairs,
    find: (address) => byAddress.get(address),
    begin,
    order,
    move,
    crash,
    restart,
    drain: (engine) => {
      register(engine, true);
      time.schedule(DRAIN_MILLISECONDS, () => {
        crash(engine, false);
        store.put(`endpoints/${engine.id}`, undefined);
      });
    },
    report: (engine) => ({
      acceptedOrders: engine.acceptedOrders,
      isBusy: engine.isBusy,
      layers: engine.layers,
      slowdown: engine.pace,
      usedTokenLayers: engine.usedTokenLayers,
      totalTokenLayers: 0,
      startedAt: engine.startedAt,
      stalledAddresses: [...engine.stalledFor].map(({ address }) => address),
      isLeaving: false,
    }),
    setLateOrders: (share) => {
      lateShare = share;
    },
  };
}
