/**
 * Estimate of how long a transfer waits for a link between two availability zones.
 */

/** Monitor of all zone links, from the view of one node. */
export interface ZoneLinkMonitor {
  /** Records a transfer of this node that occupies the link for a time in milliseconds. */
  readonly recordTransfer: (from: string, to: string, milliseconds: number, now: number) => void;
  /** Estimates how long a transfer that is requested now waits for the link, in milliseconds. */
  readonly estimateWait: (from: string, to: string, now: number) => number;
}

/** Options of {@link createZoneLinkMonitor}. */
export interface CreateZoneLinkMonitorOptions {
  /** Returns the number of nodes that use the same links, this one included. */
  readonly countSendingNodes: () => number;
}

/**
 * Creates a monitor of zone links.
 *
 * A link carries one transfer after another. Nodes do not announce their transfers to each other.
 * Instead, each node multiplies the time of its transfers by the number of nodes that use the same
 * links.
 *
 * @param options - the number of nodes that use the links
 * @returns the monitor
 * @example
 * createZoneLinkMonitor(options).estimateWait('mission', 'abbotsford', now);
 */
export function createZoneLinkMonitor({
  countSendingNodes,
}: CreateZoneLinkMonitorOptions): ZoneLinkMonitor {
  const busyUntil = new Map<string, number>();
  const nameLink = (from: string, to: string): string =>
    from < to ? `${from}/${to}` : `${to}/${from}`;
  return {
    recordTransfer: (from, to, milliseconds, now) => {
      const link = nameLink(from, to);
      const startsAt = Math.max(now, busyUntil.get(link) ?? 0);
      busyUntil.set(link, startsAt + milliseconds * countSendingNodes());
    },
    estimateWait: (from, to, now) => Math.max(0, (busyUntil.get(nameLink(from, to)) ?? 0) - now),
  };
}
