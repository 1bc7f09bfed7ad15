/**
 * Priorities that the requests of each service may have.
 */
import type { SiteAccount, SiteConfiguration, SiteRoute } from '../../types/site/index.js';

/** Lists the priorities of a route's requests: those of the accounts that may use it, and its own. */
function listRoutePriorities(
  { priority, isPublic }: SiteRoute,
  accounts: readonly SiteAccount[] | undefined,
): number[] {
  const ofAccounts = (accounts ?? []).map((account) => account.priority ?? priority);
  const needsAccount = accounts !== undefined && !isPublic;
  return needsAccount ? ofAccounts : [priority, ...ofAccounts];
}

/**
 * Lists the effective priorities of the requests of each service, as the configuration declares them.
 *
 * An account's priority replaces the route's. A route with several services counts for each of them.
 *
 * @param configuration - the configuration
 * @returns the distinct priorities in ascending order (0 is the most urgent) by name of the service
 * @example
 * listPriorities(configuration).get('assistant'); // [0, 2]
 */
export function listPriorities(
  configuration: SiteConfiguration,
): ReadonlyMap<string, readonly number[]> {
  const byService = new Map(
    configuration.services.map(({ name }) => [name, new Set<number>()] as const),
  );
  for (const route of configuration.routes) {
    const priorities = listRoutePriorities(route, configuration.accounts);
    for (const { service } of route.services) {
      const known = byService.get(service);
      for (const priority of priorities) known?.add(priority);
    }
  }
  return new Map(
    [...byService].map(([service, priorities]) => [
      service,
      [...priorities].sort((left, right) => left - right),
    ]),
  );
}
