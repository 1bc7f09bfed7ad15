/**
 * Index of the engines that recently processed a prompt prefix.
 */
import { hashText } from '../../process/hashRendezvous/index.js';

/** Index of the engines that are likely to have a prompt prefix cached. */
export interface PrefixIndex {
  /** Returns the number of prompt characters that each engine is likely to have cached, by engine. */
  readonly findCachedCharacters: (scope: string, prompt: string) => ReadonlyMap<string, number>;
  readonly record: (scope: string, prompt: string, engines: readonly string[]) => void;
  readonly removeEngine: (engine: string) => void;
}

const BLOCK_CHARACTERS = 64;
const MAXIMUM_BLOCKS = 64;
const ENGINES_PER_BLOCK = 12;

function listBlocks(scope: string, prompt: string): number[] {
  const count = Math.min(Math.floor(prompt.length / BLOCK_CHARACTERS), MAXIMUM_BLOCKS);
  const blocks: number[] = [];
  let hash = hashText(scope);
  for (let index = 0; index < count; index += 1) {
    const block = prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS);
    hash = hashText(`${hash.toString(36)}/${block}`);
    blocks.push(hash);
  }
  return blocks;
}

/**
 * Creates an empty prefix index.
 *
 * Prompts are cut into blocks; the hash of a block covers all blocks before it. The index stores the
 * engines that last processed each block and evicts the oldest blocks above its capacity. It needs no
 * cache events from the engines, which arrive late and with gaps.
 *
 * @param capacity - maximum number of stored blocks
 * @returns the index
 * @example
 * createPrefixIndex(4096).findCachedCharacters('fit-assistant', prompt).get('engine-1');
 */
export function createPrefixIndex(capacity: number): PrefixIndex {
  const blocks = new Map<number, readonly string[]>();
  return {
    findCachedCharacters: (scope, prompt) => {
      const cachedCharacters = new Map<string, number>();
      for (const [index, hash] of listBlocks(scope, prompt).entries()) {
        const engines = blocks.get(hash);
        if (!engines) break;
        for (const engine of engines) cachedCharacters.set(engine, (index + 1) * BLOCK_CHARACTERS);
      }
      return cachedCharacters;
    },
    record: (scope, prompt, engines) => {
      for (const hash of listBlocks(scope, prompt)) {
        const known = blocks.get(hash) ?? [];
        const merged = [...new Set([...engines, ...known])].slice(0, ENGINES_PER_BLOCK);
        blocks.delete(hash);
        blocks.set(hash, merged);
      }
      for (const hash of blocks.keys()) {
        if (blocks.size <= capacity) break;
        blocks.delete(hash);
      }
    },
    removeEngine: (engine) => {
      for (const [hash, engines] of blocks) {
        if (!engines.includes(engine)) continue;
        blocks.set(
          hash,
          engines.filter((name) => name !== engine),
        );
      }
    },
  };
}
