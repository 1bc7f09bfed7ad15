/**
 * Table of all log events of a node on a site, with their fields.
 */
import { z } from 'zod';

/** Severity of a line. */
export type LogLevel = 'info' | 'warn' | 'error';

/** One entry of the table. */
export interface LogEvent {
  readonly level: LogLevel;
  readonly meaning: string;
  readonly fields: z.ZodObject;
}

const text = (meaning: string): z.ZodString => z.string().describe(meaning);
const number = (meaning: string): z.ZodNumber => z.number().describe(meaning);

function define<Shape extends z.ZodRawShape>(level: LogLevel, meaning: string, shape: Shape) {
  return { level, meaning, fields: z.strictObject(shape) };
}

const request = text("the caller's attempt id");
const endpoint = text('identifier of the endpoint');
const source = z
  .enum(['store', 'restored', 'peer'])
  .describe('where the information came from; restored: an older copy of the store');
const announcedIn = z
  .enum(['response', 'report', 'peer'])
  .describe('the response to a request, the report, or another node');
const permit = {
  request: text("the caller's attempt id"),
  endpoint: text('identifier of the endpoint'),
  requestsPerSecond: number('its limit'),
  limitAge: number('milliseconds since a node heard the limit'),
  waited: number('milliseconds until the decision, and until the permit was due'),
  waitMilliseconds: number('of a denied permit: milliseconds until one could be granted'),
  origin: z
    .enum(['issuer', 'part'])
    .describe(
      'the node that issues permits for all, or the part of the limit that this node may use alone',
    ),
};
const reason = text('cause');
const milliseconds = number('milliseconds since the request arrived');
const path = text('endpoints of the path, each with its layers');
const runs = number('runs that failed after they had started');
const lastEvent = number('number of the last event that was forwarded to the caller');
const incarnation = number("Unix time of the node's start in milliseconds");
const peer = text('name of the other node');
const revision = number('revision of the store up to which the node has applied changes');
const bornAt = number('Unix time of its start in milliseconds');
const open = number('requests without a final response yet');
const route = text('name of the route');
const code = text('name of the result code');
const from = number('first layer of the order');
const part = text('part of a prompt, or digest of a plain request');
const endpoints = text('endpoints that crashed, the last 8');
const causes = text("the callers' attempt ids of the requests that were on them");
const to = number('layer after the last layer of the order');

