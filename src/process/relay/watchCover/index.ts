/**
 * Whether the endpoints that a node knows hold whole models, after its start.
 *
 * The registry may be incomplete when a node starts: entries that lapsed during an outage come back
 * one by one.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { SiteService } from '../../../types/site/index.js';
import { countCover } from '../../../version/countCover/index.js';
import type { StartGate } from '../createStartGate/index.js';

/** Options of {@link watchCover}. */
export interface WatchLayerCoverageOptions {
  readonly gate: Pick<StartGate, 'open'>;
  readonly clock: Clock;
  readonly endpoints: Pick<EndpointTable, 'listUsable'>;
  /** Services of the configuration in force. */
  readonly listServices: () => readonly SiteService[];
}

const CHECK_INTERVAL_MILLISECONDS = 40;
/** Time after which the gate opens in any case, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 2_500;

function hasAllLayers(
  { name, model }: SiteService,
  endpoints: WatchLayerCoverageOptions['endpoints'],
  now: number,
): boolean {
  if (!model) return true;
  const hosted = endpoints.listUsable(name, now).flatMap(({ layers }) => (layers ? [layers] : []));
  return countCover(model, hosted).every((copies) => copies > 0);
}

/**
 * Opens a gate when each layer of each model is held, or after a time.
 *
 * @param options - the gate, the clock, and what the node knows
 * @returns nothing
 * @example
 * watchCover({ gate, clock, endpoints, listServices });
 */
export function watchCover(options: WatchLayerCoverageOptions): void {
  const { gate, clock, endpoints, listServices } = options;
  const until = clock.now() + MAXIMUM_WAIT_MILLISECONDS;
  const check = (): void => {
    const now = clock.now();
    const isComplete = listServices().every((service) => hasAllLayers(service, endpoints, now));
    if (isComplete || now >= until) gate.open();
    else clock.schedule(CHECK_INTERVAL_MILLISECONDS, check);
  };
  check();
}
