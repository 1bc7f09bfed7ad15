/**
 * Stand-in of an engine: hosts a range of layers, runs it for each token and forwards the activation to
 * the next stage.
 */
import http from 'node:http';
import { hashText } from '../../src/process/hashRendezvous/index.js';
import {
  engineOrderSchema,
  type EngineOrder,
  type EngineReport,
  type EngineState,
  type RunRequest,
  type Stage,
} from '../../src/types/endpoint/index.js';
import type { Faults } from '../createFaults/index.js';
import { countAnswerTokens, generateToken } from '../generateToken/index.js';
import { listenStandin, readText, replyJson, type Standin } from '../listenStandin/index.js';

/** Options of {@link serveEngine}. */
export interface ServeEngineOptions {
  readonly name: string;
  readonly port: number;
  readonly seed: number;
  readonly layersPerSecond: number;
  readonly checksFencing?: boolean;
  readonly state?: EngineState;
  readonly loadMilliseconds?: number;
  readonly reportLagMilliseconds?: number;
}

/** Running engine stand-in. */
export interface EngineStandin extends Standin {
  readonly name: string;
  /** Orders that the engine received; `taken` is false for those that it refused. */
  readonly orders: readonly { readonly order: EngineOrder; readonly taken: boolean }[];
  readonly report: () => EngineReport;
  /** Makes the engine report that it is leaving and refuse new runs. */
  readonly leave: () => void;
  /** Closes all connections in the middle of streams and stays down for a time, in milliseconds. */
  readonly crash: (milliseconds: number) => void;
  /** Returns the number of sequences that the engine runs. */
  readonly active: () => number;
  /** Restarts without cached prompts and without layers. */
  readonly restart: () => void;
}

/** Data that one stage sends to the next for a token. */
interface Activation {
  readonly index: number;
  readonly trace: string;
  readonly loads: readonly number[];
}

/** Number of active sequences that doubles the duration of a step. */
const SEQUENCES_DOUBLING_STEP = 8;
const PROMPT_TOKENS_PER_STEP = 32;
const CHARACTERS_PER_TOKEN = 4;
const CACHED_PREFIXES = 256;
const PREFIX_CHARACTERS = 64;
const EMPTY_STATE: EngineState = { model: '', version: '', adapters: [], from: 0, to: 0 };

/** Splits a text stream into lines. */
function readLines(stream: NodeJS.ReadableStream, onLine: (line: string) => void): void {
  let incomplete = '';
  stream.setEncoding('utf8');
  stream.on('data', (chunk: string) => {
    const parts = (incomplete + chunk).split('\n');
    incomplete = parts.pop() ?? '';
    for (const part of parts) if (part !== '') onLine(part);
  });
}

/**
 * Serves an engine.
 *
 * `POST /runs` starts a run at the first stage. `POST /stages/POSITION` starts it at a later stage,
 * which receives a stream of activations and responds with a stream of tokens. `GET /report` returns
 * the engine's report, `GET /orders` its orders, and `POST /orders` gives it an order.
 *
 * @param options - name, port, speed and hosted layers
 * @returns the stand-in
 * @example
 * await serveEngine({ name: 'engine-1', port: 0, seed: 1, layersPerSecond: 4000 });
 */
