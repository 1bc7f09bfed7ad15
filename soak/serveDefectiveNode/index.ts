/**
 * Minimal proxy that replaces a node and breaks one promise. Tests use it to verify that the checks of a soak run
 * detect the violation.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import {
  createDefectiveFollower,
  type DefectiveFollower,
  type FollowerDefect,
} from '../createDefectiveFollower/index.js';
import { findVersionPath, MODEL_SERVICE, PLAIN_SERVICE } from '../createConfiguration/index.js';
import type { SoakEndpoint } from '../createSoakEndpoint/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';

/** Planted defect; `none` keeps all promises. */
export type Defect =
  | 'none'
  | 'swapsResponses'
  | 'dropsEvent'
  | 'duplicatesEvent'
  | 'mergesEvents'
  | 'endsEarly'
  | 'trustsConnectionEnd'
  | 'runsTwice'
  | 'refusesAfterRun'
  | 'neverResponds'
  | 'omitsLayers'
  | 'ignoresBackoff'
  | 'ignoresLeaving'
  | 'ignoresLimit'
  | 'retriesTooOften'
  | 'forwardsCrashing';

/** Options of {@link serveDefectiveNode}. */
export interface ServeDefectiveNodeOptions {
  readonly defect: Defect;
  /** Endpoint of look-ups and bookings, and endpoint of streams. */
  readonly plain: SoakEndpoint;
  readonly model: SoakEndpoint;
  readonly now: () => number;
  /** Store to follow, and defect of that; by default, the node uses its endpoints without asking a store. */
  readonly followed?: { readonly address: string; readonly defect: FollowerDefect };
}

/** Running defective node. */
export interface DefectiveNode {
  readonly address: string;
  readonly close: () => Promise<void>;
}

interface EndpointResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const SENDS_PER_REQUEST = 4;
const FAILED_STATUS = 502;
/** Path at which an endpoint names itself. */
const HEALTH_PATH = '/healthz';
const VERSION_PATH_PREFIX = '/version-';
const EVENT_SEPARATOR = '\n\n';

/** Changes that defects make to response bodies. */
const BODY_TRANSFORMS: Readonly<Partial<Record<Defect, (body: string) => string>>> = {
  swapsResponses: (body) => body.replace(/r(\d+)/g, 'r9$1'),
  dropsEvent: (body) => body.split(EVENT_SEPARATOR).toSpliced(1, 1).join(EVENT_SEPARATOR),
  duplicatesEvent: (body) => body.replace(/^(.*?\n\n)/s, '$1$1'),
  mergesEvents: (body) => body.replace(EVENT_SEPARATOR, '\n'),
  endsEarly: (body) =>
    body.split(EVENT_SEPARATOR).slice(0, 2).join(EVENT_SEPARATOR) + EVENT_SEPARATOR,
};

/** Returns whether a request uses a route that the followed configuration does not have. */
function hasNoRoute(path: string | undefined, follower: DefectiveFollower | undefined): boolean {
  if (!follower || path?.startsWith(VERSION_PATH_PREFIX) !== true) return false;
  return !path.startsWith(findVersionPath(follower.getVersion()));
}

/** Returns whether a response has neither a length nor chunks. */
function isUnframed({ headers }: Pick<EndpointResponse, 'headers'>): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Resolves to whether an endpoint answers a health request. */
async function isRunning(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = request({ host, port: Number(port), path: HEALTH_PATH, agent: false });
    outgoing.on('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    outgoing.on('error', () => {
      resolve(false);
    });
    outgoing.end();
  });
}

function send(address: string, incoming: IncomingMessage, path: string): Promise<EndpointResponse> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host,
        port: Number(port),
        path: incoming.url,
        method: incoming.method,
        agent: false,
        headers: {
          'Attempt-Id': incoming.headers['attempt-id'],
          'Hop-Count': path.replace('ENDPOINT', address),
          'Prompt-Prefix': incoming.headers['prompt-prefix'] ?? '',
        },
      },
      (incomingResponse) => {
        let body = '';
        incomingResponse.on('data', (chunk: Buffer) => (body += chunk.toString()));
        incomingResponse.on('error', () => {
          // The close event handles a response that breaks off.
        });
        incomingResponse.on('close', () => {
          const status = incomingResponse.complete
            ? (incomingResponse.statusCode ?? 0)
            : FAILED_STATUS;
          resolve({ status, headers: incomingResponse.headers, body });
        });
      },
    );
    outgoing.on('error', () => {
      resolve({ status: FAILED_STATUS, headers: {}, body: '' });
    });
    outgoing.end();
  });
}

