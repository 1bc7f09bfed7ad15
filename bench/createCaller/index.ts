/**
 * A caller of the system, as applications and kiosks are: asks for addresses, keeps them for a
 * while, streams, reconnects and books.
 */
import http from 'node:http';
import { createRandom } from '../../src/process/createRandom/index.js';
import { hashText } from '../../src/process/hashRendezvous/index.js';
import { sleep } from '../sleep/index.js';

/** Options of {@link createCaller}. */
export interface CreateCallerOptions {
  readonly account: string;
  readonly key: string;
  /** Addresses to ask first. */
  readonly seeds: readonly string[];
  readonly availabilityZone?: string;
}

/** The answer to a whole call. */
export interface WholeAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfterMilliseconds: number;
}

/** The end of a streamed answer. */
export interface StreamedAnswer {
  readonly text: string;
  readonly isWhole: boolean;
  readonly status: number;
  readonly firstTokenMilliseconds: number;
  /** Time between tokens, in milliseconds. */
  readonly gaps: readonly number[];
  readonly reconnects: number;
  readonly totalMilliseconds: number;
  /** Name of the error event or body, if any. */
  readonly error: string;
}

/** Options of {@link Caller.stream}. */
export interface StreamOptions {
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly deadlineMilliseconds?: number;
  /** Called with the text so far after each event. */
  readonly onToken?: (count: number, address: string) => void;
  /** Hangs up after this number of tokens. */
  readonly hangUpAfter?: number;
}

/** Options of {@link Caller.call}. */
export interface CallOptions {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly timeoutMilliseconds?: number;
  /** Number of the address to use, counted from the first. */
  readonly preference?: number;
}

/** A caller. */
export interface Caller {
  readonly call: (options: CallOptions) => Promise<WholeAnswer>;
  readonly stream: (options: StreamOptions) => Promise<StreamedAnswer>;
  /** Calls with an idempotency key until the outcome is known or the tries are used up. */
  readonly book: (options: BookOptions) => Promise<WholeAnswer & { readonly tries: number }>;
  readonly refresh: () => Promise<readonly string[]>;
  readonly close: () => void;
}

/** Options of {@link Caller.book}. */
export interface BookOptions {
  readonly path: string;
  readonly key: string;
  readonly body: string;
  readonly method?: string;
  readonly tries?: number;
}

