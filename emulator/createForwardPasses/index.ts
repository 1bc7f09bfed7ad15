/**
 * Forward passes of the emulated engines, and the transfer of tokens from hop to hop.
 */
import { computeFreeMemory } from '../../src/request/computeFreeMemory/index.js';
import type { VirtualEngine, VirtualStream, WorkItem } from '../createEngineFleet/types.js';
import type { VirtualSite } from '../readScenario/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Counters over all engines. */
export interface EngineCounts {
  events: number;
  preempted: number;
  prefilledTokens: number;
  /** Requests that engines refused, by reason. */
  readonly refused: Map<string, number>;
}

/** Options of {@link createForwardPasses}. */
export interface CreateForwardPassesOptions {
  readonly site: VirtualSite;
  readonly time: Pick<VirtualTime, 'now' | 'schedule'>;
  readonly counts: EngineCounts;
}

/** Forward passes of all engines. */
export interface ForwardPasses {
  /** Queues the prefill of tokens at a hop; the later hops and the decode steps follow. */
  readonly prefill: (stream: VirtualStream, hop: number, tokens: number) => void;
  readonly hasFreeMemory: (engine: VirtualEngine, tokenLayers: number) => boolean;
  readonly reserveMemory: (stream: VirtualStream, tokens: number) => void;
  readonly freeMemory: (stream: VirtualStream) => void;
}

/** Delay between two engines of one availability zone. */
const LOCAL_ZONE_MILLISECONDS = 0.2;
/** Interval between checks of free memory for a preempted stream. */
const PREEMPTED_RETRY_MILLISECONDS = 50;
const TOKENS_PER_THOUSAND = 1_000;

function countLayers({ hops }: VirtualStream, hop: number): number {
  const range = hops[hop]?.range;
  return range ? range.to - range.from : 0;
}

/**
 * Creates the forward passes of a site's engines.
 *
 * An engine batches all queued work into one pass. The duration of a pass is the sum of its decode
 * steps, which grows with the number of requests and their context, and of its prefill, each scaled by
 * the share of the layers that the engine runs.
 *
 * @param options - site, virtual time and counters
 * @returns the passes
 * @example
 * createForwardPasses({ site, time, counts }).prefill(stream, 0, 760);
 */
