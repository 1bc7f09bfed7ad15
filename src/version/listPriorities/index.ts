/**
 * Priorities of the requests for each service of a configuration.
 */
import { computePriority } from '../../request/computePriority/index.js';
import type { SiteConfiguration, SiteRoute } from '../../types/site/index.js';

/** Lists the effective priorities that requests on a route can have. */
function listRoutePriorities(
  { accounts }: SiteConfiguration,
  { priority, isPublic }: SiteRoute,
): number[] {
  const withoutAccount = accounts === undefined || isPublic ? [undefined] : [];
  const ofAccounts = accounts?.map((account) => account.priority) ?? [];
  return [...withoutAccount, ...ofAccounts].map((accountPriority) =>
    computePriority(priority, accountPriority),
  );
}

/**
 * Lists the effective priorities of the requests for each service.
 *
 * The priority of a client account replaces that of the route. A route counts for each of its services.
 *
 * @param configuration - the configuration
 * @returns priorities by service in ascending order, the most urgent first
 * @example
 * listPriorities(configuration).get('assistant'); // [1, 3]
 */
export function listPriorities(
  configuration: SiteConfiguration,
): ReadonlyMap<string, readonly number[]> {
  const prioritiesByService = new Map<string, Set<number>>();
  for (const route of configuration.routes) {
    const priorities = listRoutePriorities(configuration, route);
    for (const { service } of route.services) {
      const known = prioritiesByService.get(service) ?? new Set<number>();
      prioritiesByService.set(service, known);
      for (const priority of priorities) known.add(priority);
    }
  }
  return new Map(
    [...prioritiesByService].map(([service, priorities]) => [
      service,
      [...priorities].sort((left, right) => left - right),
    ]),
  );
}
