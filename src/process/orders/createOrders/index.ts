/**
 * Orders to engines: compares desired with reported states and sends the missing orders.
 */
import {
  MILLISECONDS_PER_SECOND,
  LEASE_MARGIN_MILLISECONDS,
  ORDER_INTERVAL_MILLISECONDS,
} from '../../../constants/index.js';
import type { Endpoint, Fleet } from '../../../connection/createFleet/index.js';
import type { EngineOrder, EngineReport, EngineState } from '../../../types/endpoint/index.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import { decideOrders, matchesState, type OrderTarget } from '../decideOrders/index.js';
import { createClaim } from '../createClaim/index.js';
import { planEngineStates } from '../planEngineStates/index.js';

/** Options of {@link createOrders}. */
export interface CreateOrdersOptions {
  readonly context: NodeContext;
  readonly fleet: Fleet;
  readonly getVersion: () => CompiledConfiguration;
  readonly listLiveNodes: () => readonly string[];
  /** Polls one engine immediately; orders are based on reports that this node has read itself. */
  readonly pollNow: (engine: string) => void;
  /** Maximum rate of loads that the weight store serves, per second. */
  readonly loadsPerSecond: number;
  readonly claimMarginMilliseconds?: number | undefined;
}

/** Status of the orders for operators. */
export interface OrderStatus {
  readonly fencing: number;
  /** Engines whose reported state differs from the desired one. */
  readonly backlog: number;
  readonly blocked: readonly string[];
}

/** Component of a node that sends orders to engines. */
export interface Orders {
  readonly start: () => void;
  readonly describe: () => OrderStatus;
}

const CLAIM_KEY = 'orders/claim';
const ORDER_TIMEOUT_MILLISECONDS = 2_000;
const ORDER_PENDING_MILLISECONDS = 3_000;
const MAXIMUM_REPORT_AGE_MILLISECONDS = 5_000;

function hasReport(endpoint: Endpoint): endpoint is Endpoint & { report: EngineReport } {
  return endpoint.kind === 'engine' && endpoint.report !== undefined;
}

/**
 * Creates the component of a node that sends orders to engines.
 *
 * One node at a time sends orders, under a claim. Rendezvous hashing selects the node that tries
 * to acquire the claim, only to avoid needless contention. An order names the complete state of an
 * engine, so that the next comparison corrects the effect of a late order.
 *
 * @param options - the context, the fleet, the active version and the weight store's rate
 * @returns the component, to be started
 * @example
 * createOrders({ context, fleet, getVersion, listLiveNodes, pollNow, loadsPerSecond: 2 }).start();
 */
export function createOrders(options: CreateOrdersOptions): Orders {
  const { context, fleet } = options;
  const { claimMarginMilliseconds: marginMilliseconds } = options;
  const claim = createClaim({ context, key: CLAIM_KEY, marginMilliseconds });
  const busyUntil = new Map<string, number>();
  /**
   * Fencing number, fleet epoch and configuration revision for which all engines had their desired
   * state; the comparison is skipped while they are the same.
   */
  let settledKey = '';
  let nextLoadAt = 0;
  let status: OrderStatus = { fencing: 0, backlog: 0, blocked: [] };

  const countAllowedOrders = (): number => {
    const interval = MILLISECONDS_PER_SECOND / options.loadsPerSecond;
    const due = context.now() - nextLoadAt;
    if (due < 0) return 0;
    return Math.min(Math.floor(due / interval) + 1, Math.ceil(options.loadsPerSecond));
  };
  const consumeAllowedOrders = (count: number): void => {
    const interval = MILLISECONDS_PER_SECOND / options.loadsPerSecond;
    nextLoadAt = Math.max(nextLoadAt, context.now() - MILLISECONDS_PER_SECOND) + count * interval;
  };
  /**
   * Returns whether no order of a former claim holder can still reach the engine.
   *
   * An engine that does not check fencing gets no order until such orders have timed out.
   */
  const isSafe = (endpoint: Endpoint & { report: EngineReport }): boolean =>
    endpoint.report.checksFencing ||
    context.now() - claim.acquiredAt() >= LEASE_MARGIN_MILLISECONDS + ORDER_TIMEOUT_MILLISECONDS;
  const createOrderTarget = (endpoint: Endpoint & { report: EngineReport }): OrderTarget => ({
    name: endpoint.name,
    report: endpoint.report,
    isBusy:
      (busyUntil.get(endpoint.name) ?? 0) > context.now() ||
      context.now() - endpoint.reportedAt > MAXIMUM_REPORT_AGE_MILLISECONDS ||
      !isSafe(endpoint),
  });
  const send = (name: string, state: EngineState): void => {
    const fencing = claim.fencing();
    const endpoint = fleet.find(name);
    if (fencing === undefined || !endpoint) return;
    busyUntil.set(name, context.now() + ORDER_PENDING_MILLISECONDS);
    const order: EngineOrder = { id: context.nextId('order'), fencing, state };
    context.count('orders_sent');
    context.log('info', 'order-sent', { engine: name, fencing, version: state.version });
    context.callEndpoint(
      {
        address: endpoint.vm.address,
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
      },
      (result) => {
        const isAccepted = result.kind === 'reply' && result.status < 300;
        if (isAccepted) return;
        context.log('warn', 'order-not-taken', { engine: name, fencing });
      },
    );
  };
  const runPass = (): void => {
    const isOwner = findOwner('orders', options.listLiveNodes()) === context.node;
    claim.update(isOwner);
    const fencing = claim.fencing();
    if (fencing === undefined) {
      status = { fencing: 0, backlog: 0, blocked: [] };
      return;
    }
    const comparedKey = `${fencing.toString()}/${fleet.epoch().toString()}/${options.getVersion().revision.toString()}`;
    if (comparedKey === settledKey) return;
    settledKey = '';
    const desired = planEngineStates(options.getVersion().selectors, fleet.list());
    const engines = fleet.list().filter(hasReport);
    const differing = engines.filter(({ name, report }) => {
      const state = desired.get(name);
      return state !== undefined && !matchesState(report, state);
    });
    for (const { name } of differing) options.pollNow(name);
    const backlog = differing.length;
    const { orders, blocked } = decideOrders({
      desired,
      engines: engines.map(createOrderTarget),
      maximumOrders: countAllowedOrders(),
    });
    status = { fencing, backlog, blocked };
    if (backlog === 0) settledKey = comparedKey;
    if (orders.length === 0) return;
    consumeAllowedOrders(orders.length);
    for (const { engine, state } of orders) send(engine, state);
  };
  const run = (): void => {
    runPass();
    context.schedule(ORDER_INTERVAL_MILLISECONDS, run);
  };

  return {
    start: () => {
      context.schedule(context.random() * ORDER_INTERVAL_MILLISECONDS, run);
    },
    describe: () => status,
  };
}
