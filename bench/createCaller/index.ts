/**
 * Client of the system, as an application or kiosk uses one: fetches node addresses and caches them
 * until they expire, streams completions, reconnects, and sends bookings.
 */
import http from 'node:http';
import { createRandom } from '../../src/process/createRandom/index.js';
import { hashText } from '../../src/process/hashRendezvous/index.js';
import { sleep } from '../sleep/index.js';

/** Options of {@link createCaller}. */
export interface CreateCallerOptions {
  readonly account: string;
  readonly apiKey: string;
  /** Addresses that are used until the address list has been fetched. */
  readonly seeds: readonly string[];
  readonly availabilityZone?: string;
}

/** Buffered response of a call. */
export interface BufferedResponse {
  readonly status: number;
  readonly body: string;
  readonly retryAfterMilliseconds: number;
}

/** Result of a streamed response. */
export interface StreamedResponse {
  readonly text: string;
  readonly isComplete: boolean;
  readonly status: number;
  readonly firstTokenMilliseconds: number;
  /** Times between tokens in milliseconds. */
  readonly gaps: readonly number[];
  readonly reconnects: number;
  readonly totalMilliseconds: number;
  /** Name of the error in the error event or error body; empty without one. */
  readonly error: string;
}

/** Options of {@link Caller.stream}. */
export interface StreamOptions {
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly deadlineMilliseconds?: number;
  /**
   * Called after each token with the number of tokens so far and the address that serves the
   * stream.
   */
  readonly onToken?: (count: number, address: string) => void;
  /** Time in milliseconds after which the caller disconnects. */
  readonly disconnectAfterMilliseconds?: number;
}

/** Options of {@link Caller.call}. */
export interface CallOptions {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly timeoutMilliseconds?: number;
  /** Index of the address to use, modulo the number of addresses; 0 picks one at random. */
  readonly preference?: number;
}

/** Client of one client account. */
export interface Caller {
  /** Sends a request and buffers the response. */
  readonly call: (options: CallOptions) => Promise<BufferedResponse>;
  /** Streams a completion and resumes it on another node after a lost connection. */
  readonly stream: (options: StreamOptions) => Promise<StreamedResponse>;
  /**
   * Sends a request with an idempotency key until the outcome is known or the tries are used up.
   */
  readonly book: (options: BookOptions) => Promise<BufferedResponse & { readonly tries: number }>;
  /** Fetches the list of node addresses. */
  readonly refreshAddresses: () => Promise<readonly string[]>;
  readonly close: () => void;
}

/** Options of {@link Caller.book}. */
export interface BookOptions {
  readonly path: string;
  readonly idempotencyKey: string;
  readonly body: string;
  readonly method?: string;
  readonly tries?: number;
}

