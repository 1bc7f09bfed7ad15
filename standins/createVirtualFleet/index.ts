/**
 * Emulated engines and services of a virtual system, which queue work under virtual time.
 */
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import {
  engineOrderSchema,
  type EngineOrder,
  type EngineReport,
  type RunRequest,
  type TokenLine,
} from '../../src/types/endpoint/index.js';
import type { NodeEvent } from '../../src/types/node/index.js';
import type { Vm } from '../../src/types/platform/index.js';
import type { EventQueue } from '../createEventQueue/index.js';
import type { VirtualEndpoints } from '../createVirtualSystem/index.js';
import { countAnswerTokens, generateToken } from '../generateToken/index.js';

/** Virtual engine; tests change its fields to make it fail. */
export interface VirtualEngine {
  readonly name: string;
  readonly availabilityZone: string;
  report: EngineReport;
  isDown: boolean;
  isStalled: boolean;
  readonly orders: { readonly order: EngineOrder; readonly taken: boolean; readonly at: number }[];
  /** Virtual time at which its queued work ends, in milliseconds. */
  busyUntil: number;
  /** Number of sequences that it runs. */
  active: number;
}

/** Virtual service; counts calls by idempotency key and does not deduplicate them. */
export interface VirtualService {
  readonly counts: Map<string, number>;
  /** Returns a call's outcome: answered, refused without an effect, or the reply lost after the effect. */
  decideOutcome: (key: string) => 'answered' | 'refused' | 'lostReply';
  /** Duration of a call, in milliseconds. */
  delay: number;
}

/** Options of {@link createVirtualFleet}. */
export interface CreateVirtualFleetOptions {
  readonly engines: readonly VirtualEngine[];
  readonly services?: number;
  readonly seed?: number;
  /** Standard deviation of the logarithm of a token's duration. */
  readonly jitter?: number;
  readonly reportLagMilliseconds?: number;
  readonly loadMilliseconds?: number;
  /** Replaces the lines that a pipeline sends for a token, to inject invalid ones. */
  readonly replaceLine?: (line: TokenLine) => TokenLine[];
  /** Called for each token that a pipeline has produced. */
  readonly onToken?: () => void;
}

/** Endpoints of a virtual system. */
export interface VirtualFleet {
  readonly engines: ReadonlyMap<string, VirtualEngine>;
  readonly service: VirtualService;
  readonly vms: Vm[];
  readonly createEndpoints: (queue: EventQueue) => VirtualEndpoints;
  /** Returns the number of prefills that first stages have run. */
  readonly countPrefills: () => number;
}

/** Options of {@link createVirtualEngine}. */
export interface CreateVirtualEngineOptions {
  readonly name: string;
  readonly from: number;
  readonly to: number;
  readonly model?: string;
  readonly version?: string;
  readonly layersPerSecond?: number;
  readonly availabilityZone?: string;
  readonly checksFencing?: boolean;
}

const HOP_MILLISECONDS = 0.5;
const PROMPT_TOKENS_PER_STEP = 32;
const CHARACTERS_PER_TOKEN = 4;
const SERVICE_MILLISECONDS = 5;

/**
 * Creates a virtual engine that hosts a range of layers.
 *
 * @param options - name, layer range and speed in layers per second
 * @returns the engine
 * @example
 * createVirtualEngine({ name: 'engine-1', from: 0, to: 16 });
 */
export function createVirtualEngine(options: CreateVirtualEngineOptions): VirtualEngine {
  const { name, from, to, model = 'm', version = '1', layersPerSecond = 4_000 } = options;
  return {
    name,
    availabilityZone: options.availabilityZone ?? 'a',
    isDown: false,
    isStalled: false,
    orders: [],
    busyUntil: 0,
    active: 0,
    report: {
      incarnation: '1',
      model,
      version,
      adapters: [],
      from,
      to,
      active: 0,
      layersPerSecond,
      leaving: false,
      loading: false,
      checksFencing: options.checksFencing ?? true,
      fencing: 0,
    },
  };
}

/** Draws a log-normal factor on the duration of a step. */
function drawFactor(random: Random, jitter: number): number {
  if (jitter === 0) return 1;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(jitter * normal);
}

/**
 * Creates the endpoints of a virtual system.
 *
 * An engine runs one layer step at a time, in order of arrival, so that load builds up a queue.
 *
 * @param options - engines, number of service endpoints, and jitter
 * @returns the fleet; pass `createEndpoints` to the virtual system and `vms` to its platform
 * @example
 * const fleet = createVirtualFleet({ engines });
 */
