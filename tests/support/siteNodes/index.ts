/**
 * Starts complete nodes of a site on loopback, with stand-ins for the store and the endpoints.
 */
import { request, type IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import { Writable } from 'node:stream';
import {
  createAddressHandler,
  isReadinessPath,
} from '../../../platform/createAddressHandler/index.js';
import { createPlatformStore } from '../../../platform/createPlatformStore/index.js';
import { createSiteProtocol } from '../../../platform/createSiteProtocol/index.js';
import { decodeConfiguration } from '../../../platform/decodeConfiguration/index.js';
import { decodeEndpoint } from '../../../platform/decodeEndpoint/index.js';
import {
  startSiteNode,
  type SiteNode,
  type StartSiteNodeOptions,
} from '../../../src/process/site/startSiteNode/index.js';
import { serveSiteStore, type SiteStore } from '../../../standins/serveSiteStore/index.js';
import { listenOnLoopback } from '../../../standins/listenOnLoopback/index.js';
import {
  createEndpointHeaders,
  writeEvents,
  type EndpointHandler,
} from '../../../standins/serveSiteEndpoint/index.js';

export { registerEndpoint } from '../../../standins/registerEndpoint/index.js';

/** Running node with the addresses that tests send requests to. */
export interface TestNode {
  readonly name: string;
  readonly callers: string;
  readonly readiness: string;
  readonly directory: string;
  /** Address for other nodes. */
  readonly peers: string;
  readonly logs: string[];
  readonly node: SiteNode;
}

/** Response as a caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the body ended as its HTTP framing announced. */
  readonly isComplete: boolean;
}

/** Request of a caller. */
export interface CallerRequest {
  readonly address: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Called when the response begins. */
  readonly onStart?: (incoming: IncomingMessage) => void;
  /**
   * Called with the body received so far after each chunk; may close the connection with `hangUp`.
   */
  readonly onData?: ((text: string, hangUp: () => void) => void) | undefined;
}

export const MODEL_SERVICE = 'assistant';
export const PLAIN_SERVICE = 'booking';
export const KEY = 'key-1';

const LAYERS = 4;
export const ENGINE = {
  slots: 8,
  kv_token_bytes: 1_000,
  stride: 4,
  models: [{ load_s: 0.1 }],
  step_ms: 1,
  read_per_s: 100_000,
  usual: { prompt: 100, answer: 40 },
  layers: LAYERS,
  layer_mb: 100,
  activation_bytes: 100,
  pipe_mbps: 10_000,
  types: [{ name: 'large', size_mb: 1_000, pace: 1, read_factor: 1 }],
};

/** Returns a configuration in the platform's format, as operators write it. */
export function createPlatformConfiguration(version: number, changes: object = {}): object {
  const common = { host: 'desk.example', slo_ms: 300, priority: 1, public: false };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'look',
        prefix: '/look/',
        route_type: 'safe',
        timeout_ms: 900,
        service: PLAIN_SERVICE,
        max_attempts: 2,
      },
      {
        ...common,
        name: 'book',
        prefix: '/book/',
        route_type: 'unsafe',
        timeout_ms: 900,
        service: PLAIN_SERVICE,
        max_attempts: 1,
      },
      {
        ...common,
        name: 'ask',
        prefix: '/ask/',
        route_type: 'streaming',
        timeout_ms: 8_000,
        service: MODEL_SERVICE,
        max_attempts: 2,
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
    tenants: [{ name: 'kiosk', api_keys: [KEY] }],
    ...changes,
  };
}

/**
 * Loopback address of this process: no other test process listens on it, so a port that was found
 * free here stays free until it is used. Only Linux accepts all of 127/8 without configuration.
 */
const LOOPBACK =
  process.platform === 'linux'
    ? `127.${1 + ((process.pid >> 16) & 0x7f)}.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`
    : '127.0.0.1';

