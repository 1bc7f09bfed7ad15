/**
 * Site configuration compiled for request matching.
 */
import type {
  SiteAccount,
  SiteConfiguration,
  SiteRoute,
  SiteService,
} from '../../types/site/index.js';
import { listSpreadServices } from '../listSpreadServices/index.js';

/** Compiled form of one version of the site configuration. */
export interface CompiledSiteConfiguration {
  readonly configuration: SiteConfiguration;
  readonly findRoute: (host: string, path: string) => SiteRoute | undefined;
  readonly findAccount: (key: string) => SiteAccount | undefined;
  readonly findService: (name: string) => SiteService | undefined;
  /** True when requests that are not on a public route need an API key. */
  readonly requiresKey: boolean;
}

/**
 * Compiles one version of the site configuration.
 *
 * Among the routes of a host, the one with the longest prefix of the path is selected.
 *
 * @param configuration - the version to compile
 * @returns lookups of routes, client accounts and services
 * @example
 * compileSiteConfiguration(configuration).findRoute('desk.example', '/bookings/3');
 */
export function compileSiteConfiguration(
  configuration: SiteConfiguration,
): CompiledSiteConfiguration {
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
  const spreadServices = listSpreadServices(configuration);
  const services = new Map(
    configuration.services.map((service) => [
      service.name,
      spreadServices.has(service.name) ? { ...service, spreadsChoices: true } : service,
    ]),
  );
  return {
    configuration,
    findRoute: (host, path) =>
      routesByHost.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix)),
    findAccount: (key) => accounts.get(key),
    findService: (name) => services.get(name),
    requiresKey: configuration.accounts !== undefined,
  };
}
