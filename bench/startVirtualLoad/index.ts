/**
 * Sends open-loop load to complete nodes under a virtual clock.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import type { ConfigurationOperation } from '../../src/types/configuration/index.js';
import type { NodeEffect } from '../../src/types/node/index.js';
import { digestText } from '../../src/version/digestText/index.js';
import {
  createVirtualSystem,
  type CreateVirtualSystemOptions,
  type VirtualSystem,
} from '../../standins/createVirtualSystem/index.js';
import {
  createVirtualEngine,
  createVirtualFleet,
  type CreateVirtualFleetOptions,
  type VirtualEngine,
  type VirtualFleet,
} from '../../standins/createVirtualFleet/index.js';
import { generateAnswer } from '../../standins/generateToken/index.js';

/** Client account that sends load. */
export interface LoadAccount {
  readonly name: string;
  readonly class?: string;
  readonly weight?: number;
  /** Rate limit that is set by label, in requests per second. */
  readonly limit?: number;
  /** Offered load in requests per second. */
  readonly rate: number;
}

/** Options of {@link startVirtualLoad}. */
export interface StartVirtualLoadOptions {
  readonly accounts: readonly LoadAccount[];
  readonly engines?: readonly VirtualEngine[];
  readonly fleetOptions?: Partial<CreateVirtualFleetOptions>;
  readonly system?: Partial<CreateVirtualSystemOptions>;
  readonly weigh?: 'recovery' | 'throughput';
  readonly deadlineMilliseconds?: number;
  readonly seed?: number;
  /** Number of nodes that receive requests; all by default. */
  readonly nodesUsed?: number;
}

/** Request of the load. Times are in milliseconds. */
export interface LoadRequest {
  readonly id: string;
  readonly account: string;
  readonly prompt: string;
  readonly sentAt: number;
  firstAt: number;
  endedAt: number;
  lastAt: number;
  readonly gaps: number[];
}

/** Virtual system under load. */
export interface VirtualLoad {
  readonly system: VirtualSystem;
  readonly fleet: VirtualFleet;
  readonly requests: readonly LoadRequest[];
  readonly observations: Extract<NodeEffect, { kind: 'observe' }>[];
  readonly counters: Map<string, number>;
  readonly effects: { readonly node: string; readonly effect: NodeEffect; readonly at: number }[];
  /** Sends requests at the accounts' rates for a time. */
  readonly sendLoad: (milliseconds: number) => void;
  /** Returns whether a request received the complete and correct response. */
  readonly isComplete: (request: LoadRequest) => boolean;
}

const LAYERS = 48;
const RANGES = [0, 12, 24, 36];
const REPLICAS = 10;
const SETTLE_MILLISECONDS = 11_000;
const MAXIMUM_TOKENS = 64;

/** Creates forty engines of equal speed, ten for each of four layer ranges. */
export function createEngines(layersPerSecond = 4_000): VirtualEngine[] {
  return RANGES.flatMap((from) =>
    Array.from({ length: REPLICAS }, (_, index) =>
      createVirtualEngine({
        name: `e-${from.toString()}-${index.toString()}`,
        from,
        to: from + 12,
        layersPerSecond,
      }),
    ),
  );
}

function listOperations(options: StartVirtualLoadOptions): ConfigurationOperation[] {
  const accounts = options.accounts.map(
    ({ name, limit, weight = 1, ...rest }): ConfigurationOperation => {
      const labels = {
        class: rest.class ?? 'standard',
        weight: weight.toString(),
        'key-sha256': digestText(`key-${name}`),
        ...(limit !== undefined && { 'requests-per-second': limit.toString() }),
      };
      return { kind: 'setLabels', object: 'account', name, labels };
    },
  );
  const selector = {
    name: 'models',
    callers: {},
    endpoints: { role: 'm' },
    serve: { kind: 'model', model: 'm', version: '1', adapter: '', layers: LAYERS },
    priority: 5,
    share: 100,
    weigh: options.weigh ?? 'recovery',
    changedAt: 0,
  } as const;
  return [...accounts, { kind: 'putSelector', selector }];
}

/**
 * Starts six nodes with forty engines, unless other engines are given, and applies the accounts'
 * configuration.
 *
 * @param options - accounts, fleet and system options
 * @returns the load; call `sendLoad` to send requests
 * @example
 * const load = startVirtualLoad({ accounts: [{ name: 'a', rate: 20 }] });
 * load.sendLoad(10_000);
 */
