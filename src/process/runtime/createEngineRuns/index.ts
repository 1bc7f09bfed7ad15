/**
 * Runs on pipelines of engines: one streamed HTTP request per attempt.
 */
import http from 'node:http';
import csp, { type Channel } from 'js-csp';
import type { RunRequest, TokenLine } from '../../../types/endpoint/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import { isFinalStatus } from '../isFinalStatus/index.js';

/** Events that a run emits. */
export type RunEvent = Extract<NodeEvent, { kind: 'tokens' | 'runEnded' | 'runFailed' }>;

/** Client with which a node runs attempts on engines. */
export interface EngineRuns {
  readonly start: (address: string, run: RunRequest) => void;
  readonly cancel: (attempt: string) => void;
  readonly close: () => void;
  readonly count: () => number;
}

/** Failure that an engine reports in place of a token. */
interface FailureLine {
  readonly failed: string;
  readonly leaving?: boolean;
}

const CHUNK_CHANNEL_CAPACITY = 256;
const SUCCESS_STATUS = 200;
/** Maximum length of a line, in characters. */
const MAXIMUM_LINE_LENGTH = 1_048_576;

function isFailure(line: TokenLine | FailureLine): line is FailureLine {
  return 'failed' in line;
}

/**
 * Creates the client with which a node runs attempts on engines.
 *
 * Each run has its own connection, and a goroutine that reads its chunks from a bounded channel; lines that
 * arrive together are emitted as one event. A full channel pauses the socket.
 *
 * @param onEvent - called with each event
 * @returns the client
 * @example
 * createEngineRuns((event) => feed(event)).start(address, run);
 */
export function createEngineRuns(onEvent: (event: RunEvent) => void): EngineRuns {
  // A late or additional response on a connection that is used again would end the next run.
  const agent = new http.Agent({ keepAlive: false, maxSockets: Infinity });
  const requests = new Map<string, http.ClientRequest>();

  const finish = (attempt: string, event: RunEvent): void => {
    if (!requests.delete(attempt)) return;
    onEvent(event);
  };
  const fail = (attempt: string, sent: boolean, engine: string, leaving = false): void => {
    finish(attempt, { kind: 'runFailed', attempt, sent, engine, leaving });
  };
  const parseLines = (attempt: string, text: string): void => {
    const lines: TokenLine[] = [];
    for (const part of text.split('\n')) {
      if (part === '') continue;
      const line = JSON.parse(part) as TokenLine | FailureLine;
      if (isFailure(line)) {
        if (lines.length > 0) onEvent({ kind: 'tokens', attempt, lines });
        fail(attempt, true, line.failed, line.leaving ?? false);
        return;
      }
      lines.push(line);
    }
    if (lines.length > 0 && requests.has(attempt)) onEvent({ kind: 'tokens', attempt, lines });
  };
  const readChunks = (
    attempt: string,
    chunks: Channel<string>,
    response: http.IncomingMessage,
    firstEngine: string,
  ): void => {
    csp.go(function* (): Generator<unknown, void, string | null> {
      let incompleteLine = '';
      for (;;) {
        const chunk = yield csp.take(chunks);
        if (chunk === null) break;
        const end = chunk.lastIndexOf('\n') + 1;
        const completeLines = end > 0 ? incompleteLine + chunk.slice(0, end) : '';
        incompleteLine = end > 0 ? chunk.slice(end) : incompleteLine + chunk;
        try {
          parseLines(attempt, completeLines);
        } catch {
          fail(attempt, true, firstEngine);
        }
        if (incompleteLine.length > MAXIMUM_LINE_LENGTH) fail(attempt, true, firstEngine);
        // An engine that goes on sending after the failure of its run is not read any further.
        if (!requests.has(attempt)) response.destroy();
        if (response.isPaused()) response.resume();
      }
      if (response.complete) finish(attempt, { kind: 'runEnded', attempt });
      else fail(attempt, true, firstEngine);
    });
  };
  const readResponse = (
    attempt: string,
    response: http.IncomingMessage,
    firstEngine: string,
  ): void => {
    if (response.statusCode !== SUCCESS_STATUS) {
      const refusal = isFinalStatus(response.statusCode)
        ? response.headers['x-refused']
        : undefined;
      response.destroy();
      // Only the header states that the engine did not run the request.
      fail(attempt, refusal === undefined, firstEngine, refusal === 'leaving');
      return;
    }
    const chunks = csp.chan<string>(csp.buffers.fixed(CHUNK_CHANNEL_CAPACITY));
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => {
      if (csp.offer(chunks, chunk)) return;
      response.pause();
      csp.putAsync(chunks, chunk);
    });
    response.on('error', () => undefined);
    response.on('close', () => {
      chunks.close();
    });
    readChunks(attempt, chunks, response, firstEngine);
  };

  return {
    start: (address, run) => {
      const [host = '', port = '80'] = address.split(':');
      const { attempt } = run;
      const firstEngine = run.route[0]?.engine ?? '';
      let isConnected = false;
      const request = http.request({
        host,
        port: Number(port),
        method: 'POST',
        path: '/runs',
        headers: { 'content-type': 'application/json' },
        agent,
      });
      requests.set(attempt, request);
      request.on('socket', (socket) => {
        socket.setNoDelay(true);
        isConnected = !socket.connecting;
        if (isConnected) return;
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      request.on('error', () => {
        fail(attempt, isConnected, firstEngine);
      });
      let hasResponse = false;
      request.on('close', () => {
        // Node.js reports no error when it closes the connection of a response with status 101.
        if (!hasResponse) fail(attempt, isConnected, firstEngine);
      });
      request.on('response', (response) => {
        hasResponse = true;
        readResponse(attempt, response, firstEngine);
      });
      request.end(JSON.stringify(run));
    },
    cancel: (attempt) => {
      const request = requests.get(attempt);
      requests.delete(attempt);
      request?.destroy();
    },
    close: () => {
      for (const request of requests.values()) request.destroy();
      requests.clear();
      agent.destroy();
    },
    count: () => requests.size,
  };
}
