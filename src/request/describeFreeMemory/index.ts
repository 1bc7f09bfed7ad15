/**
 * Free KV-cache memory by layer, and layers that no endpoint hosts.
 */
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import type { PathCandidate } from '../choosePath/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';

/** Adjacent layers with the same free memory. */
export interface FreeMemorySection {
  readonly range: LayerRange;
  /** Free tokens at the endpoint with the most free memory; undefined when no endpoint hosts the layers. */
  readonly tokens: number | undefined;
}

/**
 * Describes the free memory of endpoints by layer.
 *
 * @param model - the model
 * @param candidates - the endpoints with their layers and used memory
 * @returns the sections in order of layers
 * @example
 * describeFreeMemory(model, candidates)[0]; // { range: { from: 0, to: 6 }, tokens: 41_200 }
 */
export function describeFreeMemory(
  model: LayeredModel,
  candidates: readonly Pick<PathCandidate, 'kind' | 'range' | 'usedTokenLayers'>[],
): FreeMemorySection[] {
  const tokensByLayer = new Array<number | undefined>(model.layers).fill(undefined);
  for (const { kind, range, usedTokenLayers } of candidates) {
    const layers = range.to - range.from;
    const free = computeFreeMemory(model, kind.memoryMegabytes, layers) - usedTokenLayers;
    const tokens = Math.max(0, Math.floor(free / layers));
    for (let layer = range.from; layer < Math.min(range.to, model.layers); layer += 1) {
      tokensByLayer[layer] = Math.max(tokensByLayer[layer] ?? 0, tokens);
    }
  }
  const sections: FreeMemorySection[] = [];
  tokensByLayer.forEach((tokens, layer) => {
    const last = sections.at(-1);
    if (last && last.tokens === tokens) {
      sections[sections.length - 1] = { range: { ...last.range, to: layer + 1 }, tokens };
    } else sections.push({ range: { from: layer, to: layer + 1 }, tokens });
  });
  return sections;
}

/**
 * Finds the section with the least free memory among those that some endpoint hosts.
 *
 * @param sections - sections of {@link describeFreeMemory}
 * @returns the section, or undefined when no layer is hosted
 * @example
 * findLeastFreeMemory(describeFreeMemory(model, candidates))?.tokens;
 */
export function findLeastFreeMemory(
  sections: readonly FreeMemorySection[],
): FreeMemorySection | undefined {
  let lowest: FreeMemorySection | undefined;
  for (const section of sections) {
    if (section.tokens === undefined) continue;
    if (!lowest || section.tokens < (lowest.tokens ?? 0)) lowest = section;
  }
  return lowest;
}

/**
 * Formats layer ranges for log lines.
 *
 * @param ranges - the ranges
 * @returns the text
 * @example
 * formatRanges([{ from: 0, to: 6 }]); // '0-6'
 */
export function formatRanges(ranges: readonly LayerRange[]): string {
  return ranges.map(({ from, to }) => `${from}-${to}`).join(' ');
}
