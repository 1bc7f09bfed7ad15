/**
 * Signals of a process from its start, also before the node that they act on has started.
 */

/** Signals that are handled. */
export type HandledSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

/** Action of a node for a signal; `receivedAt` is in milliseconds on the process's monotonic clock. */
export type SignalAction = (signal: HandledSignal, receivedAt: number) => void;

/** Control of the handled signals. */
export interface SignalListener {
  /** Passes the signals that have arrived and all later ones to a node that has started. */
  readonly serve: (act: SignalAction) => void;
}

/** A source of signals; the process outside of tests. */
export interface SignalSource {
  readonly on: (signal: HandledSignal, listener: (signal: HandledSignal) => void) => unknown;
}

const HANDLED_SIGNALS: readonly HandledSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/**
 * Listens for signals before a node runs, because their default action ends the process at once.
 *
 * A signal that arrives before {@link SignalListener.serve} takes effect then; the time that the platform leaves
 * the process runs from its arrival.
 *
 * @param source - source of the signals
 * @returns the control; `serve` starts the actions
 * @example
 * const signals = listenForSignals();
 * const running = await startNode(options);
 * signals.serve(running.leave);
 */
export function listenForSignals(source: SignalSource = process): SignalListener {
  const pending = new Map<HandledSignal, number>();
  let action: SignalAction | undefined;
  for (const name of HANDLED_SIGNALS) {
    source.on(name, (signal) => {
      const receivedAt = performance.now();
      if (action) action(signal, receivedAt);
      else if (!pending.has(signal)) pending.set(signal, receivedAt);
    });
  }
  return {
    serve: (act) => {
      action = act;
      for (const [signal, receivedAt] of pending) act(signal, receivedAt);
      pending.clear();
    },
  };
}