export function startVirtualLoad(options: StartVirtualLoadOptions): VirtualLoad {
  const { seed = 1, deadlineMilliseconds = 5_000 } = options;
  const random = createRandom(seed);
  const engines = options.engines ?? createEngines();
  const fleet = createVirtualFleet({ engines, services: 0, seed, ...options.fleetOptions });
  const requestsById = new Map<string, LoadRequest>();
  const requests: LoadRequest[] = [];
  const observations: VirtualLoad['observations'] = [];
  const counters = new Map<string, number>();
  const effects: VirtualLoad['effects'] = [];

  const recordEffect = (node: string, effect: NodeEffect, at: number): void => {
    if (effect.kind === 'observe') observations.push(effect);
    if (effect.kind === 'count') {
      counters.set(effect.counter, (counters.get(effect.counter) ?? 0) + 1);
    }
    if (effect.kind === 'run') effects.push({ node, effect, at });
    if (!('request' in effect)) return;
    const request = requestsById.get(effect.request);
    if (!request) return;
    if (effect.kind === 'streamEnd' || effect.kind === 'answer') request.endedAt = at;
    if (effect.kind !== 'streamData' || !effect.data.startsWith('id: ')) return;
    if (request.firstAt < 0) request.firstAt = at;
    else request.gaps.push(at - request.lastAt);
    request.lastAt = at;
  };
  const system = createVirtualSystem({
    nodes: 6,
    seed,
    createEndpoints: fleet.createEndpoints,
    onEffect: recordEffect,
    ...options.system,
  });
  system.platform.setVms(fleet.vms);
  system.nodeNames.forEach(system.start);
  system.run(3_000);
  const change = { id: 'change-load', baseRevision: 0, operations: listOperations(options) };
  system.dispatch('node-1', {
    kind: 'operatorRequest',
    request: 'configure',
    method: 'POST',
    path: '/v1/changes',
    body: JSON.stringify({ allowUnmatched: true, change }),
  });
  system.run(SETTLE_MILLISECONDS);

  const send = (account: string): void => {
    const id = `load-${requests.length.toString()}`;
    const prompt = `question ${id} of ${account}`;
    const request: LoadRequest = {
      id,
      account,
      prompt,
      sentAt: system.queue.now(),
      firstAt: -1,
      endedAt: -1,
      lastAt: -1,
      gaps: [],
    };
    requests.push(request);
    requestsById.set(id, request);
    const used = options.nodesUsed ?? system.nodeNames.length;
    system.dispatch(system.nodeNames[Math.floor(random() * used)] ?? '', {
      kind: 'callerRequest',
      request: id,
      method: 'POST',
      path: '/v1/completions',
      headers: {
        authorization: `Bearer key-${account}`,
        'x-deadline-milliseconds': deadlineMilliseconds.toString(),
      },
      body: JSON.stringify({ model: 'm', prompt, stream: true, max_tokens: MAXIMUM_TOKENS }),
    });
  };
  const scheduleArrivals = ({ name, rate }: LoadAccount, until: number): void => {
    if (rate === 0) return;
    const wait = (-Math.log(1 - random()) * 1_000) / rate;
    if (system.queue.now() + wait > until) return;
    system.queue.schedule(wait, () => {
      send(name);
      scheduleArrivals({ name, rate }, until);
    });
  };

  return {
    system,
    fleet,
    requests,
    observations,
    counters,
    effects,
    sendLoad: (milliseconds) => {
      const until = system.queue.now() + milliseconds;
      for (const account of options.accounts) scheduleArrivals(account, until);
      system.run(milliseconds);
    },
    isComplete: ({ id, prompt }) => {
      const answer = system.responses.get(id);
      if (!answer?.isOver || !answer.body.includes('[DONE]')) return false;
      const texts = [...answer.body.matchAll(/"text":("(?:[^"\\]|\\.)*")/g)].map(
        ([, text = '""']) => JSON.parse(text) as string,
      );
      const variant = { model: 'm', version: '1', adapter: '', prompt };
      return texts.join('') === generateAnswer(variant, MAXIMUM_TOKENS);
    },
  };
}
