/**
 * Whether the endpoints that a node knows hold whole models, after its start.
 *
 * The registry may be incomplete when a node starts: entries that lapsed during an outage come back
 * one by one.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { SiteService } from '../../../types/site/index.js';
import { countLayerCopies } from '../../../version/countLayerCopies/index.js';
import type { StartGate } from '../createStartGate/index.js';

/** Options of {@link watchCover}. */
export interface WatchCoverOptions {
  readonly gate: Pick<StartGate, 'open'>;
  readonly clock: Clock;
  readonly endpoints: Pick<EndpointTable, 'listUsable'>;
  /** Services of the configuration in force. */
  readonly listServices: () => readonly SiteService[];
}

const LOOK_MILLISECONDS = 40;
/** Time after which the gate opens in any case, in milliseconds. */
const LONGEST_MILLISECONDS = 2_500;

function isCovered(
  { name, model }: SiteService,
  endpoints: WatchCoverOptions['endpoints'],
  now: number,
): boolean {
  if (!model) return true;
  const held = endpoints.listUsable(name, now).flatMap(({ layers }) => (layers ? [layers] : []));
  return countLayerCopies(model, held).every((copies) => copies > 0);
}

/**
 * Opens a gate when each layer of each model is held, or after a time.
 *
 * @param options - the gate, the clock, and what the node knows
 * @returns nothing
 * @example
 * watchCover({ gate, clock, endpoints, listServices });
 */
export function watchCover(options: WatchCoverOptions): void {
  const { gate, clock, endpoints, listServices } = options;
  const until = clock.now() + LONGEST_MILLISECONDS;
  const look = (): void => {
    const now = clock.now();
    const isWhole = listServices().every((service) => isCovered(service, endpoints, now));
    if (isWhole || now >= until) gate.open();
    else clock.schedule(LOOK_MILLISECONDS, look);
  };
  look();
}