async function findFreeAddress(): Promise<string> {
  const server = createServer();
  const address = await listenOnLoopback(server, { host: LOOPBACK });
  await new Promise((resolve) => server.close(resolve));
  return address;
}

/** Starts a stand-in of the store for nodes. */
export function startStore(): Promise<SiteStore> {
  return serveSiteStore(0);
}

/** Starts a node that watches a store. */
export async function startNode(
  name: string,
  store: SiteStore,
  changes: Partial<
    Pick<StartSiteNodeOptions, 'graceMilliseconds' | 'endpointPort' | 'node' | 'callerLimits'>
  > = {},
): Promise<TestNode> {
  const [callers, readiness, directory, peers] = await Promise.all(
    Array.from({ length: 4 }, findFreeAddress),
  );
  if (!callers || !readiness || !directory || !peers)
    throw new Error('no free loopback port found for the node');
  const logs: string[] = [];
  const logStream = new Writable({
    write: (chunk: Buffer, _, done) => {
      logs.push(chunk.toString());
      done();
    },
  });
  const node = await startSiteNode({
    node: { name, availabilityZone: 'mission', callerAddress: callers, peerAddress: peers },
    readinessAddress: readiness,
    directoryAddress: directory,
    seeds: [],
    store: createPlatformStore(store.address),
    protocol: createSiteProtocol(),
    decoders: { decodeConfiguration, decodeEndpoint },
    keys: { configuration: 'op/config', endpointPrefix: 'servers/' },
    queries: { createAddressHandler, isReadinessPath },
    graceMilliseconds: 1_500,
    retries: { ratio: 0.2, slack: 100, windowMilliseconds: 10_000 },
    logStream,
    ...changes,
  });
  return { name, callers, readiness, directory, peers, logs, node };
}

/** Sends a request with the headers of a caller. */
export function sendCallerRequest(options: CallerRequest): Promise<CallerResponse> {
  const { address, path, method = 'GET', headers = {}, body, onStart, onData } = options;
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host,
      port: Number(port),
      path,
      method,
      agent: false,
      headers: {
        Host: 'desk.example',
        'Attempt-Id': 'attempt-1',
        'Deadline-Ms': '5000',
        Credential: KEY,
        ...headers,
      },
    });
    outgoing.on('error', reject);
    outgoing.on('response', (incoming) => {
      let text = '';
      // Adding a data listener starts the flow of the body, so a pause must follow it.
      setImmediate(() => onStart?.(incoming));
      incoming.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        onData?.(text, () => outgoing.destroy());
      });
      const finish = (): void => {
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: text,
          isComplete: incoming.complete,
        });
      };
      incoming.on('end', finish);
      incoming.on('error', finish);
    });
    outgoing.end(body);
  });
}

/** Waits until a condition holds; throws after ten seconds. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + 10_000;
  while (performance.now() < until) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error(`condition not met within 10 s: ${what}`);
}

/** Waits until a node reports that it is ready. */
export function waitUntilReady(node: TestNode): Promise<void> {
  return waitFor(`${node.name} is ready`, async () => {
    const { status } = await sendCallerRequest({ address: node.readiness, path: '/readyz' });
    return status === 200;
  });
}

/** Responds as a healthy endpoint without a model; the body contains the endpoint's id. */
export const respondCompletely: EndpointHandler = (request, response, endpoint) => {
  response.writeHead(200, createEndpointHeaders(request));
  response.end(`done by ${endpoint.id}`);
};

/** Number of events in a stream of {@link streamCompletely}. */
export const STREAM_EVENT_COUNT = 5;

/** Body that callers receive of a stream of {@link streamCompletely}. */
export const COMPLETE_STREAM = Array.from(
  { length: STREAM_EVENT_COUNT },
  (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
).join('');

/** Responds with a complete stream, as a healthy endpoint with a model. */
export const streamCompletely: EndpointHandler = (request, response) => {
  writeEvents(request, response, STREAM_EVENT_COUNT);
  response.end();
};
