/**
 * Decision on the orders to send to engines.
 */
import type { EngineReport, EngineState } from '../../../types/endpoint/index.js';

/** An engine that can receive orders. */
export interface OrderTarget {
  readonly name: string;
  readonly report: EngineReport;
  /**
   * True while an earlier order may be in progress, the report is too old, or an order of a former
   * claim holder can still reach the engine.
   */
  readonly isBusy: boolean;
}

/** Options of {@link decideOrders}. */
export interface DecideOrdersOptions {
  readonly desired: ReadonlyMap<string, EngineState>;
  readonly engines: readonly OrderTarget[];
  /** Maximum number of orders to send now. */
  readonly maximumOrders: number;
}

/** The orders to send, and the engines that must wait because they host the last copy of a layer. */
export interface OrderDecision {
  readonly orders: readonly { readonly engine: string; readonly state: EngineState }[];
  readonly blocked: readonly string[];
}

/**
 * Returns whether an engine reports its desired state.
 *
 * @param report - the engine's report
 * @param state - the desired state
 * @returns true when nothing has to change
 * @example
 * matchesState(report, state);
 */
export function matchesState(report: EngineReport, state: EngineState): boolean {
  return (
    report.model === state.model &&
    report.version === state.version &&
    report.from === state.from &&
    report.to === state.to &&
    [...report.adapters].sort().join() === [...state.adapters].sort().join()
  );
}

function hostsLayer(report: EngineReport, model: string, version: string, layer: number): boolean {
  if (report.loading || report.leaving) return false;
  if (report.model !== model || report.version !== version) return false;
  return report.from <= layer && layer < report.to;
}

function hostsRange(hosts: readonly EngineReport[], range: EngineState): boolean {
  for (let layer = range.from; layer < range.to; layer += 1) {
    const isHosted = hosts.some((report) => hostsLayer(report, range.model, range.version, layer));
    if (!isHosted) return false;
  }
  return true;
}

/** Returns whether the desired variant of a model is ready on every planned layer. */
function isDesiredVariantReady(
  model: string,
  desired: ReadonlyMap<string, EngineState>,
  hosts: readonly EngineReport[],
): boolean {
  const planned = [...desired.values()].filter((state) => state.model === model);
  return planned.length === 0 || planned.every((state) => hostsRange(hosts, state));
}

/** Returns whether a variant is ready on every layer, so that it can serve requests. */
function isServable(
  { model, version, adapters }: EngineState,
  desired: ReadonlyMap<string, EngineState>,
  hosts: readonly EngineReport[],
): boolean {
  const ends = [...desired.values()].filter((state) => state.model === model);
  const to = Math.max(0, ...ends.map((state) => state.to));
  return hostsRange(hosts, { model, version, adapters, from: 0, to });
}

function isEmpty(report: EngineReport): boolean {
  return report.from >= report.to || report.model === '';
}

function keepsLayersAvailable(
  engine: OrderTarget,
  state: EngineState,
  others: readonly EngineReport[],
  desired: ReadonlyMap<string, EngineState>,
): boolean {
  const { report } = engine;
  if (isEmpty(report)) return true;
  const { model, version, adapters, from, to } = report;
  const range = { model, version, adapters, from, to };
  if (!isServable(range, desired, [...others, report])) return true;
  const isSameRange = state.model === model && state.version === version;
  if (isSameRange && state.from === from && state.to === to) return true;
  if (hostsRange(others, range)) return true;
  return isDesiredVariantReady(model, desired, others);
}

/**
 * Decides which orders to send now.
 *
 * Desired and reported states are compared; an engine gets one order at a time, which names its
 * complete state. An order that unloads layers from their last ready engine is blocked until another
 * engine hosts them or the desired variant of the model is ready on every layer. A variant that cannot
 * be served, because one of its layers has no engine, is not protected. Engines without layers get
 * orders first.
 *
 * @param options - desired states, reported states and the maximum number of orders
 * @returns the orders and the names of the blocked engines
 * @example
 * decideOrders({ desired, engines, maximumOrders: 2 }).orders;
 */
export function decideOrders(options: DecideOrdersOptions): OrderDecision {
  const { desired, engines, maximumOrders } = options;
  const orders: { engine: string; state: EngineState }[] = [];
  const blocked: string[] = [];
  const changing = new Set(engines.filter(({ isBusy }) => isBusy).map(({ name }) => name));
  const ordered = [...engines].sort(
    (left, right) =>
      Number(isEmpty(right.report)) - Number(isEmpty(left.report)) ||
      left.name.localeCompare(right.name),
  );
  for (const engine of ordered) {
    const state = desired.get(engine.name);
    if (!state || engine.isBusy || engine.report.loading || engine.report.leaving) continue;
    if (matchesState(engine.report, state)) continue;
    const others = engines
      .filter(({ name }) => name !== engine.name && !changing.has(name))
      .map(({ report }) => report);
    if (!keepsLayersAvailable(engine, state, others, desired)) {
      blocked.push(engine.name);
      continue;
    }
    if (orders.length >= maximumOrders) continue;
    orders.push({ engine: engine.name, state });
    changing.add(engine.name);
  }
  return { orders, blocked };
}
