/**
 * Passes of the emulated engines, and the way of tokens from hop to hop.
 */
import { computeFreeMemory } from '../../src/request/computeFreeMemory/index.js';
import type { VirtualEngine, VirtualStream, WorkItem } from '../createEngineFleet/types.js';
import type { VirtualSite } from '../readScenario/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Counts of what engines did. */
export interface EngineCounts {
  events: number;
  preempted: number;
  readTokens: number;
  /** Requests that engines refused, by reason. */
  readonly refused: Map<string, number>;
}

/** Options of {@link createPasses}. */
export interface CreatePassesOptions {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly counts: EngineCounts;
}

/** Passes of all engines. */
export interface Passes {
  /** Queues the reading of tokens at a hop, and then whatever follows. */
  readonly read: (stream: VirtualStream, hop: number, tokens: number) => void;
  readonly hasRoom: (engine: VirtualEngine, tokenLayers: number) => boolean;
  readonly takeMemory: (stream: VirtualStream, tokens: number) => void;
  readonly freeMemory: (stream: VirtualStream) => void;
}

/** Delay between two engines of one availability zone, in milliseconds. */
const NEAR_MILLISECONDS = 0.2;
/** Pause between two looks for memory for a preempted stream, in milliseconds. */
const RETURN_MILLISECONDS = 50;
const TOKENS_PER_THOUSAND = 1_000;

function countWidth({ hops }: VirtualStream, hop: number): number {
  const range = hops[hop]?.range;
  return range ? range.to - range.from : 0;
}

/**
 * Creates the passes.
 *
 * An engine takes all waiting work into a pass. Its time is that of the token steps, which grows with
 * the requests and their context, and that of the reading, each by its share of the layers.
 *
 * @param options - the site, the time and counters
 * @returns the passes
 * @example
 * createPasses({ site, time, counts }).read(stream, 0, 760);
 */
