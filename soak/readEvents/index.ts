/**
 * Bodies of streamed and buffered responses. Each body contains the id of its request.
 */

/**
 * Formats one server-sent event.
 *
 * @param request - id of the request
 * @param number - number of the event, from 1
 * @returns the event, terminated by an empty line
 * @example
 * formatEvent('r7', 1); // 'id: 1\ndata: r7-1\n\n'
 */
export function formatEvent(request: string, number: number): string {
  return `id: ${number}\ndata: ${request}-${number}\n\n`;
}

/**
 * Formats the body of a buffered response.
 *
 * @param request - id of the request
 * @returns the response body
 * @example
 * formatResponse('r7'); // 'done r7'
 */
export function formatResponse(request: string): string {
  return `done ${request}`;
}

/** Complete events at the start of a body. */
export interface EventReadResult {
  /** Number of the last event that is complete and in order. */
  readonly last: number;
  /** Description of the first invalid event; undefined when all are valid. */
  readonly error: string | undefined;
  /** Whether the body ends with an incomplete event. */
  readonly isTruncated: boolean;
}

/**
 * Reads the events of a stream and compares them with the expected events of its request.
 *
 * @param text - body as far as it was received
 * @param request - id of the request
 * @param previousEvent - number of the last event that the caller received before
 * @returns the last valid event, and the first error if there is one
 * @example
 * readEvents('id: 1\ndata: r7-1\n\n', 'r7', 0).last; // 1
 */
export function readEvents(text: string, request: string, previousEvent: number): EventReadResult {
  const parts = text.split('\n\n');
  const remainder = parts.pop() ?? '';
  let last = previousEvent;
  for (const part of parts) {
    const expected = formatEvent(request, last + 1);
    if (`${part}\n\n` !== expected) {
      const error = `event ${last} is followed by ${JSON.stringify(part.slice(0, 120))}`;
      return { last, error, isTruncated: remainder !== '' };
    }
    last += 1;
  }
  return { last, error: undefined, isTruncated: remainder !== '' };
}
