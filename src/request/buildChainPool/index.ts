/**
 * Tables from which a chain (a pipeline of engines that together run all layers) is chosen.
 */

/** An engine that hosts the layers from `from` (inclusive) to `to` (exclusive). */
export interface PoolEngine {
  readonly name: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly availabilityZone: string;
  readonly layersPerSecond: number;
}

/** Cost of a link from one availability zone to another. */
export interface LinkCost {
  readonly latencyMilliseconds: number;
  /** Transfer time of the activations of one prompt token, in milliseconds. */
  readonly perPromptTokenMilliseconds: number;
}

/** Options of {@link buildChainPool}. */
export interface BuildChainPoolOptions {
  readonly layers: number;
  readonly engines: readonly PoolEngine[];
  readonly findLink: (fromZone: string, toZone: string) => LinkCost;
  /** Availability zone of the node that chooses the chain. */
  readonly homeZone: string;
}

/**
 * Tables of one pool of engines, indexed by engine position.
 *
 * A boundary is a layer at which some engine begins or ends; a segment lies between two adjacent
 * boundaries. `cost`, `previousEngine`, `boundaryCost` and `boundaryEngine` are scratch space that a
 * choice overwrites, so that a choice allocates nothing that grows with the pool.
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
  /** Offset of the first engine of each segment in `segmentEngines`. */
  readonly segmentStart: Int32Array;
  /** Positions of the engines that host each segment, segment after segment. */
  readonly segmentEngines: Int32Array;
  /** Cost of entering each engine, in milliseconds; set before a choice. */
  readonly entryCost: Float64Array;
  /** Cost of one layer on each engine, in milliseconds; set before a choice. Infinity excludes the engine. */
  readonly layerCost: Float64Array;
  /** Lowest cost up to the end of each segment on each engine, in milliseconds. */
  readonly cost: Float64Array;
  /** Engine that runs the segment before, for each segment and engine. */
  readonly previousEngine: Int32Array;
  /** Lowest cost of reaching each boundary in each availability zone, in milliseconds. */
  readonly boundaryCost: Float64Array;
  /** Engine of that lowest cost. */
  readonly boundaryEngine: Int32Array;
}

/**
 * Builds the tables of one pool.
 *
 * @param options - the engines, the number of layers, and the links between availability zones
 * @returns the tables and their scratch space
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
  /** Positions in `engines` of the engines that host each segment. */
  const enginePositionsBySegment = Array.from({ length: segments }, (_, segment) =>
    [...engines.keys()].filter((index) => {
      const engine = engines[index];
      if (!engine) return false;
      return findBoundary(engine.from) <= segment && segment < findBoundary(engine.to);
    }),
  );
  const segmentStart = new Int32Array(segments + 1);
  enginePositionsBySegment.forEach((list, segment) => {
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
    segmentEngines: Int32Array.from(enginePositionsBySegment.flat()),
    entryCost: new Float64Array(engines.length),
    layerCost: new Float64Array(engines.length),
    cost: new Float64Array(cells),
    previousEngine: new Int32Array(cells),
    boundaryCost: new Float64Array((segments + 1) * zones.length),
    boundaryEngine: new Int32Array((segments + 1) * zones.length),
  };
}
