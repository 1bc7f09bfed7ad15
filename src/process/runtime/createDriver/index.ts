/**
 * The driver of one node: events go in through a bounded channel, effects are looked up and performed.
 */
import csp from 'js-csp';
import type { NodeEffect, NodeEvent } from '../../../types/node/index.js';
import type { Node } from '../../node/createNode/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';

/** Performs each kind of effect. */
export type Performers = {
  readonly [Kind in NodeEffect['kind']]: (effect: Extract<NodeEffect, { kind: Kind }>) => void;
};

/** Options of {@link createDriver}. */
export interface CreateDriverOptions {
  readonly node: Node;
  readonly performers: Performers;
  /** Milliseconds since the epoch; never falls. */
  readonly clock: () => number;
  readonly lifeCycle: LifeCycle;
}

/** Feeds events to a node. */
export interface Driver {
  /** Feeds an event that can be refused; returns false when the channel is full or closed. */
  readonly offer: (event: NodeEvent) => boolean;
  /** Feeds an event at once; for events whose number the node's own effects bound. */
  readonly feed: (event: NodeEvent) => void;
}

const WAITING_EVENTS = 4_096;

/**
 * Creates the driver of one node.
 *
 * Requests and peers' messages wait in a bounded channel and are refused when it is full. Results of
 * the node's own effects are fed at once: their number is bounded by the effects.
 *
 * @param options - the node, the performers, the clock and the owner
 * @returns the driver
 * @example
 * createDriver({ node, performers, clock, lifeCycle }).feed({ kind: 'start' });
 */
export function createDriver(options: CreateDriverOptions): Driver {
  const { node, clock } = options;
  const performers = options.performers as Record<string, (effect: NodeEffect) => void>;
  const events = csp.chan<NodeEvent>(csp.buffers.fixed(WAITING_EVENTS));
  const backlog: NodeEvent[] = [];
  let isBusy = false;
  let isClosed = false;

  const process = (event: NodeEvent): void => {
    for (const effect of node.receive(event, clock())) performers[effect.kind]?.(effect);
  };
  const feed = (event: NodeEvent): void => {
    if (isClosed) return;
    backlog.push(event);
    if (isBusy) return;
    isBusy = true;
    try {
      for (let next = backlog.shift(); next; next = backlog.shift()) process(next);
    } finally {
      isBusy = false;
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