export async function serveEngine(options: ServeEngineOptions): Promise<EngineStandin> {
  const { name, layersPerSecond, checksFencing = true, loadMilliseconds = 200 } = options;
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
  const prefixes = new Set<number>();
  const orders: { order: EngineOrder; taken: boolean }[] = [];
  let state = options.state ?? EMPTY_STATE;
  let incarnation = 1;
  let fencing = 0;
  let active = 0;
  let reportedActive = 0;
  let loading = false;
  let leaving = false;

  const reportTimer = setInterval(() => {
    reportedActive = active;
  }, options.reportLagMilliseconds ?? 500);
  reportTimer.unref();

  const report = (): EngineReport => ({
    incarnation: incarnation.toString(),
    ...state,
    active: reportedActive,
    layersPerSecond,
    leaving,
    loading,
    checksFencing,
    fencing,
  });
  const computePrefillTime = (run: RunRequest, width: number): number => {
    const key = hashText(run.prompt.slice(0, PREFIX_CHARACTERS));
    const isCached = prefixes.delete(key);
    prefixes.add(key);
    const [oldest] = prefixes;
    if (prefixes.size > CACHED_PREFIXES && oldest !== undefined) prefixes.delete(oldest);
    const promptTokens = (run.prompt.length + run.startIndex) / CHARACTERS_PER_TOKEN;
    const steps = (isCached ? 1 : promptTokens) / PROMPT_TOKENS_PER_STEP;
    return (steps * width * 1_000) / layersPerSecond;
  };
  const computeStepTime = (width: number): number =>
    ((width * 1_000) / layersPerSecond) * (1 + active / SEQUENCES_DOUBLING_STEP);
  const hostsStage = (run: RunRequest, stage: Stage): boolean =>
    !loading &&
    run.model === state.model &&
    run.version === state.version &&
    (run.adapter === '' || state.adapters.includes(run.adapter)) &&
    stage.from >= state.from &&
    stage.to <= state.to;

  /** Starts one stage of a run; returns a function that processes activations. */
  const runStage = (
    run: RunRequest,
    position: number,
    response: http.ServerResponse,
    faults: Faults,
    onToken: (line: string) => void,
  ): ((activation: Activation) => void) => {
    const stage = run.route[position] ?? { engine: name, address: '', from: 0, to: 0 };
    const width = stage.to - stage.from;
    const next = run.route[position + 1];
    const count = countAnswerTokens(run, run.maximumTokens);
    let isFirst = true;
    active += 1;
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    const nextStage = next ? openNextStage(run, position + 1, next, response, onToken) : undefined;
    response.on('close', () => {
      active -= 1;
      nextStage?.destroy();
    });
    const emitOrForward = (activation: Activation): void => {
      if (response.destroyed) return;
      if (nextStage) {
        nextStage.write(`${JSON.stringify(activation)}\n`);
        return;
      }
      const { index, trace, loads } = activation;
      const text = index < count ? generateToken(run, index) : '';
      const last = index >= count - 1;
      onToken(JSON.stringify({ index, trace, text, loads, ...(last && { last }) }));
    };
    return ({ index, trace, loads }) => {
      const delay = computeStepTime(width) + (isFirst ? computePrefillTime(run, width) : 0);
      isFirst = false;
      const step = `${name}:${stage.from.toString()}-${stage.to.toString()}`;
      const activation = {
        index,
        trace: trace === '' ? step : `${trace},${step}`,
        loads: [...loads, active],
      };
      setTimeout(() => {
        const stall = faults.consume('stall', 'token');
        if (stall) return;
        const failure = faults.consume('die', 'token');
        if (failure) crash(failure.milliseconds);
        else emitOrForward(activation);
      }, delay);
    };
  };
  const openNextStage = (
    run: RunRequest,
    position: number,
    next: Stage,
    response: http.ServerResponse,
    onToken: (line: string) => void,
  ): http.ClientRequest => {
    const [host = '', port = ''] = next.address.split(':');
    const request = http.request({
      host,
      port: Number(port),
      method: 'POST',
      path: `/stages/${position.toString()}`,
      headers: { 'x-run': encodeURIComponent(JSON.stringify(run)) },
      agent,
    });
    let isFinished = false;
    const fail = (failed: string, isLeaving = false): void => {
      if (isFinished || response.destroyed || response.writableEnded) return;
      isFinished = true;
      response.end(`${JSON.stringify({ failed, leaving: isLeaving })}\n`);
    };
    request.setNoDelay(true);
    request.on('error', () => {
      fail(next.engine);
    });
    request.on('response', (reply) => {
      if (reply.statusCode !== 200) {
        reply.resume();
        fail(next.engine, reply.headers['x-refused'] === 'leaving');
        return;
      }
      readLines(reply, (line) => {
        if (line.startsWith('{"failed"')) {
          const { failed, leaving: isLeaving } = JSON.parse(line) as {
            failed: string;
            leaving?: boolean;
          };
          fail(failed, isLeaving ?? false);
          return;
        }
        if (line.endsWith('"last":true}')) isFinished = true;
        onToken(line);
      });
      reply.on('error', () => undefined);
      reply.on('close', () => {
        if (!reply.complete) fail(next.engine);
      });
    });
    request.flushHeaders();
    return request;
  };
  const refuse = (response: http.ServerResponse, reason: string): void => {
    response.writeHead(503, { 'x-refused': reason, 'content-type': 'application/json' });
    response.end(JSON.stringify({ refused: reason }));
  };
  const refuseUnfit = (
    run: RunRequest,
    position: number,
    response: http.ServerResponse,
  ): boolean => {
    const stage = run.route[position];
    if (leaving) refuse(response, 'leaving');
    else if (stage?.engine !== name || !hostsStage(run, stage)) refuse(response, 'layers');
    else return false;
    return true;
  };
  const startRun = (run: RunRequest, response: http.ServerResponse, faults: Faults): void => {
    if (refuseUnfit(run, 0, response)) return;
    const processActivation = runStage(run, 0, response, faults, (line) => {
      if (response.destroyed) return;
      response.write(`${line}\n`);
      const { index, last } = JSON.parse(line) as { index: number; last?: boolean };
      if (last === true) response.end();
      else processActivation({ index: index + 1, trace: '', loads: [] });
    });
    processActivation({ index: run.startIndex, trace: '', loads: [] });
  };
  const startStage = (
    position: number,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    faults: Faults,
  ): void => {
    const header = decodeURIComponent(request.headers['x-run'] as string);
    const run = JSON.parse(header) as RunRequest;
    if (refuseUnfit(run, position, response)) {
      request.resume();
      return;
    }
    request.socket.setNoDelay(true);
    const processActivation = runStage(run, position, response, faults, (line) => {
      if (response.destroyed) return;
      response.write(`${line}\n`);
      if (line.endsWith('"last":true}')) response.end();
    });
    request.on('error', () => undefined);
    readLines(request, (line) => {
      processActivation(JSON.parse(line) as Activation);
    });
  };
  const applyOrder = (text: string, response: http.ServerResponse, faults: Faults): void => {
    const order = engineOrderSchema.parse(JSON.parse(text));
    const taken = !checksFencing || order.fencing >= fencing;
    orders.push({ order, taken });
    if (!taken) {
      replyJson(response, faults, '/orders', { refused: 'fencing' }, 409);
      return;
    }
    fencing = Math.max(fencing, order.fencing);
    loading = true;
    setTimeout(() => {
      ({ state } = order);
      loading = false;
    }, loadMilliseconds);
    replyJson(response, faults, '/orders', { accepted: true }, 202);
  };

  const crash = (milliseconds: number): void => {
    standin.faults.add({ kind: 'down', milliseconds });
    standin.dropConnections();
  };
  const standin = await listenStandin({
    port: options.port,
    seed: options.seed,
    handle: (request, response, faults) => {
      const url = request.url ?? '';
      if (url === '/report') replyJson(response, faults, url, report());
      else if (url === '/orders' && request.method === 'GET')
        replyJson(response, faults, url, orders);
      else if (url.startsWith('/stages/')) {
        startStage(Number(url.slice('/stages/'.length)), request, response, faults);
      } else {
        readText(request, (text) => {
          if (url === '/orders') applyOrder(text, response, faults);
          else if (url === '/runs') startRun(JSON.parse(text) as RunRequest, response, faults);
          // For example a request for a server that used this port before.
          else replyJson(response, faults, url, {}, 404);
        });
      }
    },
  });
  return {
    ...standin,
    name,
    orders,
    report,
    crash,
    active: () => active,
    leave: () => {
      leaving = true;
    },
    restart: () => {
      incarnation += 1;
      state = EMPTY_STATE;
      prefixes.clear();
    },
    close: async () => {
      clearInterval(reportTimer);
      agent.destroy();
      await standin.close();
    },
  };
}
