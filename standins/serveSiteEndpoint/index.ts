/**
 * Stand-in of a site's endpoint: answers with events or a whole body, and misbehaves when told to.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { readText } from '../listenStandin/index.js';
import { listenOnLoopback } from '../listenOnLoopback/index.js';

/** One request that reached the endpoint. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the connection was closed before the answer was whole. */
  wasCut: boolean;
}

/** What the endpoint does with a request. */
export type Behaviour = (
  request: ReceivedRequest,
  response: ServerResponse,
  endpoint: SiteEndpoint,
) => void;

/** Options of {@link serveSiteEndpoint}. */
export interface ServeSiteEndpointOptions {
  readonly id: string;
  readonly behave: Behaviour;
  /** Called when it has carried out an order to hold other layers. */
  readonly onPlaced?: () => void;
}

/** An endpoint that listens. */
export interface SiteEndpoint {
  readonly id: string;
  readonly address: string;
  readonly received: ReceivedRequest[];
  /** Orders that it accepted. */
  readonly orders: unknown[];
  layers: { from: number; to: number } | undefined;
  behave: Behaviour;
  /** Answers before the body has been read, if it is set. */
  behaveEarly: Behaviour | undefined;
  /** Addresses for which its requests wait in vain. */
  stalled: string[];
  /** Whether it answers that it has no such request when one is to be moved. */
  refusesMoves: boolean;
  /** Factor on its time that it reports; 1 is usual. */
  pace: number;
  /** Whether it accepts orders without carrying them out. */
  ignoresOrders: boolean;
  /** Whether it says in its reports that it is leaving. */
  isLeaving: boolean;
  /** Cuts every connection and stops listening, as a crash would. */
  readonly crash: () => Promise<void>;
}

interface Order {
  readonly op: string;
  readonly from: number;
  readonly to: number;
}

/** Headers that a sound endpoint sends with every answer. */
export function createSeal(request: ReceivedRequest): Record<string, string> {
  const attempt = request.headers['attempt-id'];
  return {
    'Server-Seal': 'sealed',
    'Attempt-Id': typeof attempt === 'string' ? attempt : '',
    'Server-Load': '1,0,6',
  };
}

/**
 * Writes events as a sound endpoint does.
 *
 * @param request - the request, whose last event says where to begin
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
  const begun = Number(request.headers['last-event-id'] ?? 0);
  response.writeHead(200, { ...createSeal(request), 'Content-Type': 'text/event-stream' });
  for (let id = begun + 1; id <= last; id += 1) response.write(`id: ${id}\ndata: t${id}\n\n`);
}

/**
 * Serves an endpoint on loopback.
 *
 * @param options - its identifier and what it does with requests
 * @returns the endpoint
 * @example
 * const endpoint = await serveSiteEndpoint({ id: 'i-1', behave });
 */
export async function serveSiteEndpoint(options: ServeSiteEndpointOptions): Promise<SiteEndpoint> {
  const reply = (response: ServerResponse, status: number, value: unknown): void => {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  const takeOrder = (text: string, response: ServerResponse): void => {
    const order = JSON.parse(text) as Order;
    endpoint.orders.push(order);
    if (order.op === 'place' && !endpoint.ignoresOrders) {
      endpoint.layers = { from: order.from, to: order.to };
      options.onPlaced?.();
    }
    const isRefused = order.op === 'repath' && endpoint.refusesMoves;
    reply(response, isRefused ? 404 : 202, {});
  };
  const report = (response: ServerResponse): void => {
    if (endpoint.isLeaving) response.setHeader('Server-Leaving', '1');
    reply(response, 200, {
      sequence: endpoint.orders.length,
      busy: false,
      layers: endpoint.layers && { ...endpoint.layers, version: 1 },
      pace: endpoint.pace,
      stalled: endpoint.stalled.map((address) => ({ id: 'any', address })),
    });
  };
  const takeRequest = (incoming: IncomingMessage, response: ServerResponse, body: string): void => {
    const request: ReceivedRequest = {
      method: incoming.method ?? '',
      url: incoming.url ?? '',
      headers: incoming.headers,
      body,
      wasCut: false,
    };
    endpoint.received.push(request);
    response.on('close', () => {
      request.wasCut = !response.writableFinished;
    });
    endpoint.behave(request, response, endpoint);
  };
  const server = createServer((incoming, response) => {
    if (endpoint.behaveEarly && incoming.url !== '/report') {
      const { method = '', url = '', headers } = incoming;
      const request = { method, url, headers, body: '', wasCut: false };
      endpoint.behaveEarly(request, response, endpoint);
      return;
    }
    readText(incoming, (body) => {
      if (incoming.url === '/report') report(response);
      else if (incoming.url === '/order') takeOrder(body, response);
      else takeRequest(incoming, response, body);
    });
  });
  const address = await listenOnLoopback(server);
  const endpoint: SiteEndpoint = {
    id: options.id,
    address,
    received: [],
    orders: [],
    layers: undefined,
    behave: options.behave,
    behaveEarly: undefined,
    stalled: [],
    refusesMoves: false,
    pace: 1,
    ignoresOrders: false,
    isLeaving: false,
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
