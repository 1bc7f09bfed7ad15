/**
 * Endpoint of a soak run. It can be switched to failure modes and records the requests that it receives.
 */
import type { ServerResponse } from 'node:http';
import { sleep } from '../../bench/sleep/index.js';
import { registerEndpoint } from '../../standins/registerEndpoint/index.js';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import { createProxy, type LinkProxy } from '../createProxy/index.js';
import { formatResponse, formatEvent } from '../readEvents/index.js';
import {
  findRequestKind,
  readHeader,
  isCrashingPart,
  readParts,
  readRequestId,
  readPath,
  type Hop,
} from '../readEndpointRequest/index.js';
import type { RequestKind, SoakRecord } from '../types/index.js';

/** How an endpoint handles its requests. */
export type EndpointMode =
  | 'healthy'
  /** Sends its events slowly, but all of them. */
  | 'slow'
  /** Sends nothing after the first events, or a single byte at intervals. */
  | 'stalled'
  /** Sends a response without an end. */
  | 'endless'
  /** Closes the connection in the middle of a response. */
  | 'breaksOff'
  /** Refuses requests and requests a backoff. */
  | 'resting'
  /** Refuses requests without a backoff time. */
  | 'full'
  /** Responds, and announces its shutdown in the response. */
  | 'leaving'
  /** Serves as usual; only its registration announces its shutdown. */
  | 'draining'
  /** Responds, and announces a rate limit in its responses. */
  | 'limited'
  /** Sends each response a second time. */
  | 'twice';

/** Options of {@link createSoakEndpoint}. */
export interface CreateSoakEndpointOptions {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** Name of its accelerator type; undefined for an endpoint without a model. */
  readonly acceleratorKind: string | undefined;
  /** Number of events of each stream. */
  readonly events: number;
  readonly store: SiteStore;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Returns whether a running endpoint listens on an address. */
  readonly isServing: (address: string) => boolean;
  /** Crashes the endpoint for a time; returns false when another fault prevents that now. */
  readonly crashForTime?: (id: string) => boolean;
}

