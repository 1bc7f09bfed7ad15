/**
 * Plans of layers.
 */
import type { AcceleratorKind, LayerRange } from '../site/index.js';

/** An endpoint that a plan may use. */
export interface PlacedEndpoint {
  readonly id: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  /** Layers that it holds or has been ordered to hold; undefined when it is empty. */
  readonly range?: LayerRange | undefined;
  /** It has an order under way and takes no other now. */
  readonly isBusy: boolean;
}

/** Ranges to order, by endpoint. */
export type Placement = ReadonlyMap<string, LayerRange>;
