/**
 * Computes the figures of the capacity page from the committed slopes.
 */
import { z } from 'zod';
import type { Row } from '../../src/commands/printOutput/index.js';
import { fitLine, evaluateLine, type Line } from '../fitLine/index.js';
import { round } from '../types.js';

const pointSchema = z.object({ size: z.number(), cost: z.number() });

/** Schema of the slopes file: the points of each role with the command that prints them. */
export const slopesSchema = z.record(
  z.string(),
  z.object({
    command: z.string(),
    size: z.string(),
    cost: z.string(),
    points: z.array(pointSchema).min(3),
  }),
);
export type Slopes = z.infer<typeof slopesSchema>;

/** Size of an installation. */
export interface Installation {
  readonly nodes: number;
  readonly engines: number;
  readonly models: number;
  readonly accounts: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly changesPerDay: number;
  readonly bookingsPerSecond: number;
}

/** Current size of each user's installation. */
export const CURRENT_INSTALLATION: Installation = {
  nodes: 6,
  engines: 43,
  models: 1,
  accounts: 10,
  requestsPerSecond: 45,
  tokensPerSecond: 1_060,
  changesPerDay: 20,
  bookingsPerSecond: 5,
};

/** Size that the system is designed for. */
export const TARGET_INSTALLATION: Installation = {
  nodes: 350,
  engines: 650,
  models: 38,
  accounts: 24_000,
  requestsPerSecond: 2_900,
  tokensPerSecond: 1_100_000,
  changesPerDay: 1_500,
  bookingsPerSecond: 50,
};

const SECONDS_PER_DAY = 86_400;
const MICROSECONDS_PER_PERCENT = 10_000;
const MESSAGES_PER_SECOND = 4;
/**
 * Passes of the node that holds the orders claim: five for each change of configuration or VM, none
 * without changes.
 */
const ORDER_PASSES_PER_SECOND = 0.1;
const ADDRESS_EXPIRY_SECONDS = 30;
const ACTIVE_ACCOUNT_SHARE = 0.25;

function fitSlope(slopes: Slopes, name: string): Line {
  const entry = slopes[name];
  if (!entry) throw new Error(`the slopes file has no entry named ${name}`);
  return fitLine(entry.points);
}

/**
 * Formats the lines that are fitted to the slopes.
 *
 * @param slopes - the committed slopes
 * @returns one row per slope
 * @example
 * describeSlopes(slopes)[0];
 */
export function describeSlopes(slopes: Slopes): Row[] {
  return Object.entries(slopes).map(([name, { command, size, cost, points }]) => {
    const { intercept, slope, error } = fitLine(points);
    return {
      slope: name,
      'by size': size,
      cost,
      'at 0': round(intercept, 3),
      'each more': Number(slope.toPrecision(3)),
      'fit error %': round(error * 100),
      command,
    };
  });
}

/**
 * Computes the cost of each role on one node at a size of the installation.
 *
 * @param slopes - the committed slopes
 * @param size - the size of the installation
 * @returns one row per role: processor in percent of a core of one node, memory of one node in MB,
 *   bytes per second
 * @example
 * computeRoleCosts(slopes, installation);
 */
export function computeRoleCosts(slopes: Slopes, size: Installation): Row[] {
  const percent = (microsecondsPerSecond: number): number =>
    round(microsecondsPerSecond / MICROSECONDS_PER_PERCENT, 3);
  const poolEngines = size.engines / size.models;
  const choices = size.requestsPerSecond / size.nodes;
  const polls = size.engines / size.nodes;
  const answers = (size.accounts * ACTIVE_ACCOUNT_SHARE) / ADDRESS_EXPIRY_SECONDS / size.nodes;
  const changes = size.changesPerDay / SECONDS_PER_DAY;
  const messageCost = fitSlope(slopes, 'messages').slope / 2;
  const pollCost = fitSlope(slopes, 'polls').slope / 2;
  const applyMilliseconds = evaluateLine(fitSlope(slopes, 'configurationApply'), size.accounts);
  const gossip = fitSlope(slopes, 'gossipProcessor');
  const decisions = Math.max(evaluateLine(gossip, size.nodes), 0.12);
  return [
    {
      role: 'configuration',
      'processor %': percent(changes * applyMilliseconds * 1_000),
      'memory MB': round(evaluateLine(fitSlope(slopes, 'configurationMemory'), size.accounts)),
      'bytes/s': 0,
    },
    {
      role: 'membership and gossip, decisions',
      'processor %': round(decisions, 3),
      'memory MB': 0.62,
      'bytes/s': Math.round(evaluateLine(fitSlope(slopes, 'gossipBytes'), size.nodes)),
    },
    {
      role: 'membership and gossip, messages',
      'processor %': percent(MESSAGES_PER_SECOND * messageCost),
      'memory MB': 0,
      'bytes/s': 0,
    },
    {
      role: 'engine polling',
      'processor %': percent(polls * pollCost),
      'memory MB': 0,
      'bytes/s': Math.round(polls * 400),
    },
    {
      role: 'orders, on the one holder',
      'processor %': percent(
        ORDER_PASSES_PER_SECOND * evaluateLine(fitSlope(slopes, 'orders'), size.engines),
      ),
      'memory MB': 0,
      'bytes/s': 0,
    },
    {
      role: 'address answers',
      'processor %': percent(answers * evaluateLine(fitSlope(slopes, 'addresses'), size.nodes)),
      'memory MB': 0,
      'bytes/s': Math.round(answers * 500),
    },
    {
      role: 'chain choice (request work)',
      'processor %': percent(choices * evaluateLine(fitSlope(slopes, 'choice'), poolEngines)),
      'memory MB': 0,
      'bytes/s': 0,
    },
    {
      role: 'caller front and token relay (request work)',
      'processor %': round(
        fitSlope(slopes, 'relay').slope * (size.tokensPerSecond / size.nodes),
        1,
      ),
      'memory MB': 0,
      'bytes/s': 0,
    },
  ];
}

/**
 * Sums the costs of the control roles of one node.
 *
 * @param roles - rows of {@link computeRoleCosts}
 * @returns the sums over the rows that are not request work
 * @example
 * sumControlCosts(computeRoleCosts(slopes, installation));
 */
export function sumControlCosts(roles: readonly Row[]): {
  processor: number;
  memory: number;
  bytes: number;
} {
  const control = roles.filter(({ role }) => !String(role).includes('request work'));
  const add = (column: string): number =>
    control.reduce((sum, row) => sum + Number(row[column] ?? 0), 0);
  return {
    processor: round(add('processor %'), 2),
    memory: round(add('memory MB')),
    bytes: Math.round(add('bytes/s')),
  };
}

/**
 * Computes the calls to the platform store per second by kind.
 *
 * @param slopes - the committed slopes
 * @param size - the size of the installation
 * @returns reads and writes per second of the entire installation; a waiting watch counts as one
 *   read
 * @example
 * computeStoreCalls(slopes, installation).writes;
 */
export function computeStoreCalls(
  slopes: Slopes,
  size: Installation,
): { reads: number; writes: number } {
  const changes = size.changesPerDay / SECONDS_PER_DAY;
  const reads =
    evaluateLine(fitSlope(slopes, 'storeReads'), size.nodes) + changes * (size.nodes + 4);
  const writes =
    evaluateLine(fitSlope(slopes, 'storeWrites'), size.nodes) +
    evaluateLine(fitSlope(slopes, 'bookingWrites'), size.bookingsPerSecond) +
    changes * 4;
  return { reads: round(reads), writes: round(writes) };
}
