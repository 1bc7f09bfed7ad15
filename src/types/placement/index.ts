/**
 * Types of layer placement: which endpoint hosts which layers.
 */
import type { AcceleratorKind, LayerRange } from '../site/index.js';

/** Endpoint that a placement may use. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  /** Layers that it hosts or was ordered to host; undefined when it has none. */
  readonly range?: LayerRange | undefined;
  /** Whether an order is in progress, so that the endpoint accepts no other. */
  readonly isBusy: boolean;
}

/** Layer ranges to order, by endpoint id. */
export type Placement = ReadonlyMap<string, LayerRange>;
