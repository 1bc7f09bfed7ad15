/**
 * Runs complete nodes in one process under virtual time, through the node interface only.
 */
import { createNode, type Node } from '../../src/process/node/createNode/index.js';
import type { NodeDecisions } from '../../src/process/node/nodeDecisions/index.js';
import type { NodeEffect, NodeEvent } from '../../src/types/node/index.js';
import type { PlatformCall, PlatformResult } from '../../src/types/platform/index.js';
import { createEventQueue, type EventQueue } from '../createEventQueue/index.js';
import { createPlatformState, type PlatformState } from '../createPlatformState/index.js';

/** Outcome of a platform call: done; refused or lost without an effect; or only the reply lost. */
export type CallOutcome = 'done' | 'refused' | 'lostCall' | 'lostReply';

/** Behavior of the endpoints of a virtual system. */
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
  /** Returns the outcome of a platform call; all are done by default. */
  readonly decideOutcome?: (node: string, call: PlatformCall, now: number) => CallOutcome;
  /** Returns whether a message between nodes is lost. */
  readonly isMessageLost?: (from: string, to: string, now: number) => boolean;
  readonly onEffect?: (node: string, effect: NodeEffect, now: number) => void;
  readonly onMessage?: (from: string, to: string, message: unknown) => void;
  /** Replaces decisions of every node. */
  readonly decisions?: NodeDecisions;
}

/** Response to a caller, as far as it has arrived. */
export interface VirtualResponse {
  status: number;
  body: string;
  isOver: boolean;
}

/** Running virtual system. */
export interface VirtualSystem {
  readonly queue: EventQueue;
  readonly platform: PlatformState;
  readonly responses: Map<string, VirtualResponse>;
  /** Exit codes by node. */
  readonly exits: Map<string, number>;
  /** Passes an event to a node and performs the effects. */
  readonly dispatch: (node: string, event: NodeEvent) => void;
  readonly start: (node: string) => void;
  readonly kill: (node: string) => void;
  /** Delays all events of a node for a time, as a suspended process does. */
  readonly pause: (node: string, milliseconds: number) => void;
  /** Advances virtual time. */
  readonly run: (milliseconds: number) => void;
  readonly nodeNames: readonly string[];
}

/** State of one node's process. */
interface NodeProcess {
  node: Node | undefined;
  /** Incremented by every start and kill, so that events of earlier processes are dropped. */
  starts: number;
  pausedUntil: number;
  readonly timers: Set<string>;
}

const EPOCH_MILLISECONDS = 1_700_000_000_000;

