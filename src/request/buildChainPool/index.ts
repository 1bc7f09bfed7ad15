/**
 * Tables over which chains of layers are chosen.
 */

/** An engine as a chain choice sees it: it holds the layers from `from` up to `to`. */
export interface PoolEngine {
  readonly name: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly availabilityZone: string;
  readonly layersPerSecond: number;
}

/** Cost of crossing from one availability zone to another. */
export interface LinkCost {
  readonly latencyMilliseconds: number;
  /** Time that the activations of one prompt token take on the link, in milliseconds. */
  readonly perPromptTokenMilliseconds: number;
}

/** Options of {@link buildChainPool}. */
export interface BuildChainPoolOptions {
  readonly layers: number;
  readonly engines: readonly PoolEngine[];
  readonly findLink: (fromZone: string, toZone: string) => LinkCost;
  /** Availability zone of the node that chooses. */
  readonly homeZone: string;
}

/**
 * Tables of one pool of engines, indexed by engine position. `cost`, `parent`, `done` and
 * `doneEngine` are scratch space that a choice overwrites, so that a choice allocates nothing that
 * grows with the pool.
 */
export interface ChainPool {
  readonly layers: number;
  readonly engines: readonly PoolEngine[];
  readonly boundaries: Int32Array;
  readonly fromBoundary: Int32Array;
  readonly toBoundary: Int32Array;
  readonly zone: Int32Array;
  readonly zones: readonly string[];
  readonly homeZone: number;
  readonly linkLatency: Float64Array;
  readonly linkPerPromptToken: Float64Array;
  /** Engines that hold the segment after each boundary: positions in `segmentEngines`. */
  readonly segmentStart: Int32Array;
  readonly segmentEngines: Int32Array;
  /** Set by the caller before a choice: cost of entering the engine, in milliseconds. */
  readonly entryCost: Float64Array;
  /** Set by the caller before a choice: cost of each layer, in milliseconds; infinite excludes. */
  readonly layerCost: Float64Array;
  readonly cost: Float64Array;
  readonly previousEngine: Int32Array;
  readonly boundaryCost: Float64Array;
  readonly boundaryEngine: Int32Array;
}

/**
 * Builds the tables of one pool.
 *
 * @param options - the engines, the number of layers, and the links between availability zones
 * @returns the tables with scratch space for choices
 * @example
 * const pool = buildChainPool({ layers: 48, engines, findLink, homeZone: 'mission' });
 */
export function buildChainPool(options: BuildChainPoolOptions): ChainPool {
  const { layers, homeZone, findLink } = options;
  const engines = options.engines.filter(({ from, to }) => from < to && to <= layers && from >= 0);
  const boundaries = Int32Array.from(
    new Set([0, layers, ...engines.flatMap(({ from, to }) => [from, to])]),
  ).sort();
  const position = new Map([...boundaries].map((layer, index) => [layer, index]));
  const findBoundary = (layer: number): number => position.get(layer) ?? 0;
  const zones = [...new Set([homeZone, ...engines.map((engine) => engine.availabilityZone)])];
  const segments = boundaries.length - 1;
  const enginesBySegment = Array.from({ length: segments }, (_, segment) =>
    [...engines.keys()].filter((index) => {
      const engine = engines[index];
      if (!engine) return false;
      return findBoundary(engine.from) <= segment && segment < findBoundary(engine.to);
    }),
  );
  const segmentStart = new Int32Array(segments + 1);
  enginesBySegment.forEach((list, segment) => {
    segmentStart[segment + 1] = (segmentStart[segment] ?? 0) + list.length;
  });
  const links = zones.flatMap((from) => zones.map((to) => findLink(from, to)));
  const cells = segments * engines.length;
  return {
    layers,
    engines,
    boundaries,
    fromBoundary: Int32Array.from(engines, (engine) => findBoundary(engine.from)),
    toBoundary: Int32Array.from(engines, (engine) => findBoundary(engine.to)),
    zone: Int32Array.from(engines, (engine) => zones.indexOf(engine.availabilityZone)),
    zones,
    homeZone: 0,
    linkLatency: Float64Array.from(links, (link) => link.latencyMilliseconds),
    linkPerPromptToken: Float64Array.from(links, (link) => link.perPromptTokenMilliseconds),
    segmentStart,
    segmentEngines: Int32Array.from(enginesBySegment.flat()),
    entryCost: new Float64Array(engines.length),
    layerCost: new Float64Array(engines.length),
    cost: new Float64Array(cells),
    previousEngine: new Int32Array(cells),
    boundaryCost: new Float64Array((segments + 1) * zones.length),
    boundaryEngine: new Int32Array((segments + 1) * zones.length),
  };
}
