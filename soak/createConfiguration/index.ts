/**
 * Configurations of a soak run. Each version has a route of its own, so that callers can observe which version a
 * node has applied.
 */

/** Host and API key of the callers' requests. */
export const SOAK_HOST = 'soak.example';
export const SOAK_API_KEY = 'soak-key';
/** Service of look-ups and bookings, and service of streams. */
export const PLAIN_SERVICE = 'records';
export const MODEL_SERVICE = 'assistant';
/** Name of the only accelerator type of the run. */
export const ACCELERATOR_KIND = 'middle';
/** Number of layers of the model. */
export const LAYERS = 4;

const ENGINE = {
  slots: 64,
  kv_token_bytes: 100,
  stride: 4,
  models: [{ load_s: 0.1 }],
  step_ms: 1,
  read_per_s: 100_000,
  usual: { prompt: 20, answer: 10 },
  layers: LAYERS,
  layer_mb: 300,
  activation_bytes: 100,
  pipe_mbps: 10_000,
  types: [{ name: ACCELERATOR_KIND, size_mb: 1_000, pace: 1, read_factor: 1 }],
};

/**
 * Returns the path whose route exists in only one version of the configuration.
 *
 * @param version - number of the version
 * @returns the URL path
 * @example
 * findVersionPath(7); // '/version-7/one'
 */
export function findVersionPath(version: number): string {
  return `/version-${version}/one`;
}

/**
 * Creates a configuration in the format that operators write.
 *
 * @param version - number of the version
 * @param timeoutMilliseconds - time limit of a request, in milliseconds
 * @returns the configuration, which can be serialized as JSON
 * @example
 * store.put('op/config', createConfiguration(1, 4_000));
 */
export function createConfiguration(version: number, timeoutMilliseconds: number): object {
  const common = { host: SOAK_HOST, slo_ms: 500, priority: 1, public: false };
  const plain = { ...common, timeout_ms: timeoutMilliseconds, service: PLAIN_SERVICE };
  return {
    version,
    routes: [
      { ...plain, name: 'look', prefix: '/look/', route_type: 'safe', max_attempts: 2 },
      { ...plain, name: 'book', prefix: '/book/', route_type: 'unsafe', max_attempts: 1 },
      {
        ...plain,
        name: 'version',
        prefix: `/version-${version}/`,
        route_type: 'safe',
        max_attempts: 2,
      },
      {
        ...common,
        name: 'ask',
        prefix: '/ask/',
        route_type: 'streaming',
        timeout_ms: timeoutMilliseconds,
        service: MODEL_SERVICE,
        max_attempts: 3,
        resumable: true,
        itl_target_ms: 250,
      },
    ],
    services: [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine: ENGINE }],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 2_048,
      header_timeout_ms: 1_000,
      idle_timeout_ms: 5_000,
    },
    tenants: [{ name: 'soak', api_keys: [SOAK_API_KEY] }],
  };
}