export function createVirtualFleet(options: CreateVirtualFleetOptions): VirtualFleet {
  const { jitter = 0, services = 2, reportLagMilliseconds = 0 } = options;
  const random = createRandom(options.seed ?? 1);
  const engines = new Map(options.engines.map((engine) => [engine.name, engine]));
  const byAddress = new Map(options.engines.map((engine) => [`engine:${engine.name}`, engine]));
  const service: VirtualService = {
    counts: new Map(),
    decideOutcome: () => 'answered',
    delay: SERVICE_MILLISECONDS,
  };
  const cancelled = new Set<string>();
  let prefills = 0;
  const vms: Vm[] = options.engines.map(({ name, availabilityZone }) => ({
    name: `vm-${name}`,
    address: `engine:${name}`,
    availabilityZone,
    state: 'live',
    tags: { kind: 'engine', name, role: 'm' },
  }));
  for (let index = 0; index < services; index += 1) {
    const name = `service-${index.toString()}`;
    vms.push({
      name: `vm-${name}`,
      address: `service:${name}`,
      availabilityZone: 'a',
      state: 'live',
      tags: { kind: 'service', name, role: 's', service: 's' },
    });
  }

  const runPipeline = (
    queue: EventQueue,
    run: RunRequest,
    emit: (event: NodeEvent) => void,
  ): void => {
    const { attempt, route } = run;
    const stages = route.map((stage) => ({ stage, engine: byAddress.get(stage.address) }));
    const count = countAnswerTokens(run, run.maximumTokens);
    let isOver = false;
    const finish = (event: NodeEvent | undefined): void => {
      if (isOver) return;
      isOver = true;
      for (const { engine } of stages) if (engine) engine.active -= 1;
      cancelled.delete(attempt);
      if (event) emit(event);
    };
    const failAt = (engine: string, sent: boolean): void => {
      finish({ kind: 'runFailed', attempt, sent, engine, leaving: false });
    };
    const step = (index: number, position: number): void => {
      if (isOver) return;
      if (cancelled.has(attempt)) {
        finish(undefined);
        return;
      }
      const entry = stages[position];
      if (!entry) {
        deliver(index);
        return;
      }
      const { engine, stage } = entry;
      if (!engine || engine.isDown) {
        failAt(stage.engine, true);
        return;
      }
      if (engine.isStalled) {
        queue.schedule(50, () => {
          step(index, position);
        });
        return;
      }
      const isFirst = index === run.startIndex;
      if (isFirst && position === 0) prefills += 1;
      const promptTokens = isFirst ? run.prompt.length / CHARACTERS_PER_TOKEN : 0;
      const steps = 1 + promptTokens / PROMPT_TOKENS_PER_STEP;
      const width = stage.to - stage.from;
      const milliseconds =
        ((width * 1_000 * steps) / engine.report.layersPerSecond) * drawFactor(random, jitter);
      engine.busyUntil = Math.max(queue.now(), engine.busyUntil) + milliseconds;
      queue.schedule(engine.busyUntil - queue.now() + HOP_MILLISECONDS, () => {
        step(index, position + 1);
      });
    };
    const deliver = (index: number): void => {
      options.onToken?.();
      const last = index >= count - 1;
      const trace = route
        .map(({ engine, from, to }) => `${engine}:${from.toString()}-${to.toString()}`)
        .join(',');
      const loads = stages.map(({ engine }) => engine?.active ?? 0);
      const text = index < count ? generateToken(run, index) : '';
      if (last) finish(undefined);
      const line: TokenLine = { index, trace, text, loads, ...(last && { last }) };
      emit({ kind: 'tokens', attempt, lines: options.replaceLine?.(line) ?? [line] });
      if (!last) step(index + 1, 0);
    };
    for (const { engine } of stages) if (engine) engine.active += 1;
    queue.schedule(HOP_MILLISECONDS, () => {
      step(run.startIndex, 0);
    });
  };
  const applyOrder = (queue: EventQueue, engine: VirtualEngine, body: string): number => {
    const order = engineOrderSchema.parse(JSON.parse(body));
    const taken = !engine.report.checksFencing || order.fencing >= engine.report.fencing;
    engine.orders.push({ order, taken, at: queue.now() });
    if (!taken) return 409;
    const fencing = Math.max(engine.report.fencing, order.fencing);
    engine.report = { ...engine.report, fencing, loading: true };
    queue.schedule(options.loadMilliseconds ?? 200, () => {
      engine.report = { ...engine.report, ...order.state, loading: false };
    });
    return 202;
  };

  return {
    engines,
    service,
    vms,
    countPrefills: () => prefills,
    createEndpoints: (queue) => ({
      run: ({ run }, emit) => {
        runPipeline(queue, run, emit);
      },
      cancel: (attempt) => {
        cancelled.add(attempt);
      },
      call: ({ call, address, path, body, headers, timeoutMilliseconds }, done) => {
        const reply = (status: number, text: string, delay: number): void => {
          queue.schedule(delay, () => {
            done({ kind: 'reply', call, status, contentType: 'application/json', body: text });
          });
        };
        const fail = (sent: boolean, delay: number): void => {
          queue.schedule(delay, () => {
            done({ kind: 'callFailed', call, sent });
          });
        };
        const engine = byAddress.get(address);
        if (engine) {
          if (engine.isDown) fail(false, 1);
          else if (path === '/orders') reply(applyOrder(queue, engine, body), '{}', 1);
          else {
            const report = JSON.stringify({ ...engine.report, active: engine.active });
            reply(200, report, 1 + reportLagMilliseconds);
          }
          return;
        }
        const key = headers['idempotency-key'] ?? '';
        const outcome = service.decideOutcome(key);
        if (outcome === 'refused') {
          fail(false, 1);
          return;
        }
        queue.schedule(service.delay / 2, () => {
          service.counts.set(key, (service.counts.get(key) ?? 0) + 1);
        });
        if (outcome === 'answered') reply(200, JSON.stringify({ done: key }), service.delay);
        else fail(true, Math.min(timeoutMilliseconds, service.delay * 4));
      },
    }),
  };
}
