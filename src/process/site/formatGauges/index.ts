/**
 * Formats a node's status as gauges in the Prometheus text format.
 */
import { HELD_KINDS } from '../../../connection/createMemoryAccount/index.js';
import type { ConnectionGuard } from '../../runtime/guardConnections/index.js';
import type { SiteStatus } from '../describeSite/index.js';

/** Values that the status does not contain. */
export interface GaugeExtras {
  /** Requests without a final response yet. */
  readonly open: number;
  /** Log lines dropped since the start. */
  readonly leftOut: number;
  /** Guard of the callers' connections. */
  readonly guard: Pick<ConnectionGuard, 'memory' | 'countConnections'>;
}

const STATES = ['usable', 'draining', 'lost', 'avoided'] as const;

function gauge(name: string, labels: Readonly<Record<string, string>>, value: number): string {
  const text = Object.entries(labels)
    .map(([label, content]) => `${label}="${content}"`)
    .join(',');
  return `marjoramcleat_${name}${text === '' ? '' : `{${text}}`} ${value}`;
}

/**
 * Formats gauges.
 *
 * The number of lines grows with services, states and layer ranges, but not with requests.
 *
 * @param status - the node's status
 * @param extras - number of open requests and of dropped log lines
 * @returns the text
 * @example
 * formatGauges(core.describe(), { open: 3, leftOut: 0, guard });
 */
export function formatGauges(status: SiteStatus, extras: GaugeExtras): string {
  const { endpoints, services, room, nodes } = status;
  const oldestReport = Math.max(0, ...endpoints.map(({ reportAge }) => reportAge));
  const lines = [
    gauge('configuration_version', {}, status.version),
    gauge('store_reachable', {}, status.isStoreReachable ? 1 : 0),
    gauge('store_revision', {}, status.storeRevision),
    gauge('store_era', {}, status.storeEra ?? 0),
    gauge('planner', {}, status.isPlanner ? 1 : 0),
    gauge('load_age_ms', {}, status.loadAge),
    gauge('oldest_report_age_ms', {}, oldestReport),
    gauge('open_requests', {}, extras.open),
    gauge('parts_blocked_now', {}, status.blockedParts?.length ?? 0),
    gauge(
      'limited_endpoints',
      {},
      endpoints.filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).length,
    ),
    gauge('caller_connections', {}, extras.guard.countConnections()),
    ...HELD_KINDS.map((kind) =>
      gauge('caller_memory_bytes', { kind }, extras.guard.memory.countHeld(kind)),
    ),
    gauge('log_lines_left_out', {}, extras.leftOut),
    gauge('nodes', { state: 'alive' }, nodes.filter(({ state }) => state === 'alive').length),
    gauge('nodes', { state: 'leaving' }, nodes.filter(({ state }) => state === 'leaving').length),
    ...services.flatMap(({ service, retriesLeft }) => [
      gauge('retries_left', { service }, retriesLeft),
      ...STATES.map((state) =>
        gauge(
          'endpoints',
          { service, state },
          endpoints.filter((endpoint) => endpoint.service === service && endpoint.state === state)
            .length,
        ),
      ),
    ]),
    ...(status.shares ?? []).map(({ service, priority, share }) =>
      gauge('admission_share', { service, priority: String(priority) }, share),
    ),
    ...room.map(({ service, layers, tokens }) => gauge('room_tokens', { service, layers }, tokens)),
  ];
  return `${lines.join('\n')}\n`;
}
