/**
 * Writes entries of endpoints to the registry.
 */
import type { SiteStore } from '../serveSiteStore/index.js';

/** Endpoint to register. */
export interface RegisteredEndpoint {
  readonly id: string;
  readonly address: string;
}

/**
 * Registers an endpoint, as endpoints of the platform do themselves.
 *
 * @param store - the store
 * @param endpoint - its identifier and address
 * @param service - name of its service
 * @param changes - fields that replace the default ones, under the platform's names
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
