/**
 * Random order of items.
 */

/**
 * Puts items into a random order; one number is drawn for each, in their order.
 *
 * @param items - the items
 * @param random - numbers from 0 to 1
 * @returns a new list
 * @example
 * shuffleItems(peers, context.random).slice(0, 3);
 */
export function shuffleItems<Item>(items: readonly Item[], random: () => number): Item[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
