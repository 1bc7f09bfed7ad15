/**
 * Compilation of a configuration into lookup tables for requests.
 */
import type { Configuration, Labels, Selector } from '../../types/configuration/index.js';

/** A client account with its limits. */
export interface Account {
  readonly name: string;
  readonly labels: Labels;
  readonly class: string;
  readonly weight: number;
  /** Maximum rate of accepted requests over all nodes, per second; infinite without a limit. */
  readonly requestsPerSecond: number;
  readonly homeNodes: number;
}

/** A compiled configuration; a new revision replaces all of it at once. */
export interface CompiledConfiguration {
  readonly revision: number;
  readonly accountsByKeyDigest: ReadonlyMap<string, Account>;
  readonly selectors: readonly Selector[];
  readonly labelsByObject: ReadonlyMap<string, Labels>;
}

const DEFAULT_HOME_NODES = 3;

function compileAccount(name: string, labels: Labels): Account {
  const limit = labels['requests-per-second'];
  return {
    name,
    labels,
    class: labels.class ?? 'standard',
    weight: Math.max(Number(labels.weight ?? 1), 0.001),
    requestsPerSecond: limit === undefined ? Number.POSITIVE_INFINITY : Number(limit),
    homeNodes: Number(labels.nodes ?? DEFAULT_HOME_NODES),
  };
}

/**
 * Compiles a configuration.
 *
 * @param configuration - an accepted configuration
 * @returns the lookup tables, which share no mutable state with the configuration
 * @example
 * compileConfiguration(configuration).accountsByKeyDigest.get(digest);
 */
export function compileConfiguration(configuration: Configuration): CompiledConfiguration {
  const accountsByKeyDigest = new Map<string, Account>();
  const labelsByObject = new Map<string, Labels>();
  for (const object of configuration.objects) {
    if (object.kind !== 'account') {
      labelsByObject.set(`${object.kind}/${object.name}`, object.labels);
      continue;
    }
    const digest = object.labels['key-sha256'];
    if (digest === undefined) continue;
    accountsByKeyDigest.set(digest, compileAccount(object.name, object.labels));
  }
  const { revision, selectors } = configuration;
  return { revision, accountsByKeyDigest, selectors, labelsByObject };
}