/**
 * Creates a virtual system. Its nodes do not run until {@link VirtualSystem.start} is called.
 *
 * @param options - number of nodes, endpoints, delays and faults
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
  const platform = createPlatformState({
    clock: queue.now,
    vmListLagMilliseconds: options.vmListLagMilliseconds ?? 0,
  });
  const endpoints = options.createEndpoints(queue);
  const responses = new Map<string, VirtualResponse>();
  const exits = new Map<string, number>();
  const nodeProcesses = new Map<string, NodeProcess>();
  const nodeNames = Array.from(
    { length: options.nodes },
    (_, index) => `node-${(index + 1).toString()}`,
  );

  const dispatch = (name: string, event: NodeEvent): void => {
    const nodeProcess = nodeProcesses.get(name);
    if (!nodeProcess?.node) return;
    if (queue.now() < nodeProcess.pausedUntil) {
      scheduleEvent(name, nodeProcess.starts, nodeProcess.pausedUntil - queue.now(), event);
      return;
    }
    const { starts } = nodeProcess;
    for (const effect of nodeProcess.node.receive(event, queue.now())) {
      if (nodeProcess.starts === starts) perform(name, nodeProcess, effect);
    }
  };
  const scheduleEvent = (name: string, starts: number, delay: number, event: NodeEvent): void => {
    queue.schedule(delay, () => {
      if (nodeProcesses.get(name)?.starts === starts) dispatch(name, event);
    });
  };
  const callPlatform = (
    name: string,
    nodeProcess: NodeProcess,
    effect: Extract<NodeEffect, { kind: 'callPlatform' }>,
  ): void => {
    const { call, platformCall, timeoutMilliseconds } = effect;
    let isDone = false;
    const finish = (result: PlatformResult): void => {
      if (isDone) return;
      isDone = true;
      scheduleEvent(name, nodeProcess.starts, platformDelay, {
        kind: 'platformResult',
        call,
        result,
      });
    };
    queue.schedule(timeoutMilliseconds, () => {
      finish({ kind: 'unknown' });
    });
    queue.schedule(platformDelay, () => {
      const outcome = options.decideOutcome?.(name, platformCall, queue.now()) ?? 'done';
      if (outcome === 'refused') finish({ kind: 'refused' });
      if (outcome === 'refused' || outcome === 'lostCall') return;
      const result = platform.call(platformCall);
      if (outcome === 'lostReply') return;
      if (result) finish(result);
      else if (platformCall.kind === 'watch') awaitKeyChange(platformCall, finish);
    });
  };
  const awaitKeyChange = (
    call: Extract<PlatformCall, { kind: 'watch' }>,
    finish: (result: PlatformResult) => void,
  ): void => {
    const finishWatch = (): void => {
      stop();
      const found = platform.call(call) ?? platform.call({ kind: 'get', key: call.key });
      if (found) finish(found);
    };
    const stop = platform.onChange((key) => {
      if (key === call.key) finishWatch();
    });
    queue.schedule(call.waitMilliseconds, finishWatch);
  };
  const sendPeer = (name: string, effect: Extract<NodeEffect, { kind: 'sendPeer' }>): void => {
    const target = effect.address.replace('peer:', '');
    options.onMessage?.(name, target, effect.message);
    if (options.isMessageLost?.(name, target, queue.now()) === true) return;
    queue.schedule(linkDelay, () => {
      dispatch(target, { kind: 'peerMessage', message: effect.message });
    });
  };
  const applyResponse = (effect: Extract<NodeEffect, { request: string }>): void => {
    const response = responses.get(effect.request) ?? { status: 200, body: '', isOver: false };
    responses.set(effect.request, response);
    if (effect.kind === 'streamData') response.body += effect.data;
    if (effect.kind === 'answer')
      Object.assign(response, { status: effect.status, body: effect.body });
    response.isOver = effect.kind === 'answer' || effect.kind === 'streamEnd';
  };
  const perform = (name: string, nodeProcess: NodeProcess, effect: NodeEffect): void => {
    options.onEffect?.(name, effect, queue.now());
    const { starts } = nodeProcess;
    const emit = (event: NodeEvent): void => {
      if (nodeProcess.starts === starts) dispatch(name, event);
    };
    if (effect.kind === 'setTimer') {
      nodeProcess.timers.add(effect.timer);
      queue.schedule(effect.delayMilliseconds, () => {
        if (nodeProcess.starts === starts && nodeProcess.timers.delete(effect.timer)) {
          dispatch(name, { kind: 'timerDue', timer: effect.timer });
        }
      });
    } else if (effect.kind === 'clearTimer') nodeProcess.timers.delete(effect.timer);
    else if (effect.kind === 'callPlatform') callPlatform(name, nodeProcess, effect);
    else if (effect.kind === 'callEndpoint') endpoints.call(effect, emit);
    else if (effect.kind === 'run') endpoints.run(effect, emit);
    else if (effect.kind === 'cancelRun') endpoints.cancel(effect.attempt);
    else if (effect.kind === 'sendPeer') sendPeer(name, effect);
    else if (effect.kind === 'exit') exits.set(name, effect.code);
    else if ('request' in effect) applyResponse(effect);
  };
  const stop = (name: string): NodeProcess => {
    const nodeProcess = nodeProcesses.get(name) ?? {
      node: undefined,
      starts: 0,
      pausedUntil: 0,
      timers: new Set(),
    };
    nodeProcess.node = undefined;
    nodeProcess.starts += 1;
    nodeProcess.timers.clear();
    nodeProcesses.set(name, nodeProcess);
    return nodeProcess;
  };

  return {
    queue,
    platform,
    responses,
    exits,
    nodeNames,
    dispatch,
    start: (name) => {
      const nodeProcess = stop(name);
      const position = nodeNames.indexOf(name);
      nodeProcess.node = createNode({
        node: name,
        vm: `vm-${name}`,
        availabilityZone: zones[position % zones.length] ?? 'a',
        incarnation: Math.floor(queue.now()) + nodeProcess.starts,
        seed: seed * 1_000 + position * 10 + nodeProcess.starts,
        secret: `secret-${name}-${nodeProcess.starts.toString()}`,
        callerAddress: `caller:${name}`,
        peerAddress: `peer:${name}`,
        addressExpirySeconds: options.addressExpirySeconds ?? 5,
        drainLimitMilliseconds: options.drainLimitMilliseconds,
        loadsPerSecond: 100,
        decisions: options.decisions,
        seeds: ['peer:node-1', 'peer:node-2'],
      });
      dispatch(name, { kind: 'start' });
    },
    kill: stop,
    pause: (name, milliseconds) => {
      const nodeProcess = nodeProcesses.get(name);
      if (nodeProcess) nodeProcess.pausedUntil = queue.now() + milliseconds;
    },
    run: (milliseconds) => {
      queue.runUntil(queue.now() + milliseconds);
    },
  };
}
