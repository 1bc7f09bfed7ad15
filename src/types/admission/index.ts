/**
 * Types of the demand for a service by priority.
 */

/** Demand of the requests of one priority. */
export interface PriorityDemand {
  /** Priority; a lower number is more urgent. */
  readonly priority: number;
  /** Requests that arrive in a second, served or not. */
  readonly requestsPerSecond: number;
  /** KV-cache memory that these requests need, in token-layers per second. */
  readonly tokenLayersPerSecond: number;
  /** Number of requests that are open now. */
  readonly heldRequests: number;
  /** KV-cache memory that the open requests need, in token-layers. */
  readonly heldTokenLayers: number;
}

/** Demand for one service. */
export interface ServiceDemand {
  /** Mean time that a request stays, in milliseconds; 0 until one has ended. */
  readonly stayMilliseconds: number;
  readonly priorities: readonly PriorityDemand[];
}
