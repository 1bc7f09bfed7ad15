/**
 * Format of the configuration in the platform's store: a head that lists shards.
 */
import {
  headSchema,
  shardSchema,
  type Configuration,
  type ConfigurationHead,
} from '../../../types/configuration/index.js';
import { parseJson } from '../../parseJson/index.js';

/** Platform key of the head. */
export const HEAD_KEY = 'configuration/head';

/**
 * Returns the platform key of a shard.
 *
 * @param digest - digest of the shard's text
 * @returns the key
 * @example
 * nameShardKey(digest);
 */
export function nameShardKey(digest: string): string {
  return `configuration/shard/${digest}`;
}

/**
 * Parses a stored head.
 *
 * @param text - the stored value
 * @returns the head, or undefined when the value is invalid
 * @example
 * readHead(entry.value)?.revision;
 */
export function readHead(text: string): ConfigurationHead | undefined {
  return headSchema.safeParse(parseJson(text)).data;
}

/**
 * Builds a configuration from its head and shards.
 *
 * @param head - the head
 * @param shards - texts of all shards of the head, by digest; others are ignored
 * @returns the configuration
 * @example
 * buildConfiguration(head, shards).objects;
 */
export function buildConfiguration(
  head: ConfigurationHead,
  shards: ReadonlyMap<string, string>,
): Configuration {
  const parts = head.shards.map(({ digest }) =>
    shardSchema.parse(JSON.parse(shards.get(digest) ?? '{}')),
  );
  return {
    revision: head.revision,
    objects: parts.flatMap(({ objects }) => objects),
    selectors: parts.flatMap(({ selectors }) => selectors),
  };
}
