/**
 * What the parts of the emulated engines share.
 */
import type { AcceleratorKind, LayerRange } from '../../src/types/site/index.js';

/** One hop of a running stream. */
export interface StreamHop {
  readonly engine: VirtualEngine;
  readonly range: LayerRange;
}

/** Outcome of a stream at its engines. */
export type StreamEnd = 'whole' | 'cut' | 'notRun';

/** A stream that engines work on. */
export interface VirtualStream {
  readonly attempt: string;
  hops: readonly StreamHop[];
  /** Tokens that it holds in memory, on each hop. */
  tokens: number;
  readonly promptTokens: number;
  /** Number of the last event made, and of the last one to make. */
  event: number;
  readonly lastEvent: number;
  /** Rises when what is queued for it is no longer valid. */
  epoch: number;
  isOver: boolean;
  hasMemory: boolean;
  readonly onEvent: (event: number) => void;
  /** Called once; the engine at fault is named where one is. */
  readonly onEnd: (end: StreamEnd, faulty?: VirtualEngine) => void;
}

/** Work of one stream at one engine. */
export interface WorkItem {
  readonly stream: VirtualStream;
  readonly epoch: number;
  readonly hop: number;
  /** Tokens that are still to be read; 0 when the item writes. */
  unread: number;
  /** Tokens that are handed to the next hop. */
  readonly passedTokens: number;
}

/** One engine. */
export interface VirtualEngine {
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  startedAt: number;
  layers: LayerRange | undefined;
  isBusy: boolean;
  acceptedOrders: number;
  usedTokenLayers: number;
  isDown: boolean;
  /** Whether it went silent rather than closing its connections. */
  isDark: boolean;
  /** Factor on the time of its work. */
  pace: number;
  queue: WorkItem[];
  isRunning: boolean;
  /** Streams that have it as their first hop. */
  readonly own: Set<VirtualStream>;
  /** Streams that take memory here, oldest first. */
  readonly streams: Set<VirtualStream>;
  /** Engines for which its streams wait in vain. */
  readonly stalledFor: Set<VirtualEngine>;
}
