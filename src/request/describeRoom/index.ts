/**
 * Room for requests by layer: where memory is tightest, and which layers nobody holds.
 */
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import type { PathCandidate } from '../choosePath/index.js';
import { computeRoom } from '../computeRoom/index.js';

/** Layers that follow each other and have the same room. */
export interface FreeMemorySection {
  readonly range: LayerRange;
  /** Tokens that fit at the endpoint with the most room; undefined when no endpoint holds them. */
  readonly tokens: number | undefined;
}

/**
 * Describes the room of endpoints by layer.
 *
 * @param model - the model
 * @param candidates - endpoints with what they hold and what is used there
 * @returns sections in order of layers
 * @example
 * describeRoom(model, candidates)[0]; // { range: { from: 0, to: 6 }, tokens: 41_200 }
 */
export function describeRoom(
  model: LayeredModel,
  candidates: readonly Pick<PathCandidate, 'kind' | 'range' | 'usedTokenLayers'>[],
): FreeMemorySection[] {
  const tokensByLayer = new Array<number | undefined>(model.layers).fill(undefined);
  for (const { kind, range, usedTokenLayers } of candidates) {
    const width = range.to - range.from;
    const free = computeRoom(model, kind.memoryMegabytes, width) - usedTokenLayers;
    const tokens = Math.max(0, Math.floor(free / width));
    for (let layer = range.from; layer < range.to; layer += 1) {
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
 * Finds the section with the least room, among those that some endpoint holds.
 *
 * @param sections - sections of {@link describeRoom}
 * @returns the section, or undefined when nothing is held
 * @example
 * findTightest(describeRoom(model, candidates))?.tokens;
 */
export function findTightest(
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
