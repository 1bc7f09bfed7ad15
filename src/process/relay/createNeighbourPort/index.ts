/**
 * Port to other nodes that relay requests of this one, over HTTP.
 */
import type { IncomingMessage } from 'node:http';
import type {
  HeaderTranslator,
  NeighbourPort,
  RawHeaders,
  ResponseMetadata,
} from '../../../types/relay/index.js';
import { openEndpointCall } from '../openEndpointCall/index.js';

/** Header that names the node which hands a request over. It is not read from callers. */
const HANDED_OVER_HEADER = 'marjoramcleat-handed-over-by';
/** Header of a request that has reached an endpoint before. */
const REPEAT_HEADER = 'marjoramcleat-repeat';
/** Header with the version of the configuration that admitted the request. */
const VERSION_HEADER = 'marjoramcleat-configuration-version';
const OWN_HEADERS: ReadonlySet<string> = new Set([
  HANDED_OVER_HEADER,
  REPEAT_HEADER,
  VERSION_HEADER,
]);
/** Lowest status of a response after which a request may have been executed: 500, but for the refusals. */
const FIRST_FAILURE_STATUS = 500;
const REFUSED_STATUS = 503;
const FIRST_CALLER_ERROR_STATUS = 400;

/** Options of {@link createNeighbourPort}. */
export interface CreateNeighbourPortOptions {
  /** Name of this node. */
  readonly node: string;
  readonly translator: Pick<
    HeaderTranslator,
    'buildHandOverHeaders' | 'parseResponseHeaders' | 'buildResponseHeaders'
  >;
}

/** Request as another node handed it over. */
export interface HandedOverRequest {
  /** Headers of the caller. */
  readonly rawHeaders: RawHeaders;
  /** Whether it has reached an endpoint before. */
  readonly isRepeat: boolean;
  /** Version of the configuration that admitted it; 0 when the other node does not state it. */
  readonly configurationVersion: number;
}

/**
 * Reads whether a request on the address for other nodes was handed over.
 *
 * @param incoming - the request
 * @returns what the other node handed over; undefined for any other request
 * @example
 * readHandedOver(incoming)?.rawHeaders;
 */
export function readHandedOver({
  headers,
  rawHeaders,
}: Pick<IncomingMessage, 'headers' | 'rawHeaders'>): HandedOverRequest | undefined {
  if (headers[HANDED_OVER_HEADER] === undefined) return undefined;
  const isOwn = (index: number): boolean =>
    OWN_HEADERS.has(rawHeaders[index - (index % 2)]?.toLowerCase() ?? '');
  return {
    rawHeaders: rawHeaders.filter((_, index) => !isOwn(index)),
    isRepeat: headers[REPEAT_HEADER] !== undefined,
    configurationVersion: Number(headers[VERSION_HEADER] ?? 0),
  };
}

/** Returns whether a response is the neighbour's own statement that it did not pass the request on. */
function isOwnRefusal(status: number, { isFromEndpoint }: ResponseMetadata): boolean {
  if (isFromEndpoint) return false;
  const isCallerError = status >= FIRST_CALLER_ERROR_STATUS && status < FIRST_FAILURE_STATUS;
  return isCallerError || status === REFUSED_STATUS;
}

/**
 * Creates the port to other nodes.
 *
 * @param options - name of this node and the translator of headers
 * @returns the port
 * @example
 * createNeighbourPort({ node: 'node-1', translator: protocol }).send(request, details, handlers);
 */
export function createNeighbourPort({
  node,
  translator,
}: CreateNeighbourPortOptions): NeighbourPort {
  return {
    send: ({ method, url, rawHeaders, body }, details, { onHead, ...handlers }) =>
      openEndpointCall({
        ...handlers,
        address: details.address,
        method,
        url,
        body,
        headers: [
          ...translator.buildHandOverHeaders(rawHeaders, details, body?.length),
          HANDED_OVER_HEADER,
          node,
          VERSION_HEADER,
          String(details.configurationVersion),
          ...(details.isRepeat ? [REPEAT_HEADER, '1'] : []),
        ],
        onResponse: (incoming) => {
          const status = incoming.statusCode ?? 0;
          const metadata = translator.parseResponseHeaders(status, incoming.headers);
          const { attempt } = details;
          onHead({
            status,
            metadata: isOwnRefusal(status, metadata)
              ? { ...metadata, attempt, isNotExecuted: true }
              : metadata,
            headers: translator.buildResponseHeaders(incoming.rawHeaders),
          });
        },
      }),
  };
}
