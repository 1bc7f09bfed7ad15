/**
 * Start-time fair queue with priority levels.
 */

/** A waiting item; its flow is a client account within a class. */
export interface QueuedItem {
  readonly id: string;
  readonly flow: string;
  /** Weight of the flow relative to the others; above 0. */
  readonly weight: number;
  /** Work in tokens. */
  readonly cost: number;
  /** Priority level; items of a lower level are served first. 0 by default. */
  readonly level?: number;
}

/** Waiting items that are served before another one. */
export interface QueuedWork {
  readonly items: number;
  /** Their work, in tokens. */
  readonly cost: number;
}

/** A queue that serves levels in order, and the flows of a level in proportion to their weights. */
export interface FairQueue<Item extends QueuedItem> {
  readonly push: (item: Item) => void;
  readonly pop: () => Item | undefined;
  /** Returns the item that `pop` would return. */
  readonly peek: () => Item | undefined;
  readonly remove: (id: string) => boolean;
  readonly size: () => number;
  /** Lists the waiting items in the order in which they would be served. */
  readonly list: () => Item[];
  /** Total waiting work, in tokens. */
  readonly waitingCost: () => number;
  /** Work that would be served before a new item of a flow, in tokens. The level is 0 by default. */
  readonly costBefore: (flow: string, level?: number) => number;
  /** Items and work that would be served before a new item of a flow. The level is 0 by default. */
  readonly measureBefore: (flow: string, level?: number) => QueuedWork;
}

interface Entry<Item> {
  readonly item: Item;
  readonly start: number;
}

interface Flow<Item> {
  readonly entries: Entry<Item>[];
  finish: number;
  /** Waiting work of the flow, in tokens. */
  cost: number;
}

/** Fair queue of the items of one level. */
interface Level<Item> {
  readonly number: number;
  readonly flows: Map<string, Flow<Item>>;
  virtualTime: number;
  items: number;
  /** Waiting work of the level, in tokens. */
  cost: number;
}

function findNextFlow<Item>({ flows, virtualTime }: Level<Item>): Flow<Item> | undefined {
  let next: Flow<Item> | undefined;
  let smallest = Infinity;
  for (const [name, flow] of flows) {
    const head = flow.entries[0];
    if (!head) {
      if (flow.finish <= virtualTime) flows.delete(name);
      continue;
    }
    if (head.start >= smallest) continue;
    smallest = head.start;
    next = flow;
  }
  return next;
}

function subtractItem<Item extends QueuedItem>(level: Level<Item>, { flow, cost }: Item): void {
  const itemFlow = level.flows.get(flow);
  if (itemFlow) itemFlow.cost -= cost;
  level.items -= 1;
  level.cost -= cost;
}

function pushToLevel<Item extends QueuedItem>(level: Level<Item>, item: Item): void {
  const flow = level.flows.get(item.flow) ?? { entries: [], finish: 0, cost: 0 };
  const start = Math.max(level.virtualTime, flow.finish);
  flow.finish = start + item.cost / item.weight;
  flow.cost += item.cost;
  flow.entries.push({ item, start });
  level.flows.set(item.flow, flow);
  level.items += 1;
  level.cost += item.cost;
}

function popFromLevel<Item extends QueuedItem>(level: Level<Item>): Item | undefined {
  const head = findNextFlow(level)?.entries.shift();
  if (!head) return undefined;
  level.virtualTime = Math.max(level.virtualTime, head.start);
  subtractItem(level, head.item);
  return head.item;
}

function removeFromLevel<Item extends QueuedItem>(level: Level<Item>, id: string): boolean {
  for (const { entries } of level.flows.values()) {
    const position = entries.findIndex(({ item }) => item.id === id);
    const [removed] = position < 0 ? [] : entries.splice(position, 1);
    if (!removed) continue;
    subtractItem(level, removed.item);
    return true;
  }
  return false;
}

function listLevel<Item>({ flows }: Level<Item>): Item[] {
  return [...flows.values()]
    .flatMap(({ entries }) => entries)
    .sort((left, right) => left.start - right.start)
    .map(({ item }) => item);
}

/** Measures what a level serves before a new item of a flow. */
function measureLevel<Item extends QueuedItem>(level: Level<Item>, name: string): QueuedWork {
  const sameFlow = level.flows.get(name);
  const start = Math.max(level.virtualTime, sameFlow?.finish ?? 0);
  let items = sameFlow?.entries.length ?? 0;
  let cost = sameFlow?.cost ?? 0;
  for (const flow of level.flows.values()) {
    if (flow === sameFlow) continue;
    for (const entry of flow.entries) {
      if (entry.start > start) break;
      items += 1;
      cost += entry.item.cost;
    }
  }
  return { items, cost };
}

/**
 * Creates an empty fair queue.
 *
 * The lowest level with items is served first. Within a level, each item gets a start tag: the larger of the level's
 * virtual time and the finish tag of the previous item of its flow. The item with the smallest start tag is served
 * next. A flow with a high rate delays only itself, and no flow with a weight above 0 starves within its level.
 *
 * @returns the queue
 * @example
 * const queue = createFairQueue();
 * queue.push({ id: 'a', flow: 'kiosk', weight: 4, cost: 100 });
 */
export function createFairQueue<Item extends QueuedItem>(): FairQueue<Item> {
  /** Levels in ascending order; they are kept when empty, for their virtual time. */
  const levels: Level<Item>[] = [];
  const findLevel = (number = 0): Level<Item> => {
    const position = levels.findIndex((level) => level.number >= number);
    const found = levels[position];
    if (found?.number === number) return found;
    const level: Level<Item> = { number, flows: new Map(), virtualTime: 0, items: 0, cost: 0 };
    levels.splice(position < 0 ? levels.length : position, 0, level);
    return level;
  };
  const findFirstLevel = (): Level<Item> | undefined => levels.find(({ items }) => items > 0);
  const measureBefore = (flow: string, number = 0): QueuedWork => {
    let before = { items: 0, cost: 0 };
    for (const level of levels) {
      if (level.number > number) break;
      const work = level.number === number ? measureLevel(level, flow) : level;
      before = { items: before.items + work.items, cost: before.cost + work.cost };
    }
    return before;
  };

  return {
    push: (item) => {
      pushToLevel(findLevel(item.level), item);
    },
    pop: () => {
      const level = findFirstLevel();
      return level && popFromLevel(level);
    },
    peek: () => {
      const level = findFirstLevel();
      return level && findNextFlow(level)?.entries[0]?.item;
    },
    remove: (id) => levels.some((level) => removeFromLevel(level, id)),
    size: () => levels.reduce((sum, { items }) => sum + items, 0),
    list: () => levels.flatMap((level) => listLevel(level)),
    waitingCost: () => levels.reduce((sum, { cost }) => sum + cost, 0),
    costBefore: (flow, level) => measureBefore(flow, level).cost,
    measureBefore,
  };
}
