/**
 * Services whose nodes spread their choices of a path, because the loads that they know are too old to choose the best.
 */
import type { SiteConfiguration } from '../../types/site/index.js';
import { listPriorities } from '../listPriorities/index.js';

/**
 * Lists the services with a layered model whose nodes spread their choices of a path.
 *
 * These are the services with several priorities. With one priority, the spread makes more streams late.
 *
 * @param configuration - version of the configuration
 * @returns names of the services
 * @example
 * listSpreadServices(configuration).has('assistant');
 */
export function listSpreadServices(configuration: SiteConfiguration): ReadonlySet<string> {
  const priorities = listPriorities(configuration);
  const spread = configuration.services.filter(
    ({ name, model }) => model && (priorities.get(name)?.length ?? 0) > 1,
  );
  return new Set(spread.map(({ name }) => name));
}
