/**
 * Types shared by the modules of the emulated engines.
 */
import type { AcceleratorKind, LayerRange } from '../../src/types/site/index.js';

/** One hop of a running stream: an engine and the layers that it runs. */
export interface StreamHop {
  readonly engine: VirtualEngine;
  readonly range: LayerRange;
}

/** Outcome of a stream at its engines: complete, cut off after it began, or not executed. */
export type StreamEnd = 'whole' | 'cut' | 'notRun';

/** A stream that engines process. */
export interface VirtualStream {
  readonly attempt: string;
  hops: readonly StreamHop[];
  /** Tokens in the KV cache of each hop. */
  tokens: number;
  readonly promptTokens: number;
  /** Number of the last event produced. */
  event: number;
  /** Number of the last event to produce. */
  readonly lastEvent: number;
  /** Incremented to invalidate the work items that are queued for the stream. */
  epoch: number;
  isOver: boolean;
  hasMemory: boolean;
  readonly onEvent: (event: number) => void;
  /** Called once, with the engine that caused the failure if there is one. */
  readonly onEnd: (end: StreamEnd, failedEngine?: VirtualEngine) => void;
}

/** Work of one stream on one engine. */
export interface WorkItem {
  readonly stream: VirtualStream;
  readonly epoch: number;
  readonly hop: number;
  /** Tokens that remain to be prefilled; 0 for a decode step. */
  unreadTokens: number;
  /** Tokens whose activations go to the next hop. */
  readonly forwardedTokens: number;
}

/** An emulated engine. */
export interface VirtualEngine {
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  startedAt: number;
  layers: LayerRange | undefined;
  /** Whether it is loading layers. */
  isBusy: boolean;
  acceptedOrders: number;
  usedTokenLayers: number;
  isDown: boolean;
  /** Whether its registration states that it is draining. */
  isDraining: boolean;
  /** Whether it stopped responding without closing its connections. */
  isUnresponsive: boolean;
  /** Factor on the duration of its passes; 1 is normal. */
  slowdown: number;
  queue: WorkItem[];
  isRunning: boolean;
  /** Streams whose first hop is this engine. */
  readonly firstHopStreams: Set<VirtualStream>;
  /** Streams with tokens in its KV cache, oldest first. */
  readonly streams: Set<VirtualStream>;
  /** Failed engines that its streams are waiting for. */
  readonly stalledOn: Set<VirtualEngine>;
}
