/**
 * An endpoint of a soak run: it can be put in trouble, and records what reaches it.
 */
import type { ServerResponse } from 'node:http';
import { sleep } from '../../bench/sleep/index.js';
import { registerEndpoint } from '../../standins/registerEndpoint/index.js';
import {
  createSeal,
  serveSiteEndpoint,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import { createProxy, type LinkProxy } from '../createProxy/index.js';
import { formatAnswer, formatEvent } from '../describeStream/index.js';
import { findKind, readHeader, readName, readPath, type Hop } from '../readSend/index.js';
import type { RequestKind, SoakRecord } from '../types/index.js';

/** How an endpoint treats its requests. */
export type EndpointMode =
  | 'sound'
  /** Its events come slowly, but come. */
  | 'slow'
  /** It says nothing after a beginning, or a byte now and then. */
  | 'stalled'
  /** Its bytes never end. */
  | 'endless'
  /** It breaks off in the middle of an answer. */
  | 'breaksOff'
  /** It refuses, and asks for rest. */
  | 'resting'
  /** It refuses, without saying for how long. */
  | 'full'
  /** It answers, and says that it leaves. */
  | 'leaving'
  /** It sends each answer a second time. */
  | 'twice';

/** Options of {@link createSoakEndpoint}. */
export interface CreateSoakEndpointOptions {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** Name of its kind of accelerator; undefined for an endpoint without a model. */
  readonly kind: string | undefined;
  /** Events of each stream. */
  readonly events: number;
  readonly store: SiteStore;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Whether something that can serve listens at an address. */
  readonly isServing: (address: string) => boolean;
}

/** An endpoint of a soak run. */
export interface SoakEndpoint {
  readonly id: string;
  readonly link: LinkProxy;
  /** Listens behind another endpoint's link from its next start on. */
  readonly takeOver: (link: LinkProxy) => SoakEndpoint;
  readonly isServing: () => boolean;
  readonly setMode: (mode: EndpointMode) => void;
  /** Ends it at once; its entry in the registry stays for a time. */
  readonly crash: () => Promise<void>;
  readonly start: () => Promise<void>;
  readonly register: () => void;
  readonly unregister: () => void;
  readonly close: () => Promise<void>;
}

interface Answering {
  readonly request: ReceivedRequest;
  readonly response: ServerResponse;
  readonly server: SiteEndpoint;
  readonly name: string;
  readonly attempt: string;
  readonly kind: RequestKind;
}

const SLOTS = 64;
const FIRST_BIRTH = 1_000;
const EVENT_MILLISECONDS = 40;
const SLOW_EVENT_MILLISECONDS = 220;
const DRIP_MILLISECONDS = 100;
const HOP_CHECK_MILLISECONDS = 50;
const REST_SECONDS = 2;
/** Event after which a troubled stream goes wrong. */
const LAST_SOUND_EVENT = 3;
const ENDLESS_PIECE = 'x'.repeat(16_384);
/** Bytes that an endless answer holds at most, so that a reader without a bound does not take all memory. */
const MOST_ENDLESS_BYTES = 67_108_864;
const REFUSING: ReadonlySet<EndpointMode> = new Set(['resting', 'full']);

/** The path after the last order to move the request, if there was one. */
function findPath({ request, server, attempt }: Answering): Hop[] {
  const orders = server.orders as { op: string; id?: string; path?: string }[];
  const move = orders.findLast(({ op, id }) => op === 'repath' && id === attempt);
  return readPath(move?.path ?? readHeader(request, 'hop-count'));
}

function writeEndlessly(response: ServerResponse): void {
  let written = 0;
  const write = (): void => {
    while (!response.destroyed && written < MOST_ENDLESS_BYTES) {
      written += ENDLESS_PIECE.length;
      if (!response.write(ENDLESS_PIECE)) return;
    }
  };
  response.on('drain', write);
  write();
}

/** Sends an answer's bytes again on the same connection, after the answer has ended. */
function repeatAnswer({ request, response, name }: Answering): void {
  const { socket } = response;
  const body = formatAnswer(name);
  const seal = Object.entries(createSeal(request)).map(([key, value]) => `${key}: ${value}\r\n`);
  const head = `HTTP/1.1 200 OK\r\n${seal.join('')}Content-Length: ${body.length}\r\n\r\n`;
  response.once('finish', () => {
    if (socket?.writable) socket.write(`${head}${body}`);
  });
}

/**
 * Creates an endpoint, which does not listen yet.
 *
 * @param options - its name and service, the registry, and where to record
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
  let mode: EndpointMode = 'sound';
  let birth = 0;
  let served: SiteEndpoint | undefined;

  const note = ({ request, name, attempt, kind }: Answering, hasRun: boolean): void => {
    const path = readPath(readHeader(request, 'hop-count'));
    record.sends.push({
      request: name,
      attempt,
      kind,
      endpoint: id,
      birth,
      at: now(),
      hasRun,
      path: path.length > 0 ? path : undefined,
    });
  };
  const refuse = (answering: Answering, status: number, headers: Record<string, string>): void => {
    const { request, response } = answering;
    response.writeHead(status, { ...createSeal(request), 'Not-Executed': '1', ...headers });
    response.end('refused');
  };
  /** Waits for the endpoints of the path, and says for which it waits. */
  const waitForPath = async (answering: Answering): Promise<void> => {
    const { server, response } = answering;
    const findMissing = (): string[] =>
      findPath(answering)
        .map(({ address }) => address)
        .filter((address) => address !== link.address && !isServing(address));
    while (!response.destroyed && findMissing().length > 0) {
      server.stalled = findMissing();
      await sleep(HOP_CHECK_MILLISECONDS);
    }
    server.stalled = [];
  };
  const open = ({ request, response }: Answering, headers: Record<string, string>): void => {
    const leaving = mode === 'leaving' ? { 'Server-Leaving': '1' } : {};
    response.writeHead(200, {
      ...createSeal(request),
      'Served-By': id,
      ...leaving,
      ...headers,
    });
  };
  const goWrong: Readonly<Partial<Record<EndpointMode, (answering: Answering) => void>>> = {
    endless: ({ response }) => {
      response.write('id: 4\ndata: ');
      writeEndlessly(response);
    },
    breaksOff: ({ response }) => {
      response.write('id: 4\nda');
      setTimeout(() => response.destroy(), DRIP_MILLISECONDS);
    },
    stalled: ({ response }) => {
      response.write('id: 4\ndata: ');
      const timer = setInterval(() => response.write('x'), DRIP_MILLISECONDS);
      response.on('close', () => {
        clearInterval(timer);
      });
    },
  };
  const stream = async (answering: Answering): Promise<void> => {
    const { request, response, name } = answering;
    const begun = Number(readHeader(request, 'last-event-id') || 0);
    const startedIn = mode;
    if (startedIn === 'twice') repeatAnswer(answering);
    await waitForPath(answering);
    open(answering, { 'Content-Type': 'text/event-stream' });
    for (let number = begun + 1; number <= events; number += 1) {
      const fail = number > begun + LAST_SOUND_EVENT ? goWrong[startedIn] : undefined;
      if (fail) {
        fail(answering);
        return;
      }
      await waitForPath(answering);
      if (response.destroyed) return;
      response.write(formatEvent(name, number));
      await sleep(startedIn === 'slow' ? SLOW_EVENT_MILLISECONDS : EVENT_MILLISECONDS);
    }
    response.end();
  };
  const answerWhole = async (answering: Answering): Promise<void> => {
    const { response, name } = answering;
    const body = formatAnswer(name);
    const startedIn = mode;
    await sleep(startedIn === 'slow' ? SLOW_EVENT_MILLISECONDS : EVENT_MILLISECONDS);
    if (startedIn === 'stalled' || response.destroyed) return;
    if (startedIn === 'twice') repeatAnswer(answering);
    if (startedIn === 'endless') {
      open(answering, {});
      writeEndlessly(response);
      return;
    }
    open(answering, { 'Content-Length': String(body.length) });
    if (startedIn !== 'breaksOff') {
      response.end(body);
      return;
    }
    response.write(body.slice(0, LAST_SOUND_EVENT));
    setTimeout(() => response.destroy(), DRIP_MILLISECONDS);
  };
  const refuseRequest = (answering: Answering): void => {
    note(answering, false);
    if (mode === 'full') {
      refuse(answering, 503, {});
      return;
    }
    const { attempt } = answering;
    record.rests.push({
      endpoint: id,
      birth,
      attempt,
      at: now(),
      milliseconds: REST_SECONDS * 1_000,
    });
    refuse(answering, 503, { 'Retry-After': String(REST_SECONDS) });
  };
  const answer = (answering: Answering): void => {
    const expected = readHeader(answering.request, 'expect-instance');
    if (expected !== '' && expected !== id) {
      refuse(answering, 421, {});
      return;
    }
    if (REFUSING.has(mode)) {
      refuseRequest(answering);
      return;
    }
    note(answering, true);
    void (answering.kind === 'stream' ? stream(answering) : answerWhole(answering));
  };
  const register = (): void => {
    registerEndpoint(store, { id, address: link.address }, service, {
      zone: options.availabilityZone,
      slots: SLOTS,
      state: mode === 'leaving' ? 'draining' : 'ready',
      sequence: served?.orders.length ?? 0,
      born: FIRST_BIRTH + birth,
      route_type: options.kind,
      ...(served?.layers && { layers: served.layers }),
    });
  };
  const crash = async (): Promise<void> => {
    const ending = served;
    served = undefined;
    link.retarget(undefined);
    await ending?.crash();
  };
  const endpoint: SoakEndpoint = {
    id,
    get link() {
      return link;
    },
    takeOver: (other) => {
      link = other;
      return endpoint;
    },
    isServing: () => served !== undefined,
    setMode: (next) => {
      mode = next;
      if (served) served.isLeaving = next === 'leaving';
    },
    crash,
    start: async () => {
      birth += 1;
      const server = await serveSiteEndpoint({
        id,
        // The registry shows the layers, as nodes that start later know them by it alone.
        onPlaced: () => {
          register();
        },
        behave: (request, response) => {
          const { url } = request;
          const attempt = readHeader(request, 'attempt-id');
          const kind = findKind(url);
          answer({ request, response, server, name: readName(url), attempt, kind });
        },
      });
      server.isLeaving = mode === 'leaving';
      served = server;
      link.retarget(server.address);
      register();
    },
    register,
    unregister: () => {
      store.remove(`servers/${id}`);
    },
    close: async () => {
      await crash();
      await ownLink.close();
    },
  };
  return endpoint;
}
