/**
 * The measurements by name.
 */
import { measureRoutingCost } from './routingCost/index.js';
import { measurePrefix, measureThroughput } from './throughput/index.js';
import type { Measurement } from './types.js';

/** The measurements that `npm run bench -- NAME` reruns. */
export const MEASUREMENTS: Readonly<Record<string, () => Measurement | Promise<Measurement>>> = {
  'routing-cost': measureRoutingCost,
  throughput: measureThroughput,
  prefix: measurePrefix,
};
