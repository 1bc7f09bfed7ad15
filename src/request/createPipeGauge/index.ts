/**
 * Estimate of how long a transfer waits for a pipe between two availability zones.
 */

/** Gauge of all pipes, as one node sees them. */
export interface PipeGauge {
  /** Notes a transfer of this node that takes the pipe for a time in milliseconds. */
  readonly note: (from: string, to: string, milliseconds: number, now: number) => void;
  /** Milliseconds until a transfer that begins now would have the pipe. */
  readonly estimateWait: (from: string, to: string, now: number) => number;
}

/** Options of {@link createPipeGauge}. */
export interface CreatePipeGaugeOptions {
  /** Nodes that use the pipes like this one, itself included. */
  readonly countUsers: () => number;
}

/**
 * Creates a gauge.
 *
 * A pipe passes one transfer after another. Nodes do not tell each other of transfers: each counts its
 * own, as often as there are nodes that send alike.
 *
 * @param options - how many nodes use the pipes
 * @returns the gauge
 * @example
 * createPipeGauge({ countUsers: () => 2 }).estimateWait('mission', 'abbotsford', now);
 */
export function createPipeGauge({ countUsers }: CreatePipeGaugeOptions): PipeGauge {
  const busyUntil = new Map<string, number>();
  const nameLink = (from: string, to: string): string =>
    from < to ? `${from}/${to}` : `${to}/${from}`;
  return {
    note: (from, to, milliseconds, now) => {
      const link = nameLink(from, to);
      const startsAt = Math.max(now, busyUntil.get(link) ?? 0);
      busyUntil.set(link, startsAt + milliseconds * countUsers());
    },
    estimateWait: (from, to, now) => Math.max(0, (busyUntil.get(nameLink(from, to)) ?? 0) - now),
  };
}
