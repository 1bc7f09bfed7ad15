/**
 * Registry of the measurements.
 */
import { measureBookings, measureOutage } from './bookings/index.js';
import { measureConfiguration } from './configuration/index.js';
import { measureJoining } from './joining/index.js';
import { measureLimits, measureRetryBudget } from './limits/index.js';
import { measureLoadBalance } from './loadBalance/index.js';
import { measureLargeMembership, measureMembership } from './membership/index.js';
import { measureFairness, measureOverload } from './overload/index.js';
import { measureFalseAlarms, measureRecovery } from './recovery/index.js';
import { measureIdle, measureRolling } from './rolling/index.js';
import { measureRelay } from './relay/index.js';
import { measureRoles } from './roles/index.js';
import { measureRoutingCost } from './routingCost/index.js';
import {
  measureSiteAdmission,
  measureSiteRepair,
  measureSiteSlow,
  measureSiteStore,
} from './siteDays/index.js';
import { measureSiteBudget } from './siteBudget/index.js';
import { measureSiteLogs } from './siteLogs/index.js';
import { measureSiteProcessor } from './siteProcessor/index.js';
import { measureSitePlacement } from './sitePlacement/index.js';
import { measurePrefix, measureThroughput } from './throughput/index.js';
import type { Measurement } from './types.js';

/** Measurements by the name given to `npm run bench -- NAME`. */
export const MEASUREMENTS: Readonly<Record<string, () => Measurement | Promise<Measurement>>> = {
  'routing-cost': measureRoutingCost,
  throughput: measureThroughput,
  prefix: measurePrefix,
  overload: measureOverload,
  fairness: measureFairness,
  limits: measureLimits,
  'load-balance': measureLoadBalance,
  'retry-budget': measureRetryBudget,
  recovery: measureRecovery,
  'false-alarms': measureFalseAlarms,
  joining: measureJoining,
  bookings: measureBookings,
  outage: measureOutage,
  configuration: measureConfiguration,
  membership: measureMembership,
  'membership-350': measureLargeMembership,
  relay: measureRelay,
  roles: measureRoles,
  rolling: measureRolling,
  idle: measureIdle,
  'site-placement': measureSitePlacement,
  'site-admission': measureSiteAdmission,
  'site-repair': measureSiteRepair,
  'site-slow': measureSiteSlow,
  'site-store': measureSiteStore,
  'site-budget': measureSiteBudget,
  'site-logs': measureSiteLogs,
  'site-processor': measureSiteProcessor,
};
