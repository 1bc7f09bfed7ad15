/**
 * A configuration version, compiled for matching requests.
 */
import type {
  SiteAccount,
  SiteConfiguration,
  SiteRoute,
  SiteService,
} from '../../types/site/index.js';

/** Compiled form of one configuration version. */
export interface CompiledSite {
  readonly configuration: SiteConfiguration;
  readonly findRoute: (host: string, path: string) => SiteRoute | undefined;
  readonly findAccount: (key: string) => SiteAccount | undefined;
  readonly findService: (name: string) => SiteService | undefined;
  /** Whether requests that are not on a public route need a key. */
  readonly needsKey: boolean;
}

/**
 * Compiles a configuration version.
 *
 * Among the routes of a host, the longest prefix that begins the path wins.
 *
 * @param configuration - the version
 * @returns look-ups of routes, client accounts and services
 * @example
 * compileSite(configuration).findRoute('desk.example', '/bookings/3');
 */
export function compileSite(configuration: SiteConfiguration): CompiledSite {
  const routesByHost = new Map<string, SiteRoute[]>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host);
    if (routes) routes.push(route);
    else routesByHost.set(host, [route]);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((left, right) => right.prefix.length - left.prefix.length);
  }
  const accounts = new Map<string, SiteAccount>();
  for (const account of configuration.accounts ?? []) {
    for (const key of account.keys) accounts.set(key, account);
  }
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    configuration,
    findRoute: (host, path) =>
      routesByHost.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix)),
    findAccount: (key) => accounts.get(key),
    findService: (name) => services.get(name),
    needsKey: configuration.accounts !== undefined,
  };
}
