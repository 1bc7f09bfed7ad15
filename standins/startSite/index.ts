/**
 * Starts all stand-ins of a site from its settings file.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import type { Vm } from '../../src/types/platform/index.js';
import { serveEngine, type EngineStandin } from '../serveEngine/index.js';
import { servePlatform, type PlatformStandin } from '../servePlatform/index.js';
import { serveService, type ServiceStandin } from '../serveService/index.js';

const engineGroupSchema = z.object({
  prefix: z.string(),
  count: z.number().int().positive(),
  firstPort: z.number().int(),
  role: z.string(),
  accelerator: z.string(),
  layersPerSecond: z.number().positive(),
  layerCapacity: z.number().int().positive(),
  checksFencing: z.boolean().default(true),
});

const serviceGroupSchema = z.object({
  service: z.string(),
  count: z.number().int().positive(),
  firstPort: z.number().int(),
});

/** Schema of the settings of a site's stand-ins. Port 0 means any free port. */
export const siteSettingsSchema = z.object({
  seed: z.number().int().default(1),
  availabilityZones: z.array(z.string()).min(1),
  platform: z.object({ port: z.number().int(), vmListLagMilliseconds: z.number().default(500) }),
  engines: z.array(engineGroupSchema),
  services: z.array(serviceGroupSchema),
  entryVms: z.array(z.string()).default([]),
});
export type SiteSettings = z.infer<typeof siteSettingsSchema>;

/** Running stand-ins of a site. */
export interface Site {
  readonly settings: SiteSettings;
  readonly platform: PlatformStandin;
  readonly engines: ReadonlyMap<string, EngineStandin>;
  readonly services: readonly ServiceStandin[];
  /** Calls by idempotency key, over all endpoints of all services. */
  readonly counts: Map<string, number>;
  readonly close: () => Promise<void>;
}

/**
 * Reads the settings of a site.
 *
 * @param file - path of the file
 * @returns the settings
 * @example
 * readSiteSettings('examples/fit-desk/standins.json');
 */
export function readSiteSettings(file: string): SiteSettings {
  return siteSettingsSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

/**
 * Starts all stand-ins of a site in this process.
 *
 * @param settings - settings of the site
 * @param useFreePorts - whether to use free ports instead of those in the settings
 * @returns the site
 * @example
 * const site = await startSite(readSiteSettings('examples/fit-desk/standins.json'));
 */
export async function startSite(settings: SiteSettings, useFreePorts = false): Promise<Site> {
  const { seed, availabilityZones } = settings;
  const choosePort = (port: number): number => (useFreePorts ? 0 : port);
  const counts = new Map<string, number>();
  const engines = new Map<string, EngineStandin>();
  const services: ServiceStandin[] = [];
  const vms: Vm[] = [];
  const pickZone = (index: number): string =>
    availabilityZones[index % availabilityZones.length] ?? '';
  const addVm = (
    name: string,
    address: string,
    index: number,
    tags: Record<string, string>,
  ): void => {
    vms.push({
      name: `vm-${name}`,
      address,
      availabilityZone: pickZone(index),
      state: 'live',
      tags: { name, ...tags },
    });
  };

  for (const group of settings.engines) {
    for (let index = 0; index < group.count; index += 1) {
      const name = `${group.prefix}-${(index + 1).toString().padStart(2, '0')}`;
      const engine = await serveEngine({
        name,
        port: choosePort(group.firstPort + index),
        seed: seed + vms.length,
        layersPerSecond: group.layersPerSecond,
        checksFencing: group.checksFencing,
      });
      engines.set(name, engine);
      const { role, accelerator, layerCapacity } = group;
      addVm(name, engine.address, index, {
        kind: 'engine',
        role,
        accelerator,
        'layer-capacity': layerCapacity.toString(),
      });
    }
  }
  for (const group of settings.services) {
    for (let index = 0; index < group.count; index += 1) {
      const name = `${group.service}-${(index + 1).toString()}`;
      const port = choosePort(group.firstPort + index);
      const service = await serveService({ name, port, seed: seed + vms.length, counts });
      services.push(service);
      addVm(name, service.address, index, {
        kind: 'service',
        role: group.service,
        service: group.service,
      });
    }
  }
  settings.entryVms.forEach((name, index) => {
    vms.push({
      name,
      address: '',
      availabilityZone: pickZone(index),
      state: 'live',
      tags: { kind: 'entry', name },
    });
  });
  const platform = await servePlatform({
    port: choosePort(settings.platform.port),
    seed,
    vmListLagMilliseconds: settings.platform.vmListLagMilliseconds,
  });
  platform.platform.setVms(vms);
  return {
    settings,
    platform,
    engines,
    services,
    counts,
    close: async () => {
      await Promise.all(
        [...engines.values(), ...services, platform].map((standin) => standin.close()),
      );
    },
  };
}
