/**
 * Rendezvous hashing.
 */

/**
 * Hashes a string to an unsigned 32-bit number.
 *
 * Uses FNV-1a with a final mix, so that the hashes of similar names are spread evenly.
 *
 * @param text - the string to hash
 * @returns an integer from 0 to 4,294,967,295
 * @example
 * hashText('node-1');
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Orders names by their rendezvous weight for a key, highest first.
 *
 * Removing a name reassigns only the keys that the name was ranked first for.
 *
 * @param key - the key to assign
 * @param names - the candidates
 * @returns a new array of the same names
 * @example
 * rankRendezvous('account-1', ['node-1', 'node-2'])[0];
 */
export function rankRendezvous(key: string, names: readonly string[]): string[] {
  const weights = new Map(names.map((name) => [name, hashText(`${name}/${key}`)]));
  const getWeight = (name: string): number => weights.get(name) ?? 0;
  return [...names].sort(
    (left, right) => getWeight(right) - getWeight(left) || left.localeCompare(right),
  );
}

/**
 * Finds the name with the highest rendezvous weight for a key.
 *
 * @param key - the key to assign
 * @param names - the candidates
 * @returns the owner, or undefined without candidates
 * @example
 * findOwner('shard-3', ['node-1', 'node-2']);
 */
export function findOwner(key: string, names: readonly string[]): string | undefined {
  let owner: string | undefined;
  let highest = -1;
  for (const name of names) {
    const weight = hashText(`${name}/${key}`);
    if (weight < highest || (weight === highest && owner !== undefined && owner < name)) continue;
    owner = name;
    highest = weight;
  }
  return owner;
}
