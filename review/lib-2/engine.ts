/**
 * Stand-in of an engine of a plain service, which registers itself in the store and answers as the pages say.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { readMessage, type HttpMessage } from './http.js';
import type { StoreStandIn } from './store.js';

/** Request that an engine begins to work on. */
export interface EngineRun {
  readonly engine: string;
  readonly attempt: string;
  readonly method: string;
  readonly url: string;
  readonly body: string;
  readonly headers: HttpMessage['headers'];
  /** Unix time in milliseconds. */
  readonly at: number;
}

/** Options of {@link startEngine}. */
export interface StartEngineOptions {
  readonly store: StoreStandIn;
  readonly host: string;
  readonly zone: string;
  readonly service?: string;
  readonly slots?: number;
  readonly workMilliseconds?: number;
  /** Limit that the engine names in all its answers, in requests per second; none by default. */
  readonly requestsPerSecond?: number | undefined;
  /** Returns for how many seconds the engine wants nothing, when it turns a request away; undefined otherwise. */
  readonly turnAway?: ((run: EngineRun) => number | undefined) | undefined;
  /** Called when the engine begins to work on a request; returns true when the engine crashes by it. */
  readonly onRun: (run: EngineRun) => boolean;
}

/** Running engine. */
export interface EngineStandIn {
  readonly id: string;
  readonly key: string;
  readonly entry: Readonly<Record<string, unknown>>;
  /** Reports in the store that the engine drains; it goes on to serve. */
  readonly drain: () => void;
  readonly close: () => void;
}

const HEARTBEAT_MILLISECONDS = 1_200;
/** Heartbeats without a word after which an entry is removed. */
const SILENT_HEARTBEATS = 3;
const ID_DIGITS = 8;

let engineCount = 0;

function createId(): string {
  engineCount += 1;
  return `i-${engineCount.toString(16).padStart(ID_DIGITS, '0')}`;
}

function formatAnswer(
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const lines = Object.entries({ ...headers, 'Content-Length': `${body.length}` }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `HTTP/1.1 ${status} Answer\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Starts an engine. */
export async function startEngine(options: StartEngineOptions): Promise<EngineStandIn> {
  const { store, host, zone, onRun } = options;
  const { service = 'booking-desk', slots = 6, workMilliseconds = 40 } = options;
  const { requestsPerSecond, turnAway = () => undefined } = options;
  const id = createId();
  const key = `servers/${id}`;
  const born = Date.now();
  const sockets = new Set<Socket>();
  let state = 'ready';
  let sequence = 0;
  let running = 0;

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk: Buffer) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (let message = readMessage(bytes); message; message = readMessage(bytes)) {
        bytes = bytes.subarray(message.end);
        serve(socket, message);
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  const address = `${host}:${port}`;
  const createEntry = (): Readonly<Record<string, unknown>> => ({
    service,
    address,
    zone,
    version: '1.4.0',
    slots,
    state,
    cold_left_ms: 0,
    sequence,
    born,
  });
  const beat = (): void => {
    sequence += 1;
    store.put(key, createEntry());
  };
  beat();
  const heartbeat = setInterval(beat, HEARTBEAT_MILLISECONDS);
  const end = (): void => {
    clearInterval(heartbeat);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };

  function serve(socket: Socket, { start, headers, body }: HttpMessage): void {
    const [method = '', url = ''] = start.split(' ');
    const attempt = headers['attempt-id'];
    const own = {
      ...(attempt !== undefined && { 'Attempt-Id': attempt }),
      'Instance-Id': id,
      'Server-Load': `${running},0,${slots}`,
      ...(requestsPerSecond !== undefined && { 'Server-Limit': `${requestsPerSecond}` }),
      ...(state === 'draining' && { 'Server-Leaving': '1', Connection: 'close' }),
    };
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      socket.write(formatAnswer(421, { ...own, 'Not-Executed': '1' }, ''));
      return;
    }
    if (url === '/healthz') {
      socket.write(formatAnswer(state === 'ready' ? 200 : 503, own, ''));
      return;
    }
    if (attempt === undefined) {
      socket.write(formatAnswer(400, { ...own, 'Not-Executed': '1' }, ''));
      return;
    }
    const run = { engine: id, attempt, method, url, body, headers, at: Date.now() };
    const restSeconds = turnAway(run);
    if (restSeconds !== undefined) {
      const refusal = { ...own, 'Not-Executed': '1', 'Retry-After': `${restSeconds}` };
      socket.write(formatAnswer(503, refusal, ''));
      return;
    }
    if (running >= slots) {
      socket.write(formatAnswer(503, { ...own, 'Not-Executed': '1' }, ''));
      return;
    }
    running += 1;
    const crashes = onRun(run);
    if (crashes) {
      end();
      setTimeout(() => {
        store.remove(key);
      }, SILENT_HEARTBEATS * HEARTBEAT_MILLISECONDS);
      return;
    }
    setTimeout(() => {
      running -= 1;
      if (socket.destroyed) return;
      const seal = { ...own, 'Server-Seal': `seal.${id}.${attempt}` };
      socket.write(formatAnswer(200, seal, `done ${attempt}`));
    }, workMilliseconds);
  }

  return {
    id,
    key,
    entry: createEntry(),
    drain: () => {
      state = 'draining';
      beat();
    },
    close: end,
  };
}
