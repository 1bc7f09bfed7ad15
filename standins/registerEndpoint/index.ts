/**
 * Entries of endpoints in the registry.
 */
import type { SiteStore } from '../serveSiteStore/index.js';

/** What an entry names. */
export interface RegisteredEndpoint {
  readonly id: string;
  readonly address: string;
}

/**
 * Registers an endpoint as it would itself.
 *
 * @param store - the store
 * @param endpoint - its identifier and address
 * @param service - name of its service
 * @param changes - fields of the entry that differ from the usual ones, as the platform spells them
 * @returns nothing
 * @example
 * registerEndpoint(store, endpoint, 'assistant', { zone: 'zone-1' });
 */
export function registerEndpoint(
  store: SiteStore,
  { id, address }: RegisteredEndpoint,
  service: string,
  changes: object = {},
): void {
  store.put(`servers/${id}`, {
    service,
    address,
    zone: 'mission',
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_left_ms: 0,
    sequence: 1,
    born: 1_000,
    route_type: 'large',
    ...changes,
  });
}