/** An endpoint of a soak run. */
export interface SoakEndpoint {
  readonly id: string;
  readonly link: LinkProxy;
  /** Uses the link of another endpoint from the next start on. */
  readonly useLink: (link: LinkProxy) => SoakEndpoint;
  readonly isServing: () => boolean;
  readonly setMode: (mode: EndpointMode) => void;
  /** Sets whether its next sound responses have neither a length nor chunks. */
  readonly setUnframed: (isUnframed: boolean) => void;
  /** Ends the endpoint immediately; its entry stays in the registry until it is unregistered. */
  readonly crash: () => Promise<void>;
  readonly start: () => Promise<void>;
  readonly register: () => void;
  readonly unregister: () => void;
  /** Records that the store has accepted a registration that announces the shutdown, or the removal. */
  readonly recordDeparture: () => void;
  /** Writes its registration again after the store was restored; a registration that it ended lapses. */
  readonly repeatRegistration: (delayMilliseconds: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

interface RequestContext {
  readonly request: ReceivedRequest;
  readonly response: ServerResponse;
  readonly server: SiteEndpoint;
  readonly requestId: string;
  readonly attempt: string;
  readonly kind: RequestKind;
}

const SLOTS = 64;
/** Time after which the store removes an entry that its endpoint no longer writes. */
const LAPSE_MILLISECONDS = 1_500;
const START_NUMBER_OFFSET = 1_000;
const EVENT_MILLISECONDS = 40;
const SLOW_EVENT_MILLISECONDS = 220;
const FAILURE_STEP_MILLISECONDS = 100;
const HOP_CHECK_MILLISECONDS = 50;
const BACKOFF_SECONDS = 2;
/** Rate limit that an endpoint announces, in requests per second. */
const LIMIT_PER_SECOND = 0.5;
/** Number of events of a stream, or bytes of a buffered response, that are sent before the injected failure. */
const LAST_INTACT_EVENT = 3;
const ENDLESS_CHUNK = 'x'.repeat(16_384);
/** Maximum size of an endless response, so that a reader without a limit does not exhaust memory. */
const MAXIMUM_ENDLESS_BYTES = 67_108_864;
const REFUSING_MODES: ReadonlySet<EndpointMode> = new Set(['resting', 'full']);
const DRAINING_MODES: ReadonlySet<EndpointMode> = new Set(['leaving', 'draining']);

/** Returns the path of a request, taken from the last order that moved it if there was one. */
function findCurrentPath({ request, server, attempt }: RequestContext): Hop[] {
  const orders = server.orders as { op: string; id?: string; path?: string }[];
  const move = orders.findLast(({ op, id }) => op === 'repath' && id === attempt);
  return readPath(move?.path ?? readHeader(request, 'hop-count'));
}

/** Splits a body into pieces, between which the endpoint may end. */
function splitBody(body: string): string[] {
  const middle = Math.ceil(body.length / 2);
  return [body.slice(0, middle), body.slice(middle)];
}

function writeEndlessly(response: ServerResponse): void {
  let written = 0;
  const writeUntilFull = (): void => {
    while (!response.destroyed && written < MAXIMUM_ENDLESS_BYTES) {
      written += ENDLESS_CHUNK.length;
      if (!response.write(ENDLESS_CHUNK)) return;
    }
  };
  response.on('drain', writeUntilFull);
  writeUntilFull();
}

/** Sends the response again on the same connection after the response has ended. */
function sendDuplicate({ request, response, requestId }: RequestContext): void {
  const { socket } = response;
  const body = formatResponse(requestId);
  const seal = Object.entries(createEndpointHeaders(request)).map(
    ([key, value]) => `${key}: ${value}\r\n`,
  );
  const head = `HTTP/1.1 200 OK\r\n${seal.join('')}Content-Length: ${body.length}\r\n\r\n`;
  response.once('finish', () => {
    if (socket?.writable) socket.write(`${head}${body}`);
  });
}

/**
 * Creates an endpoint without starting it.
 *
 * @param options - id and service of the endpoint, the registry, and the record
 * @returns the endpoint
 * @example
 * const endpoint = await createSoakEndpoint(options);
 * await endpoint.start();
 */
export async function createSoakEndpoint(
  options: CreateSoakEndpointOptions,
): Promise<SoakEndpoint> {
  const { id, service, events, store, record, now, isServing } = options;
  const ownLink = await createProxy(undefined);
  let link = ownLink;
  let mode: EndpointMode = 'healthy';
  let isUnframed = false;
  let birth = 0;
  /** Whether the endpoint's last own write was a registration. */
  let isRegistered = false;
  let currentServer: SiteEndpoint | undefined;

  const recordSend = (
    { request, requestId, attempt, kind }: RequestContext,
    hasRun: boolean,
  ): void => {
    const path = readPath(readHeader(request, 'hop-count'));
    record.sends.push({
      request: requestId,
      attempt,
      kind,
      endpoint: id,
      birth,
      at: now(),
      hasRun,
      path: path.length > 0 ? path : undefined,
      parts: readParts(request),
    });
  };
  const refuse = (
    context: RequestContext,
    status: number,
    headers: Record<string, string>,
  ): void => {
    const { request, response } = context;
    response.writeHead(status, {
      ...createEndpointHeaders(request),
      'Not-Executed': '1',
      ...headers,
    });
    response.end('refused');
  };
  /** Waits until all endpoints of the path are running, and reports the missing ones meanwhile. */
  const waitForPath = async (context: RequestContext): Promise<void> => {
    const { server, response } = context;
    const findMissing = (): string[] =>
      findCurrentPath(context)
        .map(({ address }) => address)
        .filter((address) => address !== link.address && !isServing(address));
    while (!response.destroyed && findMissing().length > 0) {
      server.stalledAddresses = findMissing();
      await sleep(HOP_CHECK_MILLISECONDS);
    }
    server.stalledAddresses = [];
  };
  const startResponse = (
    { request, response }: RequestContext,
    headers: Record<string, string>,
  ): void => {
    const leaving = mode === 'leaving' ? { 'Server-Leaving': '1' } : {};
    response.writeHead(200, {
      ...createEndpointHeaders(request),
      'Served-By': id,
      ...leaving,
      ...headers,
    });
  };
  const failureHandlers: Readonly<
    Partial<Record<EndpointMode, (context: RequestContext) => void>>
  > = {
    endless: ({ response }) => {
      response.write('id: 4\ndata: ');
      writeEndlessly(response);
    },
    breaksOff: ({ response }) => {
      response.write('id: 4\nda');
      setTimeout(() => response.destroy(), FAILURE_STEP_MILLISECONDS);
    },
    stalled: ({ response }) => {
      response.write('id: 4\ndata: ');
      const timer = setInterval(() => response.write('x'), FAILURE_STEP_MILLISECONDS);
      response.on('close', () => {
        clearInterval(timer);
      });
    },
  };
  /** Sends pieces without framing; records the response when its connection ends before the last one. */
  const sendUnframed = async (
    context: RequestContext,
    type: string,
    pieces: readonly string[],
  ): Promise<void> => {
    const { request, response, requestId } = context;
    const { socket } = response;
    if (!socket) return;
    const headers = { ...createEndpointHeaders(request), 'Served-By': id, 'Content-Type': type };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${lines.join('')}\r\n`);
    for (const piece of pieces) {
      await waitForPath(context);
      if (socket.destroyed) {
        record.unfinished.push({ request: requestId, endpoint: id, at: now() });
        return;
      }
      socket.write(piece);
      await sleep(EVENT_MILLISECONDS);
    }
    socket.end();
  };
  /** Crashes the endpoint as it begins to answer a request with a crashing part. */
  const crashOnPart = async ({ response }: RequestContext, part: string): Promise<void> => {
    await sleep(EVENT_MILLISECONDS);
    while (!response.destroyed) {
      if (options.crashForTime?.(id)) {
        record.crashes.push({ part, endpoint: id, at: now() });
        return;
      }
      await sleep(EVENT_MILLISECONDS);
    }
  };
  const respondStreamed = async (context: RequestContext): Promise<void> => {
    const { request, response, requestId } = context;
    const previousEvent = Number(readHeader(request, 'last-event-id') || 0);
    const initialMode = mode;
    if (initialMode === 'twice') sendDuplicate(context);
    await waitForPath(context);
    const crashingPart = readParts(request).find(isCrashingPart);
    if (crashingPart !== undefined) {
      await crashOnPart(context, crashingPart);
      return;
    }
    if (isUnframed && initialMode === 'healthy') {
      const numbers = Array.from({ length: events - previousEvent }, (_, index) => index + 1);
      const pieces = numbers.map((number) => formatEvent(requestId, previousEvent + number));
      await sendUnframed(context, 'text/event-stream', pieces);
      return;
    }
    startResponse(context, { 'Content-Type': 'text/event-stream' });
    for (let number = previousEvent + 1; number <= events; number += 1) {
      const fail =
        number > previousEvent + LAST_INTACT_EVENT ? failureHandlers[initialMode] : undefined;
      if (fail) {
        fail(context);
        return;
      }
      await waitForPath(context);
      if (response.destroyed) return;
      response.write(formatEvent(requestId, number));
      await sleep(initialMode === 'slow' ? SLOW_EVENT_MILLISECONDS : EVENT_MILLISECONDS);
    }
    response.end();
  };
  const respondBuffered = async (context: RequestContext): Promise<void> => {
    const { response, requestId } = context;
    const body = formatResponse(requestId);
    const initialMode = mode;
    await sleep(initialMode === 'slow' ? SLOW_EVENT_MILLISECONDS : EVENT_MILLISECONDS);
    if (initialMode === 'stalled' || response.destroyed) return;
    if (initialMode === 'twice') sendDuplicate(context);
    if (isUnframed && initialMode === 'healthy') {
      await sendUnframed(context, 'text/plain', splitBody(body));
      return;
    }
    if (initialMode === 'endless') {
      startResponse(context, {});
      writeEndlessly(response);
      return;
    }
    startResponse(context, { 'Content-Length': String(body.length) });
    if (initialMode !== 'breaksOff') {
      response.end(body);
      return;
    }
    response.write(body.slice(0, LAST_INTACT_EVENT));
    setTimeout(() => response.destroy(), FAILURE_STEP_MILLISECONDS);
  };
  const refuseRequest = (context: RequestContext): void => {
    recordSend(context, false);
    if (mode === 'full') {
      refuse(context, 503, {});
      return;
    }
    const { attempt } = context;
    record.rests.push({
      endpoint: id,
      birth,
      attempt,
      at: now(),
      milliseconds: BACKOFF_SECONDS * 1_000,
    });
    refuse(context, 503, { 'Retry-After': String(BACKOFF_SECONDS) });
  };
  const handleRequest = (context: RequestContext): void => {
    const expected = readHeader(context.request, 'expect-instance');
    if (expected !== '' && expected !== id) {
      refuse(context, 421, {});
      return;
    }
    if (REFUSING_MODES.has(mode)) {
      refuseRequest(context);
      return;
    }
    recordSend(context, true);
    void (context.kind === 'stream' ? respondStreamed(context) : respondBuffered(context));
  };
  const register = (): void => {
    isRegistered = true;
    registerEndpoint(store, { id, address: link.address }, service, {
      zone: options.availabilityZone,
      slots: SLOTS,
      state: DRAINING_MODES.has(mode) ? 'draining' : 'ready',
      sequence: currentServer?.orders.length ?? 0,
      born: START_NUMBER_OFFSET + birth,
      route_type: options.acceleratorKind,
      ...(currentServer?.layers && { layers: currentServer.layers }),
    });
  };
  const beginLimit = (): void => {
    const limit = { endpoint: id, birth, requestsPerSecond: LIMIT_PER_SECOND };
    record.limits.push({ ...limit, from: now(), until: Infinity });
  };
  const endLimit = (): void => {
    const limit = record.limits.findLast(({ endpoint: limited }) => limited === id);
    if (limit?.until === Infinity) limit.until = now();
  };
  const crash = async (): Promise<void> => {
    const ending = currentServer;
    currentServer = undefined;
    link.retarget(undefined);
    await ending?.crash();
  };
  const endpoint: SoakEndpoint = {
    id,
    get link() {
      return link;
    },
    useLink: (other) => {
      link = other;
      return endpoint;
    },
    isServing: () => currentServer !== undefined,
    setMode: (next) => {
      if (mode === 'limited') endLimit();
      mode = next;
      if (!currentServer) return;
      currentServer.isLeaving = next === 'leaving';
      currentServer.requestsPerSecond = next === 'limited' ? LIMIT_PER_SECOND : undefined;
      if (next === 'limited') beginLimit();
    },
    setUnframed: (next) => {
      isUnframed = next;
    },
    crash,
    start: async () => {
      birth += 1;
      const server = await serveSiteEndpoint({
        id,
        startedAt: START_NUMBER_OFFSET + birth,
        // Registers the layers, because nodes that start later learn them only from the registry.
        onLayersChanged: () => {
          if (isRegistered) register();
        },
        handle: (request, response) => {
          const { url } = request;
          const attempt = readHeader(request, 'attempt-id');
          const kind = findRequestKind(url);
          handleRequest({
            request,
            response,
            server,
            requestId: readRequestId(url),
            attempt,
            kind,
          });
        },
      });
      currentServer = server;
      endpoint.setMode(mode);
      link.retarget(server.address);
      register();
    },
    register,
    unregister: () => {
      isRegistered = false;
      store.remove(`servers/${id}`);
    },
    recordDeparture: () => {
      record.departures.push({ endpoint: id, birth, at: now() });
    },
    repeatRegistration: async (delayMilliseconds) => {
      const writeAgain = async (): Promise<void> => {
        await sleep(delayMilliseconds);
        if (isRegistered && currentServer) register();
      };
      const lapse = async (): Promise<void> => {
        await sleep(LAPSE_MILLISECONDS);
        if (!isRegistered || !currentServer) store.remove(`servers/${id}`);
      };
      await Promise.all([writeAgain(), lapse()]);
    },
    close: async () => {
      await crash();
      await ownLink.close();
    },
  };
  return endpoint;
}
