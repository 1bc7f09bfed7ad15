/**
 * Driver of one node: feeds events to the node through a bounded channel and executes its effects.
 */
import csp from 'js-csp';
import type { NodeEffect, NodeEvent } from '../../../types/node/index.js';
import type { Node } from '../../node/createNode/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';

/** Handlers that execute each kind of effect. */
export type EffectHandlers = {
  readonly [Kind in NodeEffect['kind']]: (effect: Extract<NodeEffect, { kind: Kind }>) => void;
};

/** Options of {@link createDriver}. */
export interface CreateDriverOptions {
  readonly node: Node;
  readonly effectHandlers: EffectHandlers;
  /** Monotonic clock, in milliseconds since the epoch. */
  readonly clock: () => number;
  readonly lifeCycle: LifeCycle;
}

/** Driver of a node. */
export interface Driver {
  /** Queues an event that may be refused; returns false when the channel is full or closed. */
  readonly offer: (event: NodeEvent) => boolean;
  /** Processes an event immediately; for events whose number is bounded by the node's effects. */
  readonly feed: (event: NodeEvent) => void;
}

const EVENT_CHANNEL_CAPACITY = 4_096;

/**
 * Creates the driver of one node.
 *
 * Requests and peer messages are queued in a bounded channel and refused when it is full. Results of
 * the node's effects are processed immediately, since their number is bounded by the effects.
 *
 * @param options - node, effect handlers, clock and life cycle
 * @returns the driver
 * @example
 * createDriver({ node, effectHandlers, clock, lifeCycle }).feed({ kind: 'start' });
 */
export function createDriver(options: CreateDriverOptions): Driver {
  const { node, clock } = options;
  const effectHandlers = options.effectHandlers as Record<string, (effect: NodeEffect) => void>;
  const events = csp.chan<NodeEvent>(csp.buffers.fixed(EVENT_CHANNEL_CAPACITY));
  const backlog: NodeEvent[] = [];
  let isProcessing = false;
  let isClosed = false;

  const process = (event: NodeEvent): void => {
    for (const effect of node.receive(event, clock())) effectHandlers[effect.kind]?.(effect);
  };
  const feed = (event: NodeEvent): void => {
    if (isClosed) return;
    backlog.push(event);
    if (isProcessing) return;
    isProcessing = true;
    try {
      for (let next = backlog.shift(); next; next = backlog.shift()) process(next);
    } finally {
      isProcessing = false;
    }
  };
  csp.go(function* (): Generator<unknown, void, NodeEvent | null> {
    for (;;) {
      const event = yield csp.take(events);
      if (event === null) return;
      feed(event);
    }
  });
  options.lifeCycle.own({
    name: 'driver',
    close: () => {
      isClosed = true;
      events.close();
    },
  });

  return { offer: (event) => !isClosed && csp.offer(events, event), feed };
}
