/**
 * Compressed form of a configuration in replies between nodes.
 */
import { gunzipSync, gzipSync, constants } from 'node:zlib';

/** Codec of one node. */
export interface ConfigurationCodec {
  /** Compresses a configuration; the result for the latest one is kept. */
  readonly compress: (text: string) => string;
  /** Restores a configuration; undefined when the input is no compressed text or exceeds the limit. */
  readonly decompress: (compressed: string) => string | undefined;
}

/** Maximum size of a configuration after decompression, in bytes. */
const MAXIMUM_CONFIGURATION_BYTES = 8_388_608;

/**
 * Creates the codec.
 *
 * Many nodes request the same configuration at the same moment, after a change or after all of them restarted. The
 * routes of a large configuration resemble each other, so that compression shortens it to a tenth or less, and each
 * version is compressed once.
 *
 * @returns the codec
 * @example
 * const codec = createConfigurationCodec();
 * codec.decompress(codec.compress('{"version":7}')); // '{"version":7}'
 */
export function createConfigurationCodec(): ConfigurationCodec {
  let latest: { readonly text: string; readonly compressed: string } | undefined;
  return {
    compress: (text) => {
      if (latest?.text === text) return latest.compressed;
      const compressed = gzipSync(text, { level: constants.Z_BEST_SPEED }).toString('base64');
      latest = { text, compressed };
      return compressed;
    },
    decompress: (compressed) => {
      try {
        const options = { maxOutputLength: MAXIMUM_CONFIGURATION_BYTES };
        return gunzipSync(Buffer.from(compressed, 'base64'), options).toString('utf8');
      } catch {
        return undefined;
      }
    },
  };
}
