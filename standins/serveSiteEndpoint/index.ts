/**
 * Stand-in of a site's endpoint: responds with events or a complete body, and can be set to misbehave.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { readText } from '../listenStandin/index.js';
import { listenOnLoopback } from '../listenOnLoopback/index.js';

/** Request that the endpoint received. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the connection was closed before the response was complete. */
  wasAborted: boolean;
}

/** Handles a request to the endpoint. */
export type EndpointHandler = (
  request: ReceivedRequest,
  response: ServerResponse,
  endpoint: SiteEndpoint,
) => void;

/** Options of {@link serveSiteEndpoint}. */
export interface ServeSiteEndpointOptions {
  readonly id: string;
  readonly handle: EndpointHandler;
  /** Called when the endpoint has carried out an order to load layers. */
  readonly onLayersChanged?: () => void;
  /** Unix time of its start as it reports it, in milliseconds; that of registerEndpoint by default. */
  readonly startedAt?: number;
  /** Port on loopback; a free one by default. */
  readonly port?: number;
}

/** Running endpoint. */
export interface SiteEndpoint {
  readonly id: string;
  readonly address: string;
  readonly received: ReceivedRequest[];
  /** Number of connections that it accepted. */
  connections: number;
  /** Number of health requests that it received. */
  healthRequests: number;
  /** Orders that it received. */
  readonly orders: unknown[];
  layers: { from: number; to: number } | undefined;
  handle: EndpointHandler;
  /** Handles requests instead, before their body has been read, if it is set. */
  handleBeforeBody: EndpointHandler | undefined;
  /** Addresses of unresponsive endpoints that its requests wait for, as it reports them. */
  stalledAddresses: string[];
  /** Whether it responds with 404, as for an unknown request, to orders to migrate a request. */
  refusesMoves: boolean;
  /** Factor on its normal step time, as it reports it; 1 is normal. */
  slowdown: number;
  /** Whether it accepts orders without carrying them out. */
  ignoresOrders: boolean;
  /** Whether its reports state that it is leaving. */
  isLeaving: boolean;
  /** Rate limit that all its responses announce, in requests per second; undefined when they announce none. */
  requestsPerSecond: number | undefined;
  /** Time before it responds with its report, in milliseconds. */
  reportDelayMilliseconds: number;
  /** Closes every connection and stops listening, as a crash does. */
  readonly crash: () => Promise<void>;
}

/** Start of an endpoint whose options state none, in milliseconds. */
const DEFAULT_STARTED_AT = 1_000;
const HEALTH_PATH = '/healthz';
/** Paths that the endpoint itself answers, whatever handles its requests. */
const OWN_PATHS: ReadonlySet<string | undefined> = new Set(['/report', HEALTH_PATH]);

interface Order {
  readonly op: string;
  readonly from: number;
  readonly to: number;
}

/** Returns the headers that a healthy endpoint sends with every response. */
export function createEndpointHeaders(request: ReceivedRequest): Record<string, string> {
  const attempt = request.headers['attempt-id'];
  return {
    'Server-Seal': 'sealed',
    'Attempt-Id': typeof attempt === 'string' ? attempt : '',
    'Server-Load': '1,0,6',
  };
}

/**
 * Writes a stream of events as a healthy endpoint does.
 *
 * @param request - the request; the stream starts after the event in its `Last-Event-Id` header
 * @param response - the response
 * @param last - number of the last event to write
 * @returns nothing
 * @example
 * writeEvents(request, response, 3);
 */
export function writeEvents(
  request: ReceivedRequest,
  response: ServerResponse,
  last: number,
): void {
  const received = Number(request.headers['last-event-id'] ?? 0);
  response.writeHead(200, {
    ...createEndpointHeaders(request),
    'Content-Type': 'text/event-stream',
  });
  for (let id = received + 1; id <= last; id += 1) response.write(`id: ${id}\ndata: t${id}\n\n`);
}

/**
 * Serves an endpoint on loopback.
 *
 * @param options - identifier, and handler of requests
 * @returns the endpoint
 * @example
 * const endpoint = await serveSiteEndpoint(options);
 */
export async function serveSiteEndpoint(options: ServeSiteEndpointOptions): Promise<SiteEndpoint> {
  const respondJson = (response: ServerResponse, status: number, value: unknown): void => {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  const applyOrder = (text: string, response: ServerResponse): void => {
    const order = JSON.parse(text) as Order;
    endpoint.orders.push(order);
    if (order.op === 'place' && !endpoint.ignoresOrders) {
      endpoint.layers = { from: order.from, to: order.to };
      options.onLayersChanged?.();
    }
    const isRefused = order.op === 'repath' && endpoint.refusesMoves;
    respondJson(response, isRefused ? 404 : 202, {});
  };
  const sendReport = (response: ServerResponse): void => {
    if (endpoint.isLeaving) response.setHeader('Server-Leaving', '1');
    respondJson(response, 200, {
      sequence: endpoint.orders.length,
      busy: false,
      layers: endpoint.layers && { ...endpoint.layers, version: 1 },
      born: options.startedAt ?? DEFAULT_STARTED_AT,
      pace: endpoint.slowdown,
      stalled: endpoint.stalledAddresses.map((address) => ({ id: 'any', address })),
    });
  };
  const sendHealth = ({ headers }: IncomingMessage, response: ServerResponse): void => {
    endpoint.healthRequests += 1;
    const expected = headers['expect-instance'];
    response.setHeader('Instance-Id', endpoint.id);
    respondJson(response, expected === undefined || expected === endpoint.id ? 200 : 421, {});
  };
  const handleRequest = (
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void => {
    const request: ReceivedRequest = {
      method: incoming.method ?? '',
      url: incoming.url ?? '',
      headers: incoming.headers,
      body,
      wasAborted: false,
    };
    endpoint.received.push(request);
    response.on('close', () => {
      request.wasAborted = !response.writableFinished;
    });
    endpoint.handle(request, response, endpoint);
  };
  const server = createServer((incoming, response) => {
    if (endpoint.requestsPerSecond !== undefined)
      response.setHeader('Server-Limit', String(endpoint.requestsPerSecond));
    if (endpoint.handleBeforeBody && !OWN_PATHS.has(incoming.url)) {
      const { method = '', url = '', headers } = incoming;
      const request: ReceivedRequest = { method, url, headers, body: '', wasAborted: false };
      endpoint.handleBeforeBody(request, response, endpoint);
      return;
    }
    readText(incoming, (body) => {
      if (incoming.url === '/report') {
        const respond = (): void => {
          sendReport(response);
        };
        if (endpoint.reportDelayMilliseconds === 0) respond();
        else setTimeout(respond, endpoint.reportDelayMilliseconds);
      } else if (incoming.url === HEALTH_PATH) sendHealth(incoming, response);
      else if (incoming.url === '/order') applyOrder(body, response);
      else handleRequest(incoming, response, body);
    });
  });
  server.on('connection', () => {
    endpoint.connections += 1;
  });
  const address = await listenOnLoopback(server, { port: options.port ?? 0 });
  const endpoint: SiteEndpoint = {
    id: options.id,
    address,
    received: [],
    connections: 0,
    healthRequests: 0,
    orders: [],
    layers: undefined,
    handle: options.handle,
    handleBeforeBody: undefined,
    stalledAddresses: [],
    refusesMoves: false,
    slowdown: 1,
    ignoresOrders: false,
    isLeaving: false,
    requestsPerSecond: undefined,
    reportDelayMilliseconds: 0,
    crash: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
  return endpoint;
}