interface StreamConnection {
  readonly text: string;
  readonly lastEventId: string;
  readonly isComplete: boolean;
  readonly isDisconnected: boolean;
  readonly status: number;
  readonly error: string;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
const MAXIMUM_RECONNECTS = 8;
const RECONNECT_MILLISECONDS = 50;

/**
 * Creates a caller.
 *
 * @param options - account, API key and seed addresses
 * @returns the caller
 * @example
 * const caller = createCaller({ account: 'kiosk', apiKey, seeds: ['127.0.0.1:8101'] });
 */
export function createCaller(options: CreateCallerOptions): Caller {
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
  const random = createRandom(hashText(options.account));
  let addresses: readonly string[] = options.seeds;
  let expiresAt = 0;
  const authorization = `Bearer ${options.apiKey}`;

  const sendRequest = (address: string, call: CallOptions): Promise<BufferedResponse> =>
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
  const refreshAddresses = async (): Promise<readonly string[]> => {
    const zone = options.availabilityZone;
    const headers: Record<string, string> =
      zone === undefined ? {} : { 'x-availability-zone': zone };
    for (const address of [...addresses, ...options.seeds]) {
      try {
        const response = await sendRequest(address, {
          method: 'GET',
          path: '/v1/addresses',
          headers,
          timeoutMilliseconds: 2_000,
        });
        if (response.status !== 200) continue;
        const parsed = JSON.parse(response.body) as {
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
    if (performance.now() >= expiresAt) await refreshAddresses();
    if (preference === 0) return addresses[Math.floor(random() * addresses.length)] ?? '';
    return addresses[preference % addresses.length] ?? options.seeds[0] ?? '';
  };
  const call = async (callOptions: CallOptions): Promise<BufferedResponse> =>
    sendRequest(await chooseAddress(callOptions.preference), callOptions);

  const connect = (
    address: string,
    body: string,
    lastEventId: string,
    streamOptions: StreamOptions,
    onEvent: () => void,
  ): Promise<StreamConnection> =>
    new Promise((resolve) => {
      const [host = '', port = ''] = address.split(':');
      let text = '';
      let latestEventId = lastEventId;
      let isComplete = false;
      let isDisconnected = false;
      let status = 0;
      let error = '';
      let unparsed = '';
      const finish = (): void => {
        resolve({
          text,
          lastEventId: latestEventId,
          isComplete,
          isDisconnected,
          status,
          error,
        });
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
          ...(latestEventId !== '' && { 'last-event-id': latestEventId }),
          ...(streamOptions.deadlineMilliseconds !== undefined && {
            'x-deadline-milliseconds': streamOptions.deadlineMilliseconds.toString(),
          }),
        },
        signal: AbortSignal.timeout(DEFAULT_TIMEOUT_MILLISECONDS),
      });
      const handleEvent = (block: string): void => {
        const data = /^data: (.*)$/m.exec(block)?.[1] ?? '';
        if (data === '[DONE]') {
          isComplete = true;
          return;
        }
        if (block.startsWith('event: error')) {
          error = (JSON.parse(data) as { error: { name: string } }).error.name;
          return;
        }
        latestEventId = /^id: (.*)$/m.exec(block)?.[1] ?? latestEventId;
        const eventText =
          (JSON.parse(data) as { choices: { text: string }[] }).choices[0]?.text ?? '';
        if (eventText === '') return;
        text += eventText;
        onEvent();
        isDisconnected = streamOptions.disconnectAfterMilliseconds === 0;
      };
      outgoing.on('error', finish);
      outgoing.on('response', (response) => {
        status = response.statusCode ?? 0;
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          if (status !== 200) {
            unparsed += chunk;
            return;
          }
          const blocks = (unparsed + chunk).split('\n\n');
          unparsed = blocks.pop() ?? '';
          blocks.forEach(handleEvent);
        });
        response.on('error', finish);
        response.on('close', () => {
          if (status !== 200) error = /"name":"([^"]*)"/.exec(unparsed)?.[1] ?? 'unknown';
          finish();
        });
      });
      outgoing.end(body);
      if (streamOptions.disconnectAfterMilliseconds !== undefined) {
        setTimeout(() => outgoing.destroy(), streamOptions.disconnectAfterMilliseconds);
      }
    });
  const stream = async (streamOptions: StreamOptions): Promise<StreamedResponse> => {
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
      const isFinished = connection.isComplete || isRefused || reconnects >= MAXIMUM_RECONNECTS;
      if (isFinished || streamOptions.disconnectAfterMilliseconds !== undefined) {
        return {
          text,
          isComplete: connection.isComplete,
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
  const book = async (bookOptions: BookOptions): Promise<BufferedResponse & { tries: number }> => {
    const { path, idempotencyKey, body, method = 'POST', tries = 5 } = bookOptions;
    let response: BufferedResponse = { status: 0, body: '', retryAfterMilliseconds: 0 };
    for (let attempt = 0; attempt < tries; attempt += 1) {
      try {
        response = await call({
          method,
          path,
          body,
          headers: {
            'idempotency-key': idempotencyKey,
            'idempotency-attempt': (attempt + 1).toString(),
          },
          preference: attempt,
        });
        if (response.status < 500 && response.status !== 429)
          return { ...response, tries: attempt + 1 };
        if (response.body.includes('"unknown"')) return { ...response, tries: attempt + 1 };
      } catch {
        expiresAt = 0;
      }
      await sleep(Math.max(RECONNECT_MILLISECONDS, response.retryAfterMilliseconds));
    }
    return { ...response, tries };
  };

  return {
    call,
    stream,
    book,
    refreshAddresses,
    close: () => {
      agent.destroy();
    },
  };
}
