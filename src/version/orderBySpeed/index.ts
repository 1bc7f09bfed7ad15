/**
 * Order of endpoints for plans.
 */
import type { PlacementCandidate } from '../../types/placement/index.js';

/**
 * Orders endpoints from the fastest kind to the slowest.
 *
 * @param endpoints - the endpoints
 * @returns a new list
 * @example
 * orderBySpeed(zone)[0];
 */
export function orderBySpeed(endpoints: readonly PlacementCandidate[]): PlacementCandidate[] {
  return [...endpoints].sort(
    (left, right) => left.kind.pace - right.kind.pace || left.id.localeCompare(right.id),
  );
}
