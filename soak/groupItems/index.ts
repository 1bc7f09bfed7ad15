/**
 * Groups of items that have a text in common.
 */

/**
 * Groups items; groups and the items in each keep their order.
 *
 * @param items - the items
 * @param getKey - text that the items of a group share
 * @returns the groups by their text
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
 * Groups observations of nodes by the start of the process that they are of.
 *
 * @param sightings - the observations
 * @returns those of each process, in order
 * @example
 * groupByProcess(record.processes).length;
 */
export function groupByProcess<Sighting extends { readonly node: string; readonly birth: number }>(
  sightings: readonly Sighting[],
): Sighting[][] {
  return [...groupItems(sightings, ({ node, birth }) => `${node} ${birth}`).values()];
}