interface Connection {
  readonly text: string;
  readonly lastEventId: string;
  readonly isWhole: boolean;
  readonly isHungUp: boolean;
  readonly status: number;
  readonly error: string;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
const LARGEST_RECONNECTS = 8;
const RECONNECT_MILLISECONDS = 50;

/**
 * Creates a caller.
 *
 * @param options - account, key and the first addresses
 * @returns the caller
 * @example
 * const caller = createCaller({ account: 'kiosk', key, seeds: ['127.0.0.1:8101'] });
 */
export function createCaller(options: CreateCallerOptions): Caller {
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
  const random = createRandom(hashText(options.account));
  let addresses: readonly string[] = options.seeds;
  let expiresAt = 0;
  const authorization = `Bearer ${options.key}`;

  const request = (address: string, call: CallOptions): Promise<WholeAnswer> =>
    new Promise((resolve, reject) => {
      const [host = '', port = ''] = address.split(':');
      const { method, path, body = '', headers = {} } = call;
      const outgoing = http.request({
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          authorization,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body).toString(),
          ...headers,
        },
        signal: AbortSignal.timeout(call.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS),
      });
      outgoing.on('error', reject);
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          resolve({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString('utf8'),
            retryAfterMilliseconds: Number(response.headers['retry-after'] ?? 0) * 1_000,
          });
        });
      });
      outgoing.end(body);
    });
  const refresh = async (): Promise<readonly string[]> => {
    const zone = options.availabilityZone;
    const headers: Record<string, string> =
      zone === undefined ? {} : { 'x-availability-zone': zone };
    for (const address of [...addresses, ...options.seeds]) {
      try {
        const answer = await request(address, {
          method: 'GET',
          path: '/v1/addresses',
          headers,
          timeoutMilliseconds: 2_000,
        });
        if (answer.status !== 200) continue;
        const parsed = JSON.parse(answer.body) as {
          expiresInSeconds: number;
          addresses: { address: string }[];
        };
        if (parsed.addresses.length === 0) continue;
        addresses = parsed.addresses.map((entry) => entry.address);
        expiresAt = performance.now() + parsed.expiresInSeconds * 1_000;
        return addresses;
      } catch {
        continue;
      }
    }
    return addresses;
  };
  const chooseAddress = async (preference = 0): Promise<string> => {
    if (performance.now() >= expiresAt) await refresh();
    if (preference === 0) return addresses[Math.floor(random() * addresses.length)] ?? '';
    return addresses[preference % addresses.length] ?? options.seeds[0] ?? '';
  };
  const call = async (callOptions: CallOptions): Promise<WholeAnswer> =>
    request(await chooseAddress(callOptions.preference), callOptions);

  const connect = (
    address: string,
    body: string,
    lastEventId: string,
    streamOptions: StreamOptions,
    onEvent: () => void,
  ): Promise<Connection> =>
    new Promise((resolve) => {
      const [host = '', port = ''] = address.split(':');
      let text = '';
      let last = lastEventId;
      let isWhole = false;
      let isHungUp = false;
      let status = 0;
      let error = '';
      let rest = '';
      const finish = (): void => {
        resolve({ text, lastEventId: last, isWhole, isHungUp, status, error });
      };
      const outgoing = http.request({
        host,
        port: Number(port),
        method: 'POST',
        path: '/v1/completions',
        agent,
        headers: {
          authorization,
          'content-type': 'application/json',
          ...(last !== '' && { 'last-event-id': last }),
          ...(streamOptions.deadlineMilliseconds !== undefined && {
            'x-deadline-milliseconds': streamOptions.deadlineMilliseconds.toString(),
          }),
        },
        signal: AbortSignal.timeout(DEFAULT_TIMEOUT_MILLISECONDS),
      });
      const takeBlock = (block: string): void => {
        const data = /^data: (.*)$/m.exec(block)?.[1] ?? '';
        if (data === '[DONE]') {
          isWhole = true;
          return;
        }
        if (block.startsWith('event: error')) {
          error = (JSON.parse(data) as { error: { name: string } }).error.name;
          return;
        }
        last = /^id: (.*)$/m.exec(block)?.[1] ?? last;
        const piece = (JSON.parse(data) as { choices: { text: string }[] }).choices[0]?.text ?? '';
        if (piece === '') return;
        text += piece;
        onEvent();
        isHungUp = streamOptions.hangUpAfter === 0;
      };
      outgoing.on('error', finish);
      outgoing.on('response', (response) => {
        status = response.statusCode ?? 0;
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          if (status !== 200) {
            rest += chunk;
            return;
          }
          const blocks = (rest + chunk).split('\n\n');
          rest = blocks.pop() ?? '';
          blocks.forEach(takeBlock);
        });
        response.on('error', finish);
        response.on('close', () => {
          if (status !== 200) error = /"name":"([^"]*)"/.exec(rest)?.[1] ?? 'unknown';
          finish();
        });
      });
      outgoing.end(body);
      if (streamOptions.hangUpAfter !== undefined) {
        setTimeout(() => outgoing.destroy(), streamOptions.hangUpAfter);
      }
    });
  const stream = async (streamOptions: StreamOptions): Promise<StreamedAnswer> => {
    const { model, prompt, maximumTokens = 64 } = streamOptions;
    const body = JSON.stringify({ model, prompt, max_tokens: maximumTokens, stream: true });
    const startedAt = performance.now();
    const gaps: number[] = [];
    let firstTokenMilliseconds = 0;
    let eventAt = startedAt;
    let text = '';
    let lastEventId = '';
    let tokens = 0;
    for (let reconnects = 0; ; reconnects += 1) {
      const address = await chooseAddress(reconnects);
      const connection = await connect(address, body, lastEventId, streamOptions, () => {
        const now = performance.now();
        if (tokens === 0) firstTokenMilliseconds = now - startedAt;
        else gaps.push(now - eventAt);
        eventAt = now;
        tokens += 1;
        streamOptions.onToken?.(tokens, address);
      });
      text += connection.text;
      ({ lastEventId } = connection);
      const isRefused = connection.status >= 400;
      const isOver = connection.isWhole || isRefused || reconnects >= LARGEST_RECONNECTS;
      if (isOver || streamOptions.hangUpAfter !== undefined) {
        return {
          text,
          isWhole: connection.isWhole,
          status: connection.status,
          firstTokenMilliseconds,
          gaps,
          reconnects,
          totalMilliseconds: performance.now() - startedAt,
          error: connection.error,
        };
      }
      expiresAt = 0;
      await sleep(RECONNECT_MILLISECONDS);
    }
  };
  const book = async (bookOptions: BookOptions): Promise<WholeAnswer & { tries: number }> => {
    const { path, key, body, method = 'POST', tries = 5 } = bookOptions;
    let answer: WholeAnswer = { status: 0, body: '', retryAfterMilliseconds: 0 };
    for (let attempt = 0; attempt < tries; attempt += 1) {
      try {
        answer = await call({
          method,
          path,
          body,
          headers: {
            'idempotency-key': key,
            'idempotency-attempt': (attempt + 1).toString(),
          },
          preference: attempt,
        });
        if (answer.status < 500 && answer.status !== 429) return { ...answer, tries: attempt + 1 };
        if (answer.body.includes('"unknown"')) return { ...answer, tries: attempt + 1 };
      } catch {
        expiresAt = 0;
      }
      await sleep(Math.max(RECONNECT_MILLISECONDS, answer.retryAfterMilliseconds));
    }
    return { ...answer, tries };
  };

  return {
    call,
    stream,
    book,
    refresh,
    close: () => {
      agent.destroy();
    },
  };
}
