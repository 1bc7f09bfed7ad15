/**
 * Division of a configuration into immutable stored shards.
 */
import { MAXIMUM_SHARD_BYTES } from '../../constants/index.js';
import { hashText } from '../../process/hashRendezvous/index.js';
import type { Configuration, ConfigurationShard } from '../../types/configuration/index.js';
import { digestText } from '../digestText/index.js';

/** A stored shard: its name, its text and the digest of the text. */
export interface StoredShard {
  readonly name: string;
  readonly digest: string;
  readonly text: string;
}

const SELECTOR_SHARD = 'selectors';

function buildShards(configuration: Configuration, count: number): StoredShard[] {
  const shards = new Map<string, ConfigurationShard>();
  shards.set(SELECTOR_SHARD, { objects: [], selectors: configuration.selectors });
  for (const object of configuration.objects) {
    const position = hashText(`${object.kind}/${object.name}`) % count;
    const name = `objects-${count.toString()}-${position.toString()}`;
    const shard = shards.get(name) ?? { objects: [], selectors: [] };
    shard.objects.push(object);
    shards.set(name, shard);
  }
  return [...shards.entries()].map(([name, shard]) => {
    const text = JSON.stringify(shard);
    return { name, digest: digestText(text), text };
  });
}

/**
 * Splits a configuration into shards that do not exceed the maximum stored size.
 *
 * Objects are assigned by a hash of their name, so that a change of one object rewrites one shard.
 * The number of shards is a power of two and doubles until each shard fits.
 *
 * @param configuration - the configuration to split
 * @param maximumBytes - maximum size of a shard in bytes
 * @returns the shards with their digests
 * @example
 * splitShards(configuration).map((shard) => shard.digest);
 */
export function splitShards(
  configuration: Configuration,
  maximumBytes: number = MAXIMUM_SHARD_BYTES,
): StoredShard[] {
  for (let count = 16; count <= 4_096; count *= 2) {
    const shards = buildShards(configuration, count);
    const objectShards = shards.filter((shard) => shard.name !== SELECTOR_SHARD);
    if (objectShards.every((shard) => Buffer.byteLength(shard.text) <= maximumBytes)) return shards;
  }
  return buildShards(configuration, 4_096);
}
