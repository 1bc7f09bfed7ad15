/**
 * Whole nodes in one process under a virtual clock, driven through the node interface alone.
 */
import { createNode, type Node } from '../../src/process/node/createNode/index.js';
import type { NodeDecisions } from '../../src/process/node/nodeDecisions/index.js';
import type { NodeEffect, NodeEvent } from '../../src/types/node/index.js';
import type { PlatformCall, PlatformResult } from '../../src/types/platform/index.js';
import { createEventQueue, type EventQueue } from '../createEventQueue/index.js';
import { createPlatform, type Platform } from '../createPlatform/index.js';

/** Fate of a platform call: done, without effect, or with the effect but without the reply. */
export type CallFate = 'done' | 'refused' | 'lostCall' | 'lostReply';

/** What the endpoints of a virtual system do. */
export interface VirtualEndpoints {
  readonly call: (
    effect: Extract<NodeEffect, { kind: 'callEndpoint' }>,
    done: (event: NodeEvent) => void,
  ) => void;
  readonly run: (
    effect: Extract<NodeEffect, { kind: 'run' }>,
    emit: (event: NodeEvent) => void,
  ) => void;
  readonly cancel: (attempt: string) => void;
}

/** Options of {@link createVirtualSystem}. Delays are in milliseconds. */
export interface CreateVirtualSystemOptions {
  readonly nodes: number;
  readonly seed?: number;
  readonly availabilityZones?: readonly string[];
  readonly createEndpoints: (queue: EventQueue) => VirtualEndpoints;
  readonly linkDelay?: number;
  readonly platformDelay?: number;
  readonly addressExpirySeconds?: number;
  readonly drainLimitMilliseconds?: number;
  readonly vmListLagMilliseconds?: number;
  /** Fate of each platform call; all are done when absent. */
  readonly decideFate?: (node: string, call: PlatformCall, now: number) => CallFate;
  /** Tells whether a message between nodes is lost. */
  readonly isCut?: (from: string, to: string, now: number) => boolean;
  readonly onEffect?: (node: string, effect: NodeEffect, now: number) => void;
  readonly onMessage?: (from: string, to: string, message: unknown) => void;
  /** Decisions that every node takes in another way than the shipped one. */
  readonly decisions?: NodeDecisions;
}

/** An answer as it has reached the caller so far. */
export interface VirtualAnswer {
  status: number;
  body: string;
  isOver: boolean;
}

/** A virtual system that runs. */
export interface VirtualSystem {
  readonly queue: EventQueue;
  readonly platform: Platform;
  readonly answers: Map<string, VirtualAnswer>;
  readonly exits: Map<string, number>;
  readonly feed: (node: string, event: NodeEvent) => void;
  readonly start: (node: string) => void;
  readonly kill: (node: string) => void;
  readonly pause: (node: string, milliseconds: number) => void;
  readonly run: (milliseconds: number) => void;
  readonly names: readonly string[];
}

interface Slot {
  node: Node | undefined;
  starts: number;
  pausedUntil: number;
  readonly timers: Set<string>;
}

const EPOCH_MILLISECONDS = 1_700_000_000_000;

/**
 * Creates a virtual system; its nodes are started by {@link VirtualSystem.start}.
 *
 * @param options - number of nodes, their endpoints and the faults
 * @returns the system
 * @example
 * const system = createVirtualSystem({ nodes: 3, createEndpoints });
 * system.names.forEach(system.start);
 * system.run(5000);
 */