/** All log events by name. `docs/LOG-EVENTS.md` is generated from this table. */
export const LOG_EVENTS = {
  started: define('info', 'The node started and listens.', {
    incarnation,
    address: text('address for callers'),
  }),
  reloaded: define('info', 'The settings file changed.', {
    version: number('version of the active configuration'),
  }),
  leaving: define('info', 'The node is shutting down and accepts no new callers.', { open }),
  stopped: define('info', 'The node stopped and the process exits.', { open }),
  'caller-limited': define(
    'warn',
    'A connection of a caller was closed, or its request refused, because of a limit of caller connections.',
    {
      cause: text(
        'total, address: too many connections; unread: nobody reads the response; evictedBody, evictedResponse: closed to make room; noMemory',
      ),
      address: text("the caller's address"),
      heldBytes: number('bytes that the connection held'),
      open: number('requests of the connection without a complete response'),
      omitted: number('such events without a line since the last one'),
    },
  ),
  'loop-failed': define(
    'error',
    'A loop failed with an internal error, or a listener cannot accept a connection; it continues.',
    {
      loop: text('name of the loop or listener'),
      reason,
    },
  ),
  'internal-error': define('error', 'Nothing caught an exception; the node goes on.', {
    origin: text('`uncaughtException` or `unhandledRejection`'),
    reason,
    open,
  }),
  'item-failed': define(
    'error',
    'An item of the store made the node fail with an internal error; the node goes on with the others.',
    { key: text('key of the item'), reason },
  ),
  'message-failed': define(
    'error',
    'A message of another node made the node fail with an internal error and is dropped.',
    { address: text('address that the message came from'), reason },
  ),
  'request-crashed': define('error', 'A request failed with an internal error.', { reason }),
  'request-unanswered': define(
    'warn',
    'The node closed the connection of a request without a complete response.',
    {
      request,
      cause: text(
        '`interrupted`: a stream that its endpoint ended; `abandoned`: one whose run the node gave up; `crashed`: internal error; `stopped`: the process exits; `closed`: otherwise',
      ),
      kept: z.boolean().describe('whether the connection had an earlier request'),
      passedOn: z.boolean().describe('whether the request was read completely and passed on'),
      begun: z.boolean().describe('whether the response had begun'),
      waitingBytes: number('bytes of the response that the connection has not taken yet'),
      milliseconds,
    },
  ),

  'store-reached': define('info', "The platform's store is reachable.", { revision }),
  'store-lost': define('warn', "The platform's store does not respond.", { reason, revision }),
  'store-connection-lost': define(
    'warn',
    'A call to the store failed over a kept connection; the next one uses a new connection.',
    {
      reason,
      revision,
      silentMilliseconds: number('milliseconds since the last response of the store'),
    },
  ),
  'store-restored': define(
    'warn',
    'The store was restored from an older copy; all items are read again.',
    { revision, newRevision: number('revision at which all items were read again') },
  ),
  registered: define('info', 'The node wrote its item in the store, by which new nodes find it.', {
    cause: z
      .enum(['new', 'expired', 'restored', 'missing'])
      .describe('no item before; its lease expired; the store was restored; the item disappeared'),
  }),
  'store-history-gone': define(
    'warn',
    'The history of the store was compacted; all items are read again.',
    {
      revision,
    },
  ),

  'configuration-applied': define('info', 'A configuration version became active.', {
    source,
    version: number('the version'),
    routes: number('number of its routes'),
  }),
  'configuration-unreadable': define(
    'warn',
    'A configuration cannot be decoded; the last version stays active.',
    {
      source,
      bytes: number('its length in bytes'),
    },
  ),

  'endpoint-ready': define('info', 'An endpoint was registered as ready.', {
    endpoint,
    source,
    address: text('its address'),
    bornAt,
  }),
  'endpoint-draining': define('info', 'An endpoint was marked as draining in the registry.', {
    endpoint,
    source,
    address: text('its address'),
    bornAt,
  }),
  'endpoint-gone': define('info', 'An endpoint was removed from the registry.', {
    endpoint,
    source,
  }),
  'endpoint-entry-outdated': define(
    'info',
    'A registry entry is older than what is known of its endpoint, and is ignored.',
    { endpoint, source, bornAt },
  ),
  'endpoint-entry-held': define(
    'info',
    'An older copy of the store brought back a removed endpoint; it is not used yet.',
    { endpoint, source, bornAt },
  ),
  'endpoint-unreadable': define('warn', 'The registry entry of an endpoint cannot be decoded.', {
    endpoint,
    source,
  }),
  'endpoint-lost': define(
    'warn',
    'An endpoint does not respond; no requests are sent to it for 3 s.',
    {
      endpoint,
      reason,
    },
  ),
  'endpoint-loss-reported': define('info', 'Another node reported an endpoint as lost.', {
    endpoint,
    peer,
    action: z
      .enum(['checked', 'left', 'ignored'])
      .describe(
        'checked by its report; left to other nodes; ignored, as this node connected to it just now or is in doubt about its own links',
      ),
    connectedAge: number(
      'milliseconds since this node began a connection to it that was established; -1 for none',
    ),
  }),
  'endpoint-crashed': define(
    'warn',
    'An endpoint ended while requests of this node ran on it; those without an event may be the cause.',
    {
      endpoint,
      bornAt,
      reason,
      begun: number('runs of this node that had delivered events'),
      unbegun: number('runs of this node that had not'),
      attempts: text("the callers' attempt ids of runs without events, at most 16"),
      parts: text('parts of the prompts of these, at most 32'),
    },
  ),
  'part-blocked': define(
    'warn',
    'A part of requests crashed endpoints; requests that hold it are blocked for a time.',
    {
      part,
      crashes: number('crashes that count against it'),
      endpoints,
      causes,
      pauseMilliseconds: number('milliseconds from the last crash to the next trial'),
    },
  ),
  'part-cleared': define('info', 'A blocked part was answered, or its reports expired.', { part }),
  'links-lost': define(
    'warn',
    'This node connects to nearly no endpoint; it is more likely cut off than all of them lost.',
    { endpoints: number('endpoints in the registry') },
  ),
  'links-back': define('info', 'This node connects to endpoints again.', {
    endpoints: number('endpoints in the registry'),
  }),
  'endpoint-found': define('info', 'A lost endpoint responds again.', { endpoint }),
  'endpoint-leaving': define(
    'info',
    'An endpoint announced its shutdown before the registry did.',
    {
      endpoint,
      source: z.enum(['itself', 'peer']).describe('where the information came from'),
    },
  ),
  'endpoint-rests': define('info', 'An endpoint requested no traffic from this node for a time.', {
    endpoint,
    milliseconds: number('length of the pause in milliseconds'),
  }),
  'endpoint-limits': define('info', 'An endpoint announced a rate limit for all nodes together.', {
    endpoint,
    requestsPerSecond: number('requests per second'),
    source: announcedIn,
  }),
  'endpoint-limit-ended': define('info', 'An endpoint no longer announces a rate limit.', {
    endpoint,
    source: announcedIn,
  }),
  'admission-share': define(
    'info',
    'The share of slots and memory that requests of a priority may fill changed by more than a tenth.',
    {
      service: text('name of the service'),
      priority: number('priority of the requests; 1 is the most urgent'),
      before: number('share when it was logged last; 1 is everything'),
      share: number('share now'),
      requestsPerSecond: number('demand of all nodes for the service, as this node estimates it'),
    },
  ),
  'endpoint-rest-unreadable': define(
    'warn',
    'An endpoint requested no traffic, but the duration cannot be parsed.',
    {
      endpoint,
      text: text('the value that it sent'),
    },
  ),
  'endpoint-ejected': define(
    'warn',
    'An endpoint failed several times in a row and is not used for a time.',
    {
      endpoint,
      failures: number('failures in a row'),
      pauseMilliseconds: number('length of the pause in milliseconds'),
    },
  ),
  'endpoint-pace': define('info', 'An endpoint became slow or has its normal speed again.', {
    endpoint,
    pace: number('factor on its normal step time; 1 is normal'),
  }),

  'node-joined': define('info', 'Another node is live.', { peer, incarnation }),
  'node-lost': define('warn', 'No heartbeat of another node arrived for 2 s.', {
    peer,
    incarnation,
  }),
  'node-leaving': define('info', 'Another node is leaving.', { peer, incarnation }),

  'planner-begins': define('info', 'This node is now the planner and sends orders.', {
    nodes: number('number of live nodes'),
  }),
  'planner-ends': define('info', 'Another node is now the planner.', {
    nodes: number('number of live nodes'),
  }),
  'planner-waits': define('warn', 'Too few endpoints respond to this node for it to plan.', {
    service: text('the service'),
    living: number('endpoints that respond'),
    known: number('endpoints in the registry'),
  }),
  'order-sent': define('info', 'An endpoint was ordered to load a range of layers.', {
    endpoint,
    from,
    to,
    held: text('layers that it hosted before'),
    acceptedOrders: number('number of accepted orders that the order is conditional on'),
    outcome: text('result of the call'),
  }),
  'order-done': define('info', 'An endpoint has loaded the ordered range.', {
    endpoint,
    from,
    to,
    loadMilliseconds: number('milliseconds since the order'),
  }),

  'request-refused': define('warn', 'A request was rejected before its admission.', {
    request,
    code,
  }),
  'request-admitted': define('info', 'A request was admitted.', {
    request,
    route,
    account: text('the client account; empty on a public route'),
    service: text('the selected service'),
    version: number('version of the configuration'),
    parts: text('identifiers of the first parts of the prompt, at most 8'),
    promptTokens: number('tokens of the prompt'),
    answerTokens: number('maximum number of answer tokens that the caller expects'),
    leftMilliseconds: number('milliseconds until its deadline'),
  }),
  'request-blocked': define('warn', 'A request was not passed on because of one of its parts.', {
    request,
    part,
    endpoints,
    causes,
    retryMilliseconds: number('milliseconds until the part may be tried'),
  }),
  'part-tried': define('warn', 'A request was passed on to try its blocked part.', {
    request,
    part,
  }),
  'path-chosen': define('info', 'A path was chosen for a run.', {
    request,
    path,
    predictedFirst: number('predicted milliseconds to the first event'),
    predictedPause: number('predicted milliseconds between events'),
    roomTokens: number('tokens that memory was reserved for'),
    loadAge: number('milliseconds since the last load report of another node'),
    candidates: number('endpoints that were considered'),
  }),
  'path-missing': define('info', 'No path had enough free memory for a run.', {
    request,
    roomTokens: number('tokens that memory was needed for'),
    loadAge: number('milliseconds since the last load report of another node'),
    candidates: number('endpoints that were considered'),
    uncovered: text('layers that no usable endpoint hosts'),
    tightest: text('layers with the least free memory, and the tokens that fit there'),
    fillableShare: z
      .number()
      .optional()
      .describe(
        'share of slots and memory that its priority may fill; absent when that is everything',
      ),
  }),
  'endpoint-chosen': define('info', 'An endpoint was chosen for a buffered response.', {
    request,
    endpoint,
    load: number('requests known to be at the endpoint'),
    loadAge: number('milliseconds since its last load report'),
    candidates: number('endpoints that were considered'),
  }),
  'request-handed-over': define(
    'warn',
    'A request was handed over to another node, as this one does not reach the endpoints it needs.',
    { request, peer, reason },
  ),
  'permit-granted': define(
    'info',
    'A request may be sent to an endpoint with a rate limit.',
    permit,
  ),
  'permit-denied': define(
    'info',
    'A request may not be sent to an endpoint with a rate limit soon enough.',
    permit,
  ),
  'attempt-failed': define('warn', 'An attempt to get a buffered response failed.', {
    request,
    endpoint,
    outcome: text(
      'notSent and notRun: the request was not executed; unknown: it may have been executed',
    ),
    reason,
  }),
  'run-refused': define('warn', 'An endpoint refused a run without executing it.', {
    request,
    reason,
    path,
  }),
  'run-broken': define('warn', 'A run failed after it had started.', {
    request,
    reason,
    runs,
    lastEvent,
    abandoned: z
      .boolean()
      .describe('whether the node gave the run up, while its endpoint had not ended it'),
    path,
  }),
  'run-kept': define(
    'info',
    'A run continues on a path that seems broken, as nothing can replace it.',
    {
      request,
      reason,
      path,
    },
  ),
  'run-doubled': define(
    'warn',
    'Another run was started for one that seems broken, which stays open until the other delivers an event.',
    {
      request,
      reason,
      path: text('the path before'),
      newPath: text('the path after'),
    },
  ),
  'run-moved': define('warn', 'A run was moved off a lost endpoint.', {
    request,
    outcome: text('response of the first endpoint'),
    lastEvent,
    path: text('the path before'),
    newPath: text('the path after'),
  }),
  'first-event': define('info', 'The first event was forwarded to the caller.', {
    request,
    milliseconds,
  }),
  'request-cancelled': define('info', 'The caller disconnected before the end of its response.', {
    request,
    milliseconds,
    lastEvent,
  }),
  'request-failed': define('warn', 'The final response to the caller was an error.', {
    request,
    route,
    code,
    reason,
    sends: number('runs or sends that may have reached an endpoint'),
    refused: number('runs or sends that an endpoint refused'),
    lastEvent,
    milliseconds,
  }),
  'request-answered': define('info', 'The response was complete.', {
    request,
    milliseconds,
    first: number('milliseconds to the first event, or to the response where it has no events'),
    pause: number('mean milliseconds between events; 0 without events'),
    longestPause: number('maximum milliseconds between events; 0 without events'),
    sends: number('runs or sends'),
    told: z
      .enum(['slow', 'sample'])
      .describe(
        'why it is logged: slower than the route allows, or in the sample of one in twenty',
      ),
  }),
} satisfies Record<string, LogEvent>;

/** Name of an event. */
export type LogEventName = keyof typeof LOG_EVENTS;

/** Fields of an event. */
export type LogFields<Name extends LogEventName> = z.infer<(typeof LOG_EVENTS)[Name]['fields']>;
