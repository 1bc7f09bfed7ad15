/**
 * Splits changes of the store into parts that fit into datagrams.
 */
import type { StoreItem } from '../../../types/store/index.js';
import type { ChangeBatch } from '../createStoreFollower/index.js';

/** Maximum length of a value that is forwarded, in bytes; receivers read longer ones from the store. */
const MAXIMUM_VALUE_BYTES = 900;
/** Maximum size of the items in one part, in bytes. */
const MAXIMUM_PART_BYTES = 1_100;
/** Number of items in a batch above which none is forwarded; receivers read them from the store. */
const MAXIMUM_ITEMS = 48;
/** Size of an item in addition to its key and value, in bytes. */
const ITEM_OVERHEAD_BYTES = 12;

function countBytes({ key, value }: StoreItem): number {
  return key.length + (value?.length ?? 0) + ITEM_OVERHEAD_BYTES;
}

/**
 * Splits a batch of changes.
 *
 * Each part states the revision after which it is complete, so that the receiver detects the gap that
 * a lost part leaves. Changes of one revision stay together.
 *
 * @param batch - the changes
 * @returns the parts in order; at least one
 * @example
 * splitChanges({ after: 5, revision: 7, items: [], isShortened: false }).length; // 1
 */
export function splitChanges({ after, revision, items }: ChangeBatch): ChangeBatch[] {
  // Receivers detect the gap that this leaves and watch the store.
  if (items.length > MAXIMUM_ITEMS)
    return [{ after: revision, revision, items: [], isShortened: false }];
  const sorted = [...items].sort((left, right) => left.revision - right.revision);
  const parts: ChangeBatch[] = [];
  let part: StoreItem[] = [];
  let bytes = 0;
  let isShortened = false;
  let begin = after;
  const close = (end: number): void => {
    parts.push({ after: begin, revision: end, items: part, isShortened });
    begin = end;
    part = [];
    bytes = 0;
    isShortened = false;
  };
  let last = after;
  for (const item of sorted) {
    const isLong = (item.value?.length ?? 0) > MAXIMUM_VALUE_BYTES;
    const isFull = bytes + (isLong ? 0 : countBytes(item)) > MAXIMUM_PART_BYTES;
    if (isFull && item.revision > last && part.length > 0) close(last);
    last = item.revision;
    isShortened ||= isLong;
    if (isLong) continue;
    part.push(item);
    bytes += countBytes(item);
  }
  close(revision);
  return parts;
}
