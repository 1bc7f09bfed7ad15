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
 * @returns the splitter
 * @example
 * createEventSplitter().add(Buffer.from('id: 1\ndata: x\n\n')); // one event with id 1
 */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    add: (chunk) => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      for (let end = pending.indexOf(EVENT_END); end >= 0; end = pending.indexOf(EVENT_END)) {
        const bytes = pending.subarray(0, end + EVENT_END.length);
        events.push({ id: readId(bytes), bytes });
        pending = pending.subarray(end + EVENT_END.length);
      }
      return events;
    },
    countPending: () => pending.length,
  };
}