export function createForwardPasses(options: CreateForwardPassesOptions): ForwardPasses {
  const { site, time, counts } = options;
  const { model } = site;
  const zoneLinks = new Map<string, number>();

  const hasFreeMemory = (engine: VirtualEngine, tokenLayers: number): boolean => {
    const { layers, kind, usedTokenLayers } = engine;
    const width = layers ? layers.to - layers.from : 0;
    return usedTokenLayers + tokenLayers <= computeFreeMemory(model, kind.memoryMegabytes, width);
  };
  const reserveMemory = (stream: VirtualStream, tokens: number): void => {
    stream.hops.forEach(({ engine }, hop) => {
      engine.usedTokenLayers += tokens * countLayers(stream, hop);
      engine.streams.add(stream);
    });
    stream.tokens += tokens;
    stream.hasMemory = true;
  };
  const freeMemory = (stream: VirtualStream): void => {
    if (!stream.hasMemory) return;
    stream.hasMemory = false;
    stream.hops.forEach(({ engine }, hop) => {
      const freed = stream.tokens * countLayers(stream, hop);
      engine.usedTokenLayers = Math.max(0, engine.usedTokenLayers - freed);
      engine.streams.delete(stream);
    });
    stream.tokens = 0;
  };
  /** Frees the memory of the newest stream, which is prefilled again when there is free memory. */
  const preempt = (engine: VirtualEngine): void => {
    const newest = [...engine.streams].at(-1);
    if (!newest) return;
    counts.preempted += 1;
    const { tokens } = newest;
    freeMemory(newest);
    newest.epoch += 1;
    const resume = (): void => {
      if (newest.isOver) return;
      const fits = newest.hops.every(({ engine: other }, hop) =>
        hasFreeMemory(other, tokens * countLayers(newest, hop)),
      );
      if (!fits) {
        time.schedule(PREEMPTED_RETRY_MILLISECONDS, resume);
        return;
      }
      reserveMemory(newest, tokens);
      prefill(newest, 0, tokens);
    };
    time.schedule(PREEMPTED_RETRY_MILLISECONDS, resume);
  };

  const computePassTime = (engine: VirtualEngine, items: readonly WorkItem[]): number => {
    let steps = 0;
    let widest = 0;
    let prefillTime = 0;
    let hasDecode = false;
    const chunkTokens = model.chunkTokens * model.stride;
    let availableTokens = items.some((item) => item.unreadTokens === 0)
      ? chunkTokens
      : Number.POSITIVE_INFINITY;
    for (const item of items) {
      const share = countLayers(item.stream, item.hop) / model.layers;
      widest = Math.max(widest, share);
      if (item.unreadTokens === 0) {
        hasDecode = true;
        const context = item.stream.tokens / TOKENS_PER_THOUSAND;
        const perRequest =
          model.stepMillisecondsPerSequence + context * model.stepMillisecondsPerThousandTokens;
        steps += perRequest * share;
        continue;
      }
      const tokens = Math.min(availableTokens, item.unreadTokens);
      availableTokens -= tokens;
      item.unreadTokens -= tokens;
      counts.prefilledTokens += tokens * share;
      prefillTime += (tokens / model.readTokensPerSecond) * 1_000 * share * engine.kind.readFactor;
    }
    const stride = hasDecode ? model.stride : 1;
    const stepTime = stride * (model.stepMilliseconds * widest + steps) * engine.kind.pace;
    return (stepTime + prefillTime) * engine.slowdown;
  };
  const startPass = (engine: VirtualEngine): void => {
    if (engine.isRunning || engine.isDown || engine.queue.length === 0) return;
    engine.isRunning = true;
    const items = engine.queue.filter(
      ({ stream, epoch }) => !stream.isOver && stream.epoch === epoch,
    );
    engine.queue = [];
    const { startedAt } = engine;
    const decodeItems = items.filter(({ unreadTokens }) => unreadTokens === 0);
    const prefillItems = items.filter(({ unreadTokens }) => unreadTokens > 0);
    time.schedule(computePassTime(engine, [...decodeItems, ...prefillItems]), () => {
      if (engine.startedAt !== startedAt) return;
      engine.isRunning = false;
      if (engine.isDown) return;
      for (const item of [...decodeItems, ...prefillItems]) {
        if (item.unreadTokens > 0) engine.queue.push(item);
        else forwardTokens(engine, item);
      }
      startPass(engine);
    });
  };
  const computeTransferTime = (from: VirtualEngine, to: VirtualEngine, tokens: number): number => {
    if (from.availabilityZone === to.availabilityZone) return LOCAL_ZONE_MILLISECONDS;
    const zoneLink = [from.availabilityZone, to.availabilityZone].sort().join('/');
    const bits = tokens * model.activationBytes * 8;
    const begin = Math.max(time.now(), zoneLinks.get(zoneLink) ?? 0);
    const end = begin + bits / (model.pipeMegabitsPerSecond * 1_000);
    zoneLinks.set(zoneLink, end);
    return end - time.now() + site.zoneMilliseconds;
  };
  const stall = (stream: VirtualStream, lost: VirtualEngine): void => {
    const first = stream.hops[0]?.engine;
    first?.stalledOn.add(lost);
    const { epoch } = stream;
    time.schedule(model.stallMilliseconds, () => {
      first?.stalledOn.delete(lost);
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
  const forwardTokens = (engine: VirtualEngine, item: WorkItem): void => {
    const { stream, epoch, hop, forwardedTokens } = item;
    if (stream.isOver || stream.epoch !== epoch) return;
    const next = stream.hops[hop + 1]?.engine;
    if (!next) {
      emitEvent(engine, item);
      return;
    }
    const unreadTokens = forwardedTokens > model.stride ? forwardedTokens : 0;
    time.schedule(computeTransferTime(engine, next, forwardedTokens), () => {
      enqueue({ stream, epoch, hop: hop + 1, unreadTokens, forwardedTokens });
    });
  };
  const emitEvent = (last: VirtualEngine, { stream, epoch }: WorkItem): void => {
    const first = stream.hops[0]?.engine ?? last;
    time.schedule(computeTransferTime(last, first, 0), () => {
      if (stream.isOver || stream.epoch !== epoch) return;
      stream.event += 1;
      counts.events += 1;
      stream.onEvent(stream.event);
      if (stream.event >= stream.lastEvent) {
        stream.onEnd('whole');
        return;
      }
      reserveMemory(stream, model.stride);
      const overcommitted = stream.hops.find(({ engine }) => !hasFreeMemory(engine, 0));
      if (overcommitted) preempt(overcommitted.engine);
      decode(stream);
    });
  };
  const decode = (stream: VirtualStream): void => {
    const { epoch } = stream;
    enqueue({ stream, epoch, hop: 0, unreadTokens: 0, forwardedTokens: model.stride });
  };
  const prefill = (stream: VirtualStream, hop: number, tokens: number): void => {
    enqueue({ stream, epoch: stream.epoch, hop, unreadTokens: tokens, forwardedTokens: tokens });
  };
  return { prefill, hasFreeMemory, reserveMemory, freeMemory };
}
