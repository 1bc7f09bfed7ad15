/**
 * Services whose nodes spread their choices of a path, because the loads that they know are too old to choose the best.
 */
import type { SiteConfiguration } from '../../types/site/index.js';

/** Lists the effective priorities of a service: the priority of an account replaces that of the route. */
function listServicePriorities(
  { routes, accounts = [] }: SiteConfiguration,
  service: string,
): ReadonlySet<number> {
  const priorities = new Set<number>();
  for (const route of routes) {
    if (!route.services.some((share) => share.service === service && share.weight > 0)) continue;
    if (route.isPublic || accounts.length === 0) priorities.add(route.priority);
    for (const { priority = route.priority } of accounts) priorities.add(priority);
  }
  return priorities;
}

/**
 * Lists the services with a layered model whose nodes spread their choices of a path.
 *
 * These are the services with several priorities. With one priority, and accelerators whose step times are far apart,
 * the spread makes more streams late.
 *
 * @param configuration - version of the configuration
 * @returns names of the services
 * @example
 * listSpreadServices(configuration).has('assistant');
 */
export function listSpreadServices(configuration: SiteConfiguration): ReadonlySet<string> {
  const spread = configuration.services.filter(
    ({ name, model }) => model && listServicePriorities(configuration, name).size > 1,
  );
  return new Set(spread.map(({ name }) => name));
}
