/**
 * Services whose nodes spread their choices of a path, because the loads that they know are too old to choose the best.
 */
import type { LayeredModel, SiteConfiguration } from '../../types/site/index.js';

/**
 * Ratio of the step times of a model's accelerators from which loads are too old: the fastest endpoint fills within the
 * time that a load report needs to reach the other nodes.
 */
const MINIMUM_PACE_RATIO = 8;

/** Returns whether the step times of a model's accelerators are far apart. */
function isUneven({ kinds }: LayeredModel): boolean {
  const paces = kinds.map(({ pace }) => pace);
  return paces.length > 0 && Math.max(...paces) >= MINIMUM_PACE_RATIO * Math.min(...paces);
}

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
 * These are the services whose accelerators differ in step time by a factor of 8 or more, and those with several
 * priorities.
 *
 * @param configuration - version of the configuration
 * @returns names of the services
 * @example
 * listSpreadServices(configuration).has('assistant');
 */
export function listSpreadServices(configuration: SiteConfiguration): ReadonlySet<string> {
  const spread = configuration.services.filter(
    ({ name, model }) =>
      model && (isUneven(model) || listServicePriorities(configuration, name).size > 1),
  );
  return new Set(spread.map(({ name }) => name));
}
