/**
 * Splitting of an event stream into complete events as bytes.
 */

/** One complete event. */
export interface StreamEvent {
  /** Number of the event; undefined when it has none, or contains the head of a response. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Splitter of one stream. */
export interface EventSplitter {
  readonly add: (chunk: Buffer) => StreamEvent[];
  /** Returns the number of buffered bytes of an incomplete event. */
  readonly countPending: () => number;
}

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/;
const MINIMUM_BLOCK_BYTES = 1_024;

/** Line that begins a response of HTTP; no field of an event does. */
const STATUS_LINE = /(?:^|\n)HTTP\/\d/;

function readId(bytes: Buffer): number | undefined {
  const text = bytes.toString('latin1');
  const match = STATUS_LINE.test(text) ? null : ID_FIELD.exec(text);
  return match ? Number(match[1]) : undefined;
}

/**
 * Creates a splitter of an event stream.
 *
 * An event may arrive in many small chunks. They are copied into a block that doubles, and only new bytes are searched
 * for the end of the event, so that the cost of an event grows with its bytes.
 *
 * @returns the splitter
 * @example
 * createEventSplitter().add(Buffer.from('id: 1\ndata: x\n\n')); // one event with id 1
 */
export function createEventSplitter(): EventSplitter {
  /** Block that begins with the incomplete event. */
  let block: Buffer = Buffer.alloc(0);
  let pending = 0;
  const store = (chunk: Buffer): void => {
    const needed = pending + chunk.length;
    if (needed > block.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(MINIMUM_BLOCK_BYTES, 2 * needed));
      block.copy(grown, 0, 0, pending);
      block = grown;
    }
    chunk.copy(block, pending);
    pending = needed;
  };
  /** Adds the events that end in the bytes; returns the position after the last one. */
  const split = (bytes: Buffer, searchFrom: number, events: StreamEvent[]): number => {
    let start = 0;
    let end = bytes.indexOf(EVENT_END, searchFrom);
    while (end >= 0) {
      const event = bytes.subarray(start, end + EVENT_END.length);
      events.push({ id: readId(event), bytes: event });
      start = end + EVENT_END.length;
      end = bytes.indexOf(EVENT_END, start);
    }
    return start;
  };
  return {
    add: (chunk) => {
      const events: StreamEvent[] = [];
      const before = pending;
      if (before > 0) store(chunk);
      const bytes = before > 0 ? block.subarray(0, pending) : chunk;
      // The end of an event may lie across two chunks.
      const start = split(bytes, Math.max(0, before - 1), events);
      if (before > 0 && start === 0) return events;
      // The events are views on the block, which is not written again.
      block = Buffer.alloc(0);
      pending = 0;
      if (start < bytes.length) store(bytes.subarray(start));
      return events;
    },
    countPending: () => pending,
  };
}
