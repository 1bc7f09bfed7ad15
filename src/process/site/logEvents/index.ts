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
const source = z.enum(['store', 'peer']).describe('from whom the node has it');
const reason = text('why');
const milliseconds = number('milliseconds since the request arrived');
const path = text('endpoints of the path, each with its layers');
const runs = number('runs that broke off');
const lastEvent = number('number of the last event that was passed on');
const incarnation = number("Unix time of the node's start in milliseconds");
const peer = text('name of the other node');
const revision = number("the store's revision up to which the node has seen changes");
const open = number('requests that have no final answer yet');
const route = text('name of the route');
const code = text('name of the result code');
const from = number('first layer of the order');
const to = number('layer after the last one of the order');

/** The table, by event. `docs/LOG-EVENTS.md` is printed from it. */
export const LOG_EVENTS = {
  started: define('info', 'The node listens.', {
    incarnation,
    address: text('address for callers'),
  }),
  reloaded: define('info', 'The settings file has changed.', {
    version: number('version of the configuration in force'),
  }),
  leaving: define('info', 'The node takes no new callers.', { open }),
  stopped: define('info', 'The process ends.', { open }),
  'loop-failed': define('error', 'A loop met a fault of the program and goes on.', {
    loop: text('name of the loop'),
    reason,
  }),
  'request-crashed': define('error', 'A request met a fault of the program.', { reason }),

  'store-reached': define('info', "The platform's store answers.", { revision }),
  'store-lost': define('warn', "The platform's store does not answer.", { reason, revision }),
  'store-history-gone': define('warn', 'Changes were forgotten; everything is read again.', {
    revision,
  }),

  'configuration-applied': define('info', 'A version came into force.', {
    source,
    version: number('the version'),
    routes: number('routes in it'),
  }),
  'configuration-unreadable': define('warn', 'A version cannot be read; the last one stays.', {
    source,
    bytes: number('its length'),
  }),

  'endpoint-ready': define('info', 'The registry names an endpoint to use.', {
    endpoint,
    source,
    address: text('its address'),
    bornAt: number('Unix time of its start in milliseconds'),
  }),
  'endpoint-draining': define('info', 'The registry says that an endpoint is leaving.', {
    endpoint,
    source,
    address: text('its address'),
    bornAt: number('Unix time of its start in milliseconds'),
  }),
  'endpoint-gone': define('info', 'The registry no longer names an endpoint.', {
    endpoint,
    source,
  }),
  'endpoint-unreadable': define('warn', 'A registry entry names nothing to use.', {
    endpoint,
    source,
  }),
  'endpoint-lost': define('warn', 'An endpoint does not answer; nothing is sent there for 3 s.', {
    endpoint,
    reason,
  }),
  'endpoint-found': define('info', 'A lost endpoint answers again.', { endpoint }),
  'endpoint-leaving': define('info', 'An endpoint says that it is leaving, before the registry.', {
    endpoint,
    source: z.enum(['itself', 'peer']).describe('from whom the node has it'),
  }),
  'endpoint-rests': define('info', 'An endpoint asked to be left alone by this node.', {
    endpoint,
    milliseconds: number('for how long'),
  }),
  'endpoint-rest-unreadable': define(
    'warn',
    'An endpoint asked for rest without a readable time.',
    {
      endpoint,
      text: text('what it sent'),
    },
  ),
  'endpoint-ejected': define('warn', 'An endpoint failed several times and is left alone.', {
    endpoint,
    failures: number('failures in a row'),
    pauseMilliseconds: number('for how long'),
  }),
  'endpoint-pace': define('info', 'An endpoint turned slow or is as usual again.', {
    endpoint,
    pace: number('factor on the usual time of its work'),
  }),

  'node-joined': define('info', 'Another node lives.', { peer, incarnation }),
  'node-lost': define('warn', 'Another node was not heard for 2 s.', { peer, incarnation }),
  'node-leaving': define('info', 'Another node is leaving.', { peer, incarnation }),

  'planner-begins': define('info', 'This node orders layers from now on.', {
    nodes: number('nodes that live'),
  }),
  'planner-ends': define('info', 'Another node orders layers from now on.', {
    nodes: number('nodes that live'),
  }),
  'planner-waits': define('warn', 'Too few endpoints answer this node for it to plan.', {
    service: text('the service'),
    living: number('endpoints that answer'),
    known: number('endpoints that the registry names'),
  }),
  'order-sent': define('info', 'An endpoint was ordered to hold a range of layers.', {
    endpoint,
    from,
    to,
    held: text('layers that it held'),
    acceptedOrders: number('orders that it must have accepted before'),
    outcome: text('what it answered'),
  }),
  'order-done': define('info', 'An ordered range is held.', {
    endpoint,
    from,
    to,
    loadMilliseconds: number('milliseconds since the order'),
  }),

  'request-refused': define('warn', 'A request was refused before it was admitted.', {
    request,
    code,
  }),
  'request-admitted': define('info', 'A request was admitted.', {
    request,
    route,
    account: text('the client account; empty on a public route'),
    service: text('the service that was drawn'),
    version: number('version of the configuration'),
    promptTokens: number('tokens to read'),
    answerTokens: number('tokens that the caller expects at most'),
    leftMilliseconds: number('milliseconds until its final answer is due'),
  }),
  'path-chosen': define('info', 'A path was chosen for a run.', {
    request,
    path,
    predictedFirst: number('predicted milliseconds to the first event'),
    predictedPause: number('predicted milliseconds between events'),
    roomTokens: number('tokens that room was taken for'),
    loadAge: number("milliseconds since other nodes' load was last heard"),
    candidates: number('endpoints that were considered'),
  }),
  'path-missing': define('info', 'No path had room for a run.', {
    request,
    roomTokens: number('tokens that room was needed for'),
    loadAge: number("milliseconds since other nodes' load was last heard"),
    candidates: number('endpoints that were considered'),
    uncovered: text('layers that no usable endpoint holds'),
    tightest: text('layers with the least room, and the tokens that fit there'),
  }),
  'endpoint-chosen': define('info', 'An endpoint was chosen for a whole answer.', {
    request,
    endpoint,
    load: number('requests known to be there'),
    loadAge: number('milliseconds since it last told its load'),
    candidates: number('endpoints that were considered'),
  }),
  'attempt-failed': define('warn', 'A whole answer did not come.', {
    request,
    endpoint,
    outcome: text('notSent and notRun: it did not run; unknown: it may have run'),
    reason,
  }),
  'run-refused': define('warn', 'An endpoint refused a run without running it.', {
    request,
    reason,
    path,
  }),
  'run-broken': define('warn', 'A run broke off.', { request, reason, runs, lastEvent, path }),
  'run-moved': define('warn', 'A run was moved off a lost endpoint.', {
    request,
    outcome: text('what the first endpoint answered'),
    lastEvent,
    path: text('the path before'),
    newPath: text('the path after'),
  }),
  'first-event': define('info', 'The first event was passed on.', { request, milliseconds }),
  'request-cancelled': define('info', 'The caller went before the end of its answer.', {
    request,
    milliseconds,
    lastEvent,
  }),
  'request-failed': define('warn', "The caller's final answer was a failure.", {
    request,
    route,
    code,
    reason,
    sends: number('runs or sends that may have reached an endpoint'),
    refused: number('runs or sends that an endpoint refused'),
    lastEvent,
    milliseconds,
  }),
  'request-answered': define('info', 'The answer was whole.', {
    request,
    milliseconds,
    first: number('milliseconds to the first event; those to the answer where it has none'),
    pause: number('mean milliseconds between events; 0 where there are none'),
    longestPause: number('longest milliseconds between events; 0 where there are none'),
    sends: number('runs or sends'),
    told: z
      .enum(['slow', 'sample'])
      .describe('why it is told: later than the route allows, or one in twenty'),
  }),
} satisfies Record<string, LogEvent>;

/** Name of an event. */
export type LogEventName = keyof typeof LOG_EVENTS;

/** Fields of an event. */
export type LogFields<Name extends LogEventName> = z.infer<(typeof LOG_EVENTS)[Name]['fields']>;