/**
 * Starts a defective node on loopback.
 *
 * @param options - defect, endpoints and clock
 * @returns the running node
 * @example
 * const node = await serveDefectiveNode({ defect: 'runsTwice', plain, model, now });
 */
export async function serveDefectiveNode(
  options: ServeDefectiveNodeOptions,
): Promise<DefectiveNode> {
  const { defect, plain, model, now, followed } = options;
  const follower = followed && createDefectiveFollower(followed.address, followed.defect);
  const backoffUntil = new Map<SoakEndpoint, number>();
  const leaving = new Set<SoakEndpoint>();
  /** Time until which an endpoint with a rate limit gets nothing, in milliseconds. */
  const limitedUntil = new Map<SoakEndpoint, number>();
  let picks = 0;
  const path = defect === 'omitsLayers' ? 'ENDPOINT=0-3' : 'ENDPOINT=0-4';

  const isAvoided = (endpoint: SoakEndpoint): boolean =>
    follower?.isAvailable(endpoint.id) === false ||
    (defect !== 'ignoresBackoff' && (backoffUntil.get(endpoint) ?? 0) > now()) ||
    (defect !== 'ignoresLimit' && (limitedUntil.get(endpoint) ?? 0) > now()) ||
    (defect !== 'ignoresLeaving' && leaving.has(endpoint));
  /** Picks among the endpoint and the odd entries of its service, in turn. */
  const pickAddress = (endpoint: SoakEndpoint, service: string): string => {
    const addresses = [endpoint.link.address, ...(follower?.listOddAddresses(service) ?? [])];
    picks += 1;
    return addresses[picks % addresses.length] ?? endpoint.link.address;
  };
  const recordResponse = (endpoint: SoakEndpoint, { status, headers }: EndpointResponse): void => {
    const backoffMilliseconds = Number(headers['retry-after'] ?? 0) * 1_000;
    if (status === 503) backoffUntil.set(endpoint, now() + backoffMilliseconds);
    if (headers['server-leaving'] === '1') leaving.add(endpoint);
    const limit = Number(headers['server-limit'] ?? 0);
    if (limit > 0) limitedUntil.set(endpoint, now() + 1_000 / limit);
  };
  const countSends = (method: string | undefined): number => {
    if (defect === 'retriesTooOften') return SENDS_PER_REQUEST;
    return defect === 'runsTwice' && method === 'POST' ? 2 : 1;
  };
  const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (hasNoRoute(incoming.url, follower)) {
      response.writeHead(404).end();
      return;
    }
    const isStream = incoming.url?.startsWith('/ask/') === true;
    const endpoint = isStream ? model : plain;
    if (isAvoided(endpoint)) {
      response.writeHead(503, { 'Retry-After': '0.2' }).end();
      return;
    }
    const responses: EndpointResponse[] = [];
    const address = pickAddress(endpoint, isStream ? MODEL_SERVICE : PLAIN_SERVICE);
    for (let sent = 0; sent < countSends(incoming.method); sent += 1) {
      responses.push(await send(address, incoming, isStream ? path : ''));
    }
    const [endpointResponse] = responses;
    if (!endpointResponse || defect === 'neverResponds') return;
    recordResponse(endpoint, endpointResponse);
    const needsProof = defect !== 'trustsConnectionEnd' && isUnframed(endpointResponse);
    if (needsProof && !(await isRunning(address))) {
      response.writeHead(FAILED_STATUS).end();
      return;
    }
    if (defect === 'refusesAfterRun') {
      response.writeHead(503).end();
      return;
    }
    const { 'served-by': servedBy = '', 'server-leaving': serverLeaving = '0' } =
      endpointResponse.headers;
    response.writeHead(endpointResponse.status, {
      'Served-By': servedBy,
      'Server-Leaving': serverLeaving,
    });
    response.end(BODY_TRANSFORMS[defect]?.(endpointResponse.body) ?? endpointResponse.body);
  };
  const server = createServer((incoming, response) => {
    incoming.resume();
    void serve(incoming, response);
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    close: async () => {
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      });
      await follower?.close();
    },
  };
}
