/**
 * Check after the start of a node whether its known endpoints host all layers of all models.
 *
 * The registry may be incomplete when a node starts: entries that expired during an outage are
 * registered again one by one.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { SiteService } from '../../../types/site/index.js';
import { countLayerCopies } from '../../../version/countLayerCopies/index.js';
import type { StartGate } from '../createStartGate/index.js';

/** Options of {@link watchLayerCoverage}. */
export interface WatchLayerCoverageOptions {
  readonly gate: Pick<StartGate, 'open'>;
  readonly clock: Clock;
  readonly endpoints: Pick<EndpointTable, 'listUsable'>;
  /** Returns the services of the current configuration. */
  readonly listServices: () => readonly SiteService[];
}

const CHECK_INTERVAL_MILLISECONDS = 40;
/** Time after which the gate opens regardless of the layers, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 2_500;

function hasAllLayers(
  { name, model }: SiteService,
  endpoints: WatchLayerCoverageOptions['endpoints'],
  now: number,
): boolean {
  if (!model) return true;
  const hosted = endpoints.listUsable(name, now).flatMap(({ layers }) => (layers ? [layers] : []));
  return countLayerCopies(model, hosted).every((copies) => copies > 0);
}

/**
 * Opens a gate when every layer of every model is hosted, or after a time limit.
 *
 * @param options - the gate, the clock, the endpoints and the services
 * @returns nothing
 * @example
 * watchLayerCoverage({ gate, clock, endpoints, listServices });
 */
export function watchLayerCoverage(options: WatchLayerCoverageOptions): void {
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
