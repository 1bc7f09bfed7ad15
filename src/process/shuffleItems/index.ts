/**
 * Random permutation of items.
 */

/**
 * Returns the items in random order; draws one number for each item, in their order.
 *
 * @param items - the items
 * @param random - returns numbers from 0 to 1
 * @returns a new array
 * @example
 * shuffleItems(peers, context.random).slice(0, 3);
 */
export function shuffleItems<Item>(items: readonly Item[], random: () => number): Item[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
