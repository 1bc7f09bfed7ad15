/**
 * Grouping of items by a key.
 */

/**
 * Groups items by a key. Groups, and the items of each group, keep their order.
 *
 * @param items - items to group
 * @param getKey - returns the key of an item
 * @returns the groups by their key
 * @example
 * groupItems(['a1', 'b1', 'a2'], (text) => text.charAt(0)).get('a'); // ['a1', 'a2']
 */
export function groupItems<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

/**
 * Groups observations of nodes by process; each start of a node is a process of its own.
 *
 * @param observations - observations with the name and the start number of a node
 * @returns the observations of each process, in order
 * @example
 * groupByProcess(record.processes).length;
 */
export function groupByProcess<
  Observation extends { readonly node: string; readonly birth: number },
>(observations: readonly Observation[]): Observation[][] {
  return [...groupItems(observations, ({ node, birth }) => `${node} ${birth}`).values()];
}