export function createPasses(options: CreatePassesOptions): Passes {
  const { site, time, counts } = options;
  const { model } = site;
  const pipes = new Map<string, number>();

  const hasRoom = (engine: VirtualEngine, tokenLayers: number): boolean => {
    const { layers, kind, usedTokenLayers } = engine;
    const width = layers ? layers.to - layers.from : 0;
    return usedTokenLayers + tokenLayers <= computeFreeMemory(model, kind.memoryMegabytes, width);
  };
  const takeMemory = (stream: VirtualStream, tokens: number): void => {
    stream.hops.forEach(({ engine }, hop) => {
      engine.usedTokenLayers += tokens * countWidth(stream, hop);
      engine.streams.add(stream);
    });
    stream.tokens += tokens;
    stream.hasMemory = true;
  };
  const freeMemory = (stream: VirtualStream): void => {
    if (!stream.hasMemory) return;
    stream.hasMemory = false;
    stream.hops.forEach(({ engine }, hop) => {
      const freed = stream.tokens * countWidth(stream, hop);
      engine.usedTokenLayers = Math.max(0, engine.usedTokenLayers - freed);
      engine.streams.delete(stream);
    });
    stream.tokens = 0;
  };
  /** The newest stream gives its memory up, and is read again when there is room. */
  const preempt = (engine: VirtualEngine): void => {
    const newest = [...engine.streams].at(-1);
    if (!newest) return;
    counts.preempted += 1;
    const { tokens } = newest;
    freeMemory(newest);
    newest.epoch += 1;
    const comeBack = (): void => {
      if (newest.isOver) return;
      const fits = newest.hops.every(({ engine: other }, hop) =>
        hasRoom(other, tokens * countWidth(newest, hop)),
      );
      if (!fits) {
        time.schedule(RETURN_MILLISECONDS, comeBack);
        return;
      }
      takeMemory(newest, tokens);
      read(newest, 0, tokens);
    };
    time.schedule(RETURN_MILLISECONDS, comeBack);
  };

  const countPassTime = (engine: VirtualEngine, items: readonly WorkItem[]): number => {
    let steps = 0;
    let widest = 0;
    let reading = 0;
    let hasWriter = false;
    const budget = model.chunkTokens * model.stride;
    let unread = items.some((item) => item.unread === 0) ? budget : Number.POSITIVE_INFINITY;
    for (const item of items) {
      const share = countWidth(item.stream, item.hop) / model.layers;
      widest = Math.max(widest, share);
      if (item.unread === 0) {
        hasWriter = true;
        const context = item.stream.tokens / TOKENS_PER_THOUSAND;
        const perRequest =
          model.stepMillisecondsPerSequence + context * model.stepMillisecondsPerThousandTokens;
        steps += perRequest * share;
        continue;
      }
      const tokens = Math.min(unread, item.unread);
      unread -= tokens;
      item.unread -= tokens;
      counts.readTokens += tokens * share;
      reading += (tokens / model.readTokensPerSecond) * 1_000 * share * engine.kind.readFactor;
    }
    const stride = hasWriter ? model.stride : 1;
    const stepTime = stride * (model.stepMilliseconds * widest + steps) * engine.kind.pace;
    return (stepTime + reading) * engine.pace;
  };
  const startPass = (engine: VirtualEngine): void => {
    if (engine.isRunning || engine.isDown || engine.queue.length === 0) return;
    engine.isRunning = true;
    const items = engine.queue.filter(
      ({ stream, epoch }) => !stream.isOver && stream.epoch === epoch,
    );
    engine.queue = [];
    const { startedAt } = engine;
    const writers = items.filter(({ unread }) => unread === 0);
    const readers = items.filter(({ unread }) => unread > 0);
    time.schedule(countPassTime(engine, [...writers, ...readers]), () => {
      if (engine.startedAt !== startedAt) return;
      engine.isRunning = false;
      if (engine.isDown) return;
      for (const item of [...writers, ...readers]) {
        if (item.unread > 0) engine.queue.push(item);
        else passOn(engine, item);
      }
      startPass(engine);
    });
  };
  const countTransfer = (from: VirtualEngine, to: VirtualEngine, tokens: number): number => {
    if (from.availabilityZone === to.availabilityZone) return NEAR_MILLISECONDS;
    const pipe = [from.availabilityZone, to.availabilityZone].sort().join('/');
    const bits = tokens * model.activationBytes * 8;
    const begin = Math.max(time.now(), pipes.get(pipe) ?? 0);
    const end = begin + bits / (model.pipeMegabitsPerSecond * 1_000);
    pipes.set(pipe, end);
    return end - time.now() + site.zoneMilliseconds;
  };
  const stall = (stream: VirtualStream, lost: VirtualEngine): void => {
    const first = stream.hops[0]?.engine;
    first?.stalledFor.add(lost);
    const { epoch } = stream;
    time.schedule(model.stallMilliseconds, () => {
      first?.stalledFor.delete(lost);
      if (stream.isOver || stream.epoch !== epoch) return;
      stream.onEnd(stream.event === 0 ? 'notRun' : 'cut', lost);
    });
  };
  const enqueue = (item: WorkItem): void => {
    const engine = item.stream.hops[item.hop]?.engine;
    if (!engine || item.stream.isOver || item.stream.epoch !== item.epoch) return;
    if (engine.isDown) {
      stall(item.stream, engine);
      return;
    }
    engine.queue.push(item);
    startPass(engine);
  };
  const passOn = (engine: VirtualEngine, item: WorkItem): void => {
    const { stream, epoch, hop, passedTokens } = item;
    if (stream.isOver || stream.epoch !== epoch) return;
    const next = stream.hops[hop + 1]?.engine;
    if (!next) {
      makeEvent(engine, item);
      return;
    }
    const unread = passedTokens > model.stride ? passedTokens : 0;
    time.schedule(countTransfer(engine, next, passedTokens), () => {
      enqueue({ stream, epoch, hop: hop + 1, unread, passedTokens });
    });
  };
  const makeEvent = (last: VirtualEngine, { stream, epoch }: WorkItem): void => {
    const first = stream.hops[0]?.engine ?? last;
    time.schedule(countTransfer(last, first, 0), () => {
      if (stream.isOver || stream.epoch !== epoch) return;
      stream.event += 1;
      counts.events += 1;
      stream.onEvent(stream.event);
      if (stream.event >= stream.lastEvent) {
        stream.onEnd('whole');
        return;
      }
      takeMemory(stream, model.stride);
      const short = stream.hops.find(({ engine }) => !hasRoom(engine, 0));
      if (short) preempt(short.engine);
      write(stream);
    });
  };
  const write = (stream: VirtualStream): void => {
    const { epoch } = stream;
    enqueue({ stream, epoch, hop: 0, unread: 0, passedTokens: model.stride });
  };
  const read = (stream: VirtualStream, hop: number, tokens: number): void => {
    enqueue({ stream, epoch: stream.epoch, hop, unread: tokens, passedTokens: tokens });
  };
  return { read, hasRoom, takeMemory, freeMemory };
}
