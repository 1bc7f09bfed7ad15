/**
 * Text format of a path for log lines.
 */
import type { PathHop } from '../../../types/site/index.js';

/**
 * Formats a path as its endpoints with their layer ranges.
 *
 * @param hops - the hops in order
 * @returns the text
 * @example
 * formatHops([{ endpoint: 'i-1', address: '10.0.0.1:80', range: { from: 0, to: 8 } }]); // 'i-1=0-8'
 */
export function formatHops(hops: readonly PathHop[]): string {
  return hops.map(({ endpoint, range }) => `${endpoint}=${range.from}-${range.to}`).join(' ');
}
