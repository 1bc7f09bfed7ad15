/**
 * Reading of HTTP messages from plain bytes, for clients and engines that have to see each byte.
 */

/** Message whose head and body are complete. */
export interface HttpMessage {
  /** First line of the head. */
  readonly start: string;
  /** Values by lower-case name. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: string;
  /** Position after the message. */
  readonly end: number;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';

interface Body {
  readonly text: string;
  readonly end: number;
}

function readChunks(bytes: Buffer, start: number): Body | undefined {
  let text = '';
  for (let position = start; ;) {
    const lineEnd = bytes.indexOf(LINE_END, position);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(bytes.subarray(position, lineEnd).toString('latin1'), 16);
    const dataStart = lineEnd + LINE_END.length;
    const next = dataStart + size + LINE_END.length;
    if (bytes.length < next) return undefined;
    text += bytes.subarray(dataStart, dataStart + size).toString('latin1');
    if (size === 0) return { text, end: next };
    position = next;
  }
}

/** Reads the first message; undefined while it is incomplete. */
export function readMessage(bytes: Buffer): HttpMessage | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [start = '', ...lines] = bytes.subarray(0, headEnd).toString('latin1').split(LINE_END);
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const bodyStart = headEnd + HEAD_END.length;
  if (/chunked/i.test(headers['transfer-encoding'] ?? '')) {
    const body = readChunks(bytes, bodyStart);
    return body && { start, headers, body: body.text, end: body.end };
  }
  const end = bodyStart + Number(headers['content-length'] ?? 0);
  if (bytes.length < end) return undefined;
  return { start, headers, body: bytes.subarray(bodyStart, end).toString('latin1'), end };
}
