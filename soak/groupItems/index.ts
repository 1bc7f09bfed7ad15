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
