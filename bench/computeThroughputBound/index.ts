/**
 * Computes an upper bound on the token rate of a layer graph.
 */

/** Engine of the layer graph. */
export interface BoundEngine {
  readonly from: number;
  readonly to: number;
  readonly layersPerSecond: number;
}

const SEARCH_STEPS = 40;

/**
 * Returns whether every layer can run `rate` times per second, by maximum flow with augmenting
 * paths.
 */
function canSustain(engines: readonly BoundEngine[], layers: number, rate: number): boolean {
  const spareRates = engines.map(({ layersPerSecond }) => layersPerSecond);
  const assignedRates = engines.map(() => new Float64Array(layers));
  const hosts = Array.from({ length: layers }, (_, layer) =>
    [...engines.keys()].filter((index) => {
      const engine = engines[index];
      return engine !== undefined && engine.from <= layer && layer < engine.to;
    }),
  );
  /**
   * Assigns a rate of the layer to an engine that hosts it; moves other layers of that engine to
   * other engines when it has no spare rate. Visits every engine once. Returns the rate that was
   * assigned.
   */
  const assignRate = (layer: number, need: number, visited: Set<number>): number => {
    for (const index of hosts[layer] ?? []) {
      if (visited.has(index)) continue;
      visited.add(index);
      const engineRates = assignedRates[index];
      if (!engineRates) continue;
      let free = Math.min(need, spareRates[index] ?? 0);
      if (free > 0) spareRates[index] = (spareRates[index] ?? 0) - free;
      for (let other = 0; free === 0 && other < layers; other += 1) {
        const assigned = engineRates[other] ?? 0;
        if (other === layer || assigned <= 1e-9) continue;
        const moved = assignRate(other, Math.min(need, assigned), visited);
        engineRates[other] = assigned - moved;
        free = moved;
      }
      if (free <= 0) continue;
      engineRates[layer] = (engineRates[layer] ?? 0) + free;
      return free;
    }
    return 0;
  };
  for (let layer = 0; layer < layers; layer += 1) {
    let need = rate;
    while (need > 1e-6) {
      const pushed = assignRate(layer, need, new Set());
      if (pushed <= 1e-9) return false;
      need -= pushed;
    }
  }
  return true;
}

/**
 * Computes the maximum token rate at which every layer runs once for each token.
 *
 * Uses a maximum flow from the engines, limited by their speed, to the layers that they host, and
 * finds the rate by bisection. Chains, links and queues can only lower the rate.
 *
 * @param engines - the engines with their speed in layers per second
 * @param layers - number of layers
 * @returns the bound in tokens per second
 * @example
 * computeThroughputBound([{ from: 0, to: 48, layersPerSecond: 4800 }], 48); // 100
 */
export function computeThroughputBound(engines: readonly BoundEngine[], layers: number): number {
  const total = engines.reduce((sum, { layersPerSecond }) => sum + layersPerSecond, 0);
  let low = 0;
  let high = total / layers;
  if (canSustain(engines, layers, high * (1 - 1e-9))) return high;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (canSustain(engines, layers, middle)) low = middle;
    else high = middle;
  }
  return low;
}
