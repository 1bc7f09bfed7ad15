/**
 * Status of the system for operators.
 */
import type { Fleet } from '../../../connection/createFleet/index.js';
import type { Pools } from '../../../request/createPools/index.js';
import type { Membership } from '../../membership/createMembership/index.js';
import type { OrderStatus } from '../../orders/createOrders/index.js';

/** Options of {@link describeStatus}. */
export interface DescribeStatusOptions {
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly pools: Pools;
  readonly orders: OrderStatus;
  readonly journalBacklog: number;
  readonly revision: number;
  readonly now: number;
}

/** Body of the status response. */
export interface NodeStatus {
  readonly node: string;
  readonly revision: number;
  readonly nodes: readonly {
    readonly node: string;
    readonly state: string;
    readonly availabilityZone: string;
    readonly revision: number;
  }[];
  readonly engines: readonly {
    readonly model: string;
    readonly version: string;
    readonly layers: string;
    readonly ready: number;
    readonly loading: number;
    readonly leaving: number;
  }[];
  readonly services: readonly { readonly service: string; readonly usable: number }[];
  readonly leavingVms: readonly string[];
  readonly pools: readonly {
    readonly selector: string;
    readonly limit: number;
    readonly inFlight: number;
    readonly waiting: number;
  }[];
  readonly journalBacklog: number;
  readonly orders: OrderStatus;
}

function describeEngines(fleet: Fleet): NodeStatus['engines'] {
  const groups = new Map<
    string,
    { -readonly [Key in keyof NodeStatus['engines'][number]]: NodeStatus['engines'][number][Key] }
  >();
  for (const { kind, report, leaving } of fleet.list()) {
    if (kind !== 'engine') continue;
    const model = report?.model ?? '(no report)';
    const version = report?.version ?? '';
    const layers = report ? `${report.from.toString()}-${report.to.toString()}` : '';
    const key = `${model}/${version}/${layers}`;
    const group = groups.get(key) ?? { model, version, layers, ready: 0, loading: 0, leaving: 0 };
    if (leaving) group.leaving += 1;
    else if (report?.loading === true) group.loading += 1;
    else group.ready += 1;
    groups.set(key, group);
  }
  return [...groups.values()].sort((left, right) =>
    `${left.model}/${left.layers}`.localeCompare(`${right.model}/${right.layers}`, 'en', {
      numeric: true,
    }),
  );
}

function describeServices(fleet: Fleet, now: number): NodeStatus['services'] {
  const counts = new Map<string, number>();
  for (const endpoint of fleet.list()) {
    if (endpoint.kind !== 'service') continue;
    const name = endpoint.labels.service ?? '';
    const usable = fleet.isUsable(endpoint, now) ? 1 : 0;
    counts.set(name, (counts.get(name) ?? 0) + usable);
  }
  return [...counts.entries()].map(([service, usable]) => ({ service, usable }));
}

/**
 * Describes the state of the system as one node knows it.
 *
 * @param options - the components of the node that hold the state
 * @returns nodes, engines by layer range, leaving VMs, limits and backlogs
 * @example
 * describeStatus({ membership, fleet, pools, orders, journalBacklog: 0, revision: 4, now });
 */
export function describeStatus(options: DescribeStatusOptions): NodeStatus {
  const { membership, fleet, pools, now } = options;
  return {
    node: membership.self().node,
    revision: options.revision,
    nodes: membership
      .list()
      .map(({ node, state, availabilityZone, revision }) => ({
        node,
        state,
        availabilityZone,
        revision,
      }))
      .sort((left, right) => left.node.localeCompare(right.node)),
    engines: describeEngines(fleet),
    services: describeServices(fleet, now),
    leavingVms: fleet
      .list()
      .filter(({ leaving }) => leaving)
      .map(({ vm }) => vm.name),
    pools: pools
      .list()
      .map(({ selector, gate }) => ({ selector: selector.name, ...gate.describe() })),
    journalBacklog: options.journalBacklog,
    orders: options.orders,
  };
}
