/**
 * Explains to a user which setting to change when a port is in use.
 */
import { z } from 'zod';
import type { SiteSettings } from '../startSite/index.js';

const failureSchema = z.object({ code: z.literal('EADDRINUSE'), port: z.number() });

/** Returns the name of the setting that defines a port. */
function findSetting({ platform, engines, services }: SiteSettings, port: number): string {
  if (platform.port === port) return 'platform.port';
  const containsPort = ({ firstPort, count }: { firstPort: number; count: number }): boolean =>
    firstPort <= port && port < firstPort + count;
  const engine = engines.findIndex(containsPort);
  if (engine >= 0) return `engines[${engine}].firstPort`;
  const service = services.findIndex(containsPort);
  return service >= 0 ? `services[${service}].firstPort` : 'a port';
}

/**
 * Returns an explanation when stand-ins failed to start because a port is in use.
 *
 * @param error - error thrown by the start
 * @param settings - the settings of the site
 * @param file - path of the settings
 * @returns the explanation, or undefined for any other error
 * @example
 * explainPortFailure(error, settings, 'examples/fit-desk/standins.json');
 */
export function explainPortFailure(
  error: unknown,
  settings: SiteSettings,
  file: string,
): string | undefined {
  const { data } = failureSchema.safeParse(error);
  if (!data) return undefined;
  const setting = findSetting(settings, data.port);
  return `port ${data.port} is in use: stop what listens there, or change ${setting} in ${file}`;
}
