/**
 * The text of streams and whole answers, which names the request that it belongs to.
 */

/**
 * Formats one event of a stream.
 *
 * @param request - the request
 * @param number - number of the event, from 1
 * @returns the event with the empty line that ends it
 * @example
 * formatEvent('r7', 1); // 'id: 1\ndata: r7-1\n\n'
 */
export function formatEvent(request: string, number: number): string {
  return `id: ${number}\ndata: ${request}-${number}\n\n`;
}

/**
 * Formats the whole answer to a request that is no stream.
 *
 * @param request - the request
 * @returns the body
 * @example
 * formatAnswer('r7'); // 'done r7'
 */
export function formatAnswer(request: string): string {
  return `done ${request}`;
}

/** Whole events at the beginning of a text. */
export interface ReadEvents {
  /** Number of the last event that came whole and in order. */
  readonly last: number;
  /** What is wrong with the events; undefined when nothing is. */
  readonly fault: string | undefined;
  /** Bytes after the last whole event. */
  readonly isCutOff: boolean;
}

/**
 * Reads the events of a stream and compares them with those that belong to its request.
 *
 * @param text - the body as far as it came
 * @param request - the request
 * @param begun - last event that the caller had before
 * @returns how far the events are sound
 * @example
 * readEvents('id: 1\ndata: r7-1\n\n', 'r7', 0).last; // 1
 */
export function readEvents(text: string, request: string, begun: number): ReadEvents {
  const parts = text.split('\n\n');
  const rest = parts.pop() ?? '';
  let last = begun;
  for (const part of parts) {
    const wanted = formatEvent(request, last + 1);
    if (`${part}\n\n` !== wanted) {
      const fault = `after event ${last} came ${JSON.stringify(part.slice(0, 120))}`;
      return { last, fault, isCutOff: rest !== '' };
    }
    last += 1;
  }
  return { last, fault: undefined, isCutOff: rest !== '' };
}
