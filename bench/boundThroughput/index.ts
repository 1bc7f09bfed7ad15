/**
 * Upper bound on the token rate of a layer graph.
 */

/** An engine of the graph. */
export interface BoundEngine {
  readonly from: number;
  readonly to: number;
  readonly layersPerSecond: number;
}

const SEARCH_STEPS = 40;

/** Tells whether every layer can be run `rate` times a second, by maximum flow with augmenting paths. */
function canServe(engines: readonly BoundEngine[], layers: number, rate: number): boolean {
  const spare = engines.map(({ layersPerSecond }) => layersPerSecond);
  const given = engines.map(() => new Float64Array(layers));
  const holders = Array.from({ length: layers }, (_, layer) =>
    [...engines.keys()].filter((index) => {
      const engine = engines[index];
      return engine !== undefined && engine.from <= layer && layer < engine.to;
    }),
  );
  /** Finds a way to free work on an engine that holds the layer, over engines visited once. */
  const push = (layer: number, need: number, visited: Set<number>): number => {
    for (const index of holders[layer] ?? []) {
      if (visited.has(index)) continue;
      visited.add(index);
      const own = given[index];
      if (!own) continue;
      let free = Math.min(need, spare[index] ?? 0);
      if (free > 0) spare[index] = (spare[index] ?? 0) - free;
      for (let other = 0; free === 0 && other < layers; other += 1) {
        const held = own[other] ?? 0;
        if (other === layer || held <= 1e-9) continue;
        const moved = push(other, Math.min(need, held), visited);
        own[other] = held - moved;
        free = moved;
      }
      if (free <= 0) continue;
      own[layer] = (own[layer] ?? 0) + free;
      return free;
    }
    return 0;
  };
  for (let layer = 0; layer < layers; layer += 1) {
    let need = rate;
    while (need > 1e-6) {
      const pushed = push(layer, need, new Set());
      if (pushed <= 1e-9) return false;
      need -= pushed;
    }
  }
  return true;
}

/**
 * Computes the highest rate of tokens at which every layer is run once for each token.
 *
 * A maximum flow from engines, bounded by their speed, to the layers that they hold; the rate is
 * found by bisection. Chains, links and queues can only lower it.
 *
 * @param engines - the engines with their speed in layers a second
 * @param layers - number of layers
 * @returns tokens a second
 * @example
 * boundThroughput([{ from: 0, to: 48, layersPerSecond: 4800 }], 48); // 100
 */
export function boundThroughput(engines: readonly BoundEngine[], layers: number): number {
  const total = engines.reduce((sum, { layersPerSecond }) => sum + layersPerSecond, 0);
  let low = 0;
  let high = total / layers;
  if (canServe(engines, layers, high * (1 - 1e-9))) return high;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (canServe(engines, layers, middle)) low = middle;
    else high = middle;
  }
  return low;
}
