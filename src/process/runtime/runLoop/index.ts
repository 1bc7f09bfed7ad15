/**
 * Loop that repeats one step in a goroutine.
 */
import csp, { type Channel } from 'js-csp';
import type { LifeCycle } from '../../createLifeCycle/index.js';

/** Options of {@link runLoop}. */
export interface RunLoopOptions {
  readonly name: string;
  readonly lifeCycle: LifeCycle;
  /** Executes one iteration; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Called when an iteration throws or rejects; the loop then pauses {@link PAUSE_AFTER_FAILURE_MILLISECONDS}. */
  readonly onFailure: (error: unknown) => void;
}

const PAUSE_AFTER_FAILURE_MILLISECONDS = 500;

async function runStep({ step, onFailure }: RunLoopOptions): Promise<number> {
  try {
    return await step();
  } catch (error) {
    onFailure(error);
    return PAUSE_AFTER_FAILURE_MILLISECONDS;
  }
}

function startStep(options: RunLoopOptions): Channel<number> {
  const pauses = csp.chan<number>();
  void runStep(options).then((pause) => {
    csp.putAsync(pauses, pause);
  });
  return pauses;
}

/**
 * Starts a goroutine that repeats a step until the life cycle ends.
 *
 * @param options - step, name and life cycle
 * @returns nothing
 * @example
 * runLoop({ name: 'heartbeat', lifeCycle, step: async () => 1_000, onFailure: console.error });
 */
export function runLoop(options: RunLoopOptions): void {
  let isClosed = false;
  options.lifeCycle.own({
    name: options.name,
    close: () => {
      isClosed = true;
    },
  });
  csp.go(function* (): Generator<unknown, void, never> {
    while (!isClosed) {
      const pause: number = yield csp.take(startStep(options));
      if (pause > 0) yield csp.timeout(pause);
    }
  });
}
