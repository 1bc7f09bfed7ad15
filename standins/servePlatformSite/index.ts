/**
 * Stand-ins of a complete site for a node that runs the platform's bundle: a store with a configuration,
 * endpoints that respond with events, and settings for nodes.
 */
import { registerEndpoint } from '../registerEndpoint/index.js';
import { serveSiteEndpoint, writeEvents, type SiteEndpoint } from '../serveSiteEndpoint/index.js';
import { serveSiteStore } from '../serveSiteStore/index.js';

/** Options of {@link servePlatformSite}. */
export interface ServePlatformSiteOptions {
  readonly endpoints: number;
  /** Number of events in each answer. */
  readonly events: number;
}

/** Running site. */
export interface PlatformSite {
  readonly storeAddress: string;
  readonly close: () => Promise<void>;
}

/** Address and ports of a node. */
export interface NodeAddresses {
  readonly ip: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly directoryPort: number;
  readonly peerPort: number;
}

/** Host of the site's only route, whose paths start with `/ask/`. */
export const PLATFORM_SITE_HOST = 'desk.example';

const ZONES = ['zone-1', 'zone-2', 'zone-3', 'zone-4', 'zone-5'] as const;
const LAYERS = 80;
const LAYER_MEGABYTES = 1_750;
const KINDS = [
  { name: 'large', size_mb: 73_728, pace: 2.4, read_factor: 3.2 },
  { name: 'middle', size_mb: 22_528, pace: 16, read_factor: 8.2 },
  { name: 'small', size_mb: 14_336, pace: 5.3, read_factor: 7.9 },
] as const;
/** One endpoint in so many is of the first kind. */
const LARGE_INTERVAL = 10;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'ask',
      host: PLATFORM_SITE_HOST,
      prefix: '/ask/',
      route_type: 'streaming',
      slo_ms: 600,
      timeout_ms: 20_000,
      priority: 1,
      service: 'assistant',
      max_attempts: 2,
      public: true,
      resumable: true,
      itl_target_ms: 300,
    },
  ],
  services: [
    {
      name: 'assistant',
      engine: {
        slots: 134,
        kv_token_bytes: 500_000,
        stride: 6,
        models: [{ load_s: 2 }],
        step_ms: 1.02,
        read_per_s: 164_000,
        usual: { prompt: 760, answer: 250 },
        layers: LAYERS,
        layer_mb: LAYER_MEGABYTES,
        activation_bytes: 16_384,
        pipe_mbps: 13_000,
        types: KINDS,
      },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

function pickKind(index: number): (typeof KINDS)[number] {
  if (index % LARGE_INTERVAL === 0) return KINDS[0];
  return index % 2 === 0 ? KINDS[1] : KINDS[2];
}

function pickZone(index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0];
}

/**
 * Creates the settings of a node as the platform writes them.
 *
 * @param index - number of the node, which determines its availability zone
 * @param addresses - addresses that the node listens on
 * @param site - address of the store, and addresses of seed nodes
 * @returns the settings, to be serialized as JSON
 * @example
 * createNodeSettings(0, addresses, { storeAddress, seeds: [] });
 */
export function createNodeSettings(
  index: number,
  { ip, callerPort, readinessPort, directoryPort, peerPort }: NodeAddresses,
  site: { readonly storeAddress: string; readonly seeds: readonly string[] },
): object {
  return {
    node_name: `node-${index}`,
    ip,
    zone: pickZone(index),
    region: 'region-1',
    seeds: site.seeds,
    internal_ports: [peerPort, peerPort],
    listen: {
      front: `${ip}:${callerPort}`,
      readiness: `${ip}:${readinessPort}`,
      directory: `${ip}:${directoryPort}`,
    },
    platform: { address: site.storeAddress },
  };
}

/**
 * Serves a site on loopback.
 *
 * @param options - number of endpoints, and of events in their answers
 * @returns the site
 * @example
 * const site = await servePlatformSite({ endpoints: 38, events: 42 });
 */
export async function servePlatformSite(options: ServePlatformSiteOptions): Promise<PlatformSite> {
  const { endpoints, events } = options;
  const store = await serveSiteStore(0);
  const started: SiteEndpoint[] = [];
  for (let index = 0; index < endpoints; index += 1) {
    const endpoint = await serveSiteEndpoint({
      id: `engine-${index}`,
      handle: (request, response) => {
        writeEvents(request, response, events);
        response.end();
      },
    });
    started.push(endpoint);
    registerEndpoint(store, endpoint, 'assistant', {
      zone: pickZone(index),
      slots: 134,
      route_type: pickKind(index).name,
    });
  }
  store.put('op/config', CONFIGURATION);
  return {
    storeAddress: store.address,
    close: async () => {
      await Promise.all([...started.map(({ crash }) => crash()), store.close()]);
    },
  };
}
