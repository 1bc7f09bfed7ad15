/**
 * Start-time fair queue.
 */

/** A waiting item; its flow is a client account within a class. */
export interface QueuedItem {
  readonly id: string;
  readonly flow: string;
  /** Weight of the flow relative to the others; above 0. */
  readonly weight: number;
  /** Work in tokens. */
  readonly cost: number;
}

/** A queue that serves flows in proportion to their weights. */
export interface FairQueue<Item extends QueuedItem> {
  readonly push: (item: Item) => void;
  readonly pop: () => Item | undefined;
  readonly remove: (id: string) => boolean;
  readonly size: () => number;
  /** Total waiting work, in tokens. */
  readonly waitingCost: () => number;
  /** Work that would be served before a new item of a flow, in tokens. */
  readonly costBefore: (flow: string) => number;
}

interface Flow<Item> {
  readonly items: { readonly item: Item; readonly start: number }[];
  finish: number;
  /** Waiting work of the flow, in tokens. */
  cost: number;
}

/**
 * Creates an empty fair queue.
 *
 * Each item gets a start tag: the larger of the queue's virtual time and the finish tag of the
 * previous item of its flow. The item with the smallest start tag is served next. A flow with a high
 * rate delays only itself, and no flow with a weight above 0 starves.
 *
 * @returns the queue
 * @example
 * const queue = createFairQueue();
 * queue.push({ id: 'a', flow: 'kiosk', weight: 4, cost: 100 });
 */
export function createFairQueue<Item extends QueuedItem>(): FairQueue<Item> {
  const flows = new Map<string, Flow<Item>>();
  let virtualTime = 0;
  let count = 0;
  let cost = 0;

  const subtractItem = (item: Item): void => {
    const flow = flows.get(item.flow);
    if (flow) flow.cost -= item.cost;
    count -= 1;
    cost -= item.cost;
  };
  const findNext = (): Flow<Item> | undefined => {
    let next: Flow<Item> | undefined;
    let smallest = Infinity;
    for (const [name, flow] of flows) {
      const head = flow.items[0];
      if (!head) {
        if (flow.finish <= virtualTime) flows.delete(name);
        continue;
      }
      if (head.start >= smallest) continue;
      smallest = head.start;
      next = flow;
    }
    return next;
  };

  return {
    push: (item) => {
      const flow = flows.get(item.flow) ?? { items: [], finish: 0, cost: 0 };
      const start = Math.max(virtualTime, flow.finish);
      flow.finish = start + item.cost / item.weight;
      flow.cost += item.cost;
      flow.items.push({ item, start });
      flows.set(item.flow, flow);
      count += 1;
      cost += item.cost;
    },
    pop: () => {
      const head = findNext()?.items.shift();
      if (!head) return undefined;
      virtualTime = Math.max(virtualTime, head.start);
      subtractItem(head.item);
      return head.item;
    },
    remove: (id) => {
      for (const flow of flows.values()) {
        const position = flow.items.findIndex(({ item }) => item.id === id);
        const [removed] = position < 0 ? [] : flow.items.splice(position, 1);
        if (!removed) continue;
        subtractItem(removed.item);
        return true;
      }
      return false;
    },
    size: () => count,
    waitingCost: () => cost,
    costBefore: (name) => {
      const sameFlow = flows.get(name);
      const start = Math.max(virtualTime, sameFlow?.finish ?? 0);
      let before = sameFlow?.cost ?? 0;
      for (const flow of flows.values()) {
        if (flow === sameFlow) continue;
        for (const entry of flow.items) {
          if (entry.start > start) break;
          before += entry.item.cost;
        }
      }
      return before;
    },
  };
}
