/**
 * Costs of links between availability zones.
 */
import type { LinkCost } from '../../../request/buildChainPool/index.js';
import type { Settings } from '../../settings/settingsSchema/index.js';

/**
 * Creates a function that looks up the cost of a link.
 *
 * @param settings - the links, and the default cost of all others
 * @returns a function that maps two availability zones to the link's cost
 * @example
 * createLinkTable(settings)('mission', 'harbour').latencyMilliseconds;
 */
export function createLinkTable(
  settings: Pick<Settings, 'links' | 'defaultLink'>,
): (fromZone: string, toZone: string) => LinkCost {
  const costs = new Map<string, LinkCost>();
  for (const { between, ...cost } of settings.links) {
    const [left = '', right = ''] = between;
    costs.set(`${left}/${right}`, cost);
    costs.set(`${right}/${left}`, cost);
  }
  return (fromZone, toZone) => costs.get(`${fromZone}/${toZone}`) ?? settings.defaultLink;
}
