/**
 * What to tell somebody whose command needs a port that is in use.
 */
import { z } from 'zod';
import type { SiteSettings } from '../startSite/index.js';

const failureSchema = z.object({ code: z.literal('EADDRINUSE'), port: z.number() });

/** Finds the setting that a port comes from. */
function findSetting({ platform, engines, services }: SiteSettings, port: number): string {
  if (platform.port === port) return 'platform.port';
  const holds = ({ firstPort, count }: { firstPort: number; count: number }): boolean =>
    firstPort <= port && port < firstPort + count;
  const engine = engines.findIndex(holds);
  if (engine >= 0) return `engines[${engine}].firstPort`;
  const service = services.findIndex(holds);
  return service >= 0 ? `services[${service}].firstPort` : 'a port';
}

/**
 * Explains why stand-ins did not start.
 *
 * @param error - what was thrown
 * @param settings - the settings of the site
 * @param file - path of the settings
 * @returns the explanation, or undefined when no port is in use
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