export function createVirtualSystem(options: CreateVirtualSystemOptions): VirtualSystem {
  const { seed = 1, linkDelay = 1, platformDelay = 3 } = options;
  const zones = options.availabilityZones ?? ['a', 'b', 'c'];
  const queue = createEventQueue(EPOCH_MILLISECONDS);
  const platform = createPlatform({
    clock: queue.now,
    vmListLagMilliseconds: options.vmListLagMilliseconds ?? 0,
  });
  const endpoints = options.createEndpoints(queue);
  const answers = new Map<string, VirtualAnswer>();
  const exits = new Map<string, number>();
  const slots = new Map<string, Slot>();
  const names = Array.from(
    { length: options.nodes },
    (_, index) => `node-${(index + 1).toString()}`,
  );

  const feed = (name: string, event: NodeEvent): void => {
    const slot = slots.get(name);
    if (!slot?.node) return;
    if (queue.now() < slot.pausedUntil) {
      feedLater(name, slot.starts, slot.pausedUntil - queue.now(), event);
      return;
    }
    const { starts } = slot;
    for (const effect of slot.node.receive(event, queue.now())) {
      if (slot.starts === starts) perform(name, slot, effect);
    }
  };
  const feedLater = (name: string, starts: number, delay: number, event: NodeEvent): void => {
    queue.schedule(delay, () => {
      if (slots.get(name)?.starts === starts) feed(name, event);
    });
  };
  const callPlatform = (
    name: string,
    slot: Slot,
    effect: Extract<NodeEffect, { kind: 'callPlatform' }>,
  ): void => {
    const { call, platformCall, timeoutMilliseconds } = effect;
    let isDone = false;
    const finish = (result: PlatformResult): void => {
      if (isDone) return;
      isDone = true;
      feedLater(name, slot.starts, platformDelay, { kind: 'platformResult', call, result });
    };
    queue.schedule(timeoutMilliseconds, () => {
      finish({ kind: 'unknown' });
    });
    queue.schedule(platformDelay, () => {
      const fate = options.decideFate?.(name, platformCall, queue.now()) ?? 'done';
      if (fate === 'refused') finish({ kind: 'refused' });
      if (fate === 'refused' || fate === 'lostCall') return;
      const result = platform.call(platformCall);
      if (fate === 'lostReply') return;
      if (result) finish(result);
      else if (platformCall.kind === 'watch') awaitChange(platformCall, finish);
    });
  };
  const awaitChange = (
    call: Extract<PlatformCall, { kind: 'watch' }>,
    finish: (result: PlatformResult) => void,
  ): void => {
    const answer = (): void => {
      stop();
      const found = platform.call(call) ?? platform.call({ kind: 'get', key: call.key });
      if (found) finish(found);
    };
    const stop = platform.onChange((key) => {
      if (key === call.key) answer();
    });
    queue.schedule(call.waitMilliseconds, answer);
  };
  const sendPeer = (name: string, effect: Extract<NodeEffect, { kind: 'sendPeer' }>): void => {
    const target = effect.address.replace('peer:', '');
    options.onMessage?.(name, target, effect.message);
    if (options.isCut?.(name, target, queue.now()) === true) return;
    queue.schedule(linkDelay, () => {
      feed(target, { kind: 'peerMessage', message: effect.message });
    });
  };
  const takeAnswer = (effect: Extract<NodeEffect, { request: string }>): void => {
    const answer = answers.get(effect.request) ?? { status: 200, body: '', isOver: false };
    answers.set(effect.request, answer);
    if (effect.kind === 'streamData') answer.body += effect.data;
    if (effect.kind === 'answer')
      Object.assign(answer, { status: effect.status, body: effect.body });
    answer.isOver = effect.kind === 'answer' || effect.kind === 'streamEnd';
  };
  const perform = (name: string, slot: Slot, effect: NodeEffect): void => {
    options.onEffect?.(name, effect, queue.now());
    const { starts } = slot;
    const emit = (event: NodeEvent): void => {
      if (slot.starts === starts) feed(name, event);
    };
    if (effect.kind === 'setTimer') {
      slot.timers.add(effect.timer);
      queue.schedule(effect.delayMilliseconds, () => {
        if (slot.starts === starts && slot.timers.delete(effect.timer)) {
          feed(name, { kind: 'timerDue', timer: effect.timer });
        }
      });
    } else if (effect.kind === 'clearTimer') slot.timers.delete(effect.timer);
    else if (effect.kind === 'callPlatform') callPlatform(name, slot, effect);
    else if (effect.kind === 'callEndpoint') endpoints.call(effect, emit);
    else if (effect.kind === 'run') endpoints.run(effect, emit);
    else if (effect.kind === 'cancelRun') endpoints.cancel(effect.attempt);
    else if (effect.kind === 'sendPeer') sendPeer(name, effect);
    else if (effect.kind === 'exit') exits.set(name, effect.code);
    else if ('request' in effect) takeAnswer(effect);
  };
  const stop = (name: string): Slot => {
    const slot = slots.get(name) ?? {
      node: undefined,
      starts: 0,
      pausedUntil: 0,
      timers: new Set(),
    };
    slot.node = undefined;
    slot.starts += 1;
    slot.timers.clear();
    slots.set(name, slot);
    return slot;
  };

  return {
    queue,
    platform,
    answers,
    exits,
    names,
    feed,
    start: (name) => {
      const slot = stop(name);
      const position = names.indexOf(name);
      slot.node = createNode({
        node: name,
        vm: `vm-${name}`,
        availabilityZone: zones[position % zones.length] ?? 'a',
        incarnation: Math.floor(queue.now()) + slot.starts,
        seed: seed * 1_000 + position * 10 + slot.starts,
        secret: `secret-${name}-${slot.starts.toString()}`,
        callerAddress: `caller:${name}`,
        peerAddress: `peer:${name}`,
        addressExpirySeconds: options.addressExpirySeconds ?? 5,
        drainLimitMilliseconds: options.drainLimitMilliseconds,
        loadsPerSecond: 100,
        decisions: options.decisions,
        seeds: ['peer:node-1', 'peer:node-2'],
      });
      feed(name, { kind: 'start' });
    },
    kill: stop,
    pause: (name, milliseconds) => {
      const slot = slots.get(name);
      if (slot) slot.pausedUntil = queue.now() + milliseconds;
    },
    run: (milliseconds) => {
      queue.runUntil(queue.now() + milliseconds);
    },
  };
}
