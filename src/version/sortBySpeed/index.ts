/**
 * Order of endpoints by speed.
 */
import type { PlacementCandidate } from '../../types/placement/index.js';

/**
 * Sorts endpoints from the fastest kind of accelerator to the slowest, then by id.
 *
 * @param endpoints - the endpoints
 * @returns a new sorted list
 * @example
 * sortBySpeed(zone)[0];
 */
export function sortBySpeed(endpoints: readonly PlacementCandidate[]): PlacementCandidate[] {
  return [...endpoints].sort(
    (left, right) => left.kind.pace - right.kind.pace || left.id.localeCompare(right.id),
  );
}
