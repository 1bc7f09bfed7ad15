/**
 * Fits least-squares lines to measured points.
 */

/** Measured point. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** Line with its maximum error over the fitted points, as a share of the largest cost. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  readonly error: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - at least two points of different size
 * @returns the line with its fit error
 * @example
 * fitLine([{ size: 1, cost: 3 }, { size: 2, cost: 5 }]).slope; // 2
 */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
  const squaredDeviations = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const deviationProducts = points.reduce(
    (sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost),
    0,
  );
  const slope = squaredDeviations === 0 ? 0 : deviationProducts / squaredDeviations;
  const intercept = meanCost - slope * meanSize;
  const largest = Math.max(...points.map(({ cost }) => Math.abs(cost)), Number.MIN_VALUE);
  const worst = Math.max(
    ...points.map(({ size, cost }) => Math.abs(intercept + slope * size - cost)),
  );
  return { intercept, slope, error: worst / largest };
}

/**
 * Evaluates a line at a size.
 *
 * @param line - the line
 * @param size - the size
 * @returns the cost, at least 0
 * @example
 * evaluateLine({ intercept: 1, slope: 2, error: 0 }, 3); // 7
 */
export function evaluateLine(line: Line, size: number): number {
  return Math.max(0, line.intercept + line.slope * size);
}
