/**
 * Assignment of layer ranges to the engines of a selector.
 */
import type { Selector } from '../../types/configuration/index.js';
import type { EngineState } from '../../types/endpoint/index.js';

/** An engine to which layers can be assigned. */
export interface PlannedEngine {
  readonly name: string;
  /** Maximum number of layers that the engine can host. */
  readonly capacity: number;
  /** Range set by an operator's label, if any. */
  readonly fixed?: { readonly from: number; readonly to: number };
  /** The state that the engine reports, if any. */
  readonly reported?: EngineState;
}

type ModelSelector = Selector & { readonly serve: { readonly kind: 'model' } };

interface Range {
  readonly from: number;
  readonly to: number;
}

function readValidRange(engine: PlannedEngine, layers: number): Range | undefined {
  const { reported, capacity } = engine;
  if (!reported || reported.to <= reported.from) return undefined;
  if (reported.to > layers || reported.to - reported.from > capacity) return undefined;
  return { from: reported.from, to: reported.to };
}

function addCopies(copies: number[], range: Range): void {
  for (let layer = range.from; layer < range.to; layer += 1)
    copies[layer] = (copies[layer] ?? 0) + 1;
}

function findFewestCopies(copies: readonly number[], capacity: number): Range {
  const width = Math.min(capacity, copies.length);
  let best = 0;
  let fewestCopies = Number.POSITIVE_INFINITY;
  for (let slot = 0; slot * width < copies.length; slot += 1) {
    const from = Math.min(slot * width, copies.length - width);
    const copyCount = copies.slice(from, from + width).reduce((sum, count) => sum + count, 0);
    if (copyCount >= fewestCopies) continue;
    fewestCopies = copyCount;
    best = from;
  }
  return { from: best, to: best + width };
}

/**
 * Plans the desired state of each engine of a selector.
 *
 * A range set by label takes precedence; otherwise an engine keeps a valid range that it reports;
 * an engine without a range is assigned the layers with the fewest copies. The plan depends only
 * on the arguments.
 *
 * @param selector - a selector that serves a model
 * @param engines - the engines that the selector matches
 * @returns the state of each engine, by engine name
 * @example
 * planLayers(selector, [{ name: 'engine-1', capacity: 16 }]).get('engine-1');
 */
export function planLayers(
  selector: ModelSelector,
  engines: readonly PlannedEngine[],
): Map<string, EngineState> {
  const { model, version, adapter, layers } = selector.serve;
  const adapters = adapter === '' ? [] : [adapter];
  const copies = Array.from({ length: layers }, () => 0);
  const plan = new Map<string, EngineState>();
  const ordered = [...engines].sort((left, right) => left.name.localeCompare(right.name));
  const assign = (engine: PlannedEngine, range: Range): void => {
    addCopies(copies, range);
    plan.set(engine.name, { model, version, adapters, ...range });
  };
  for (const engine of ordered) {
    const range = engine.fixed ?? readValidRange(engine, layers);
    if (range) assign(engine, range);
  }
  for (const engine of ordered) {
    if (plan.has(engine.name)) continue;
    assign(engine, findFewestCopies(copies, engine.capacity));
  }
  return plan;
}
