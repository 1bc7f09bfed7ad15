/**
 * Schemas and types of the events that a node handles and the effects that it requests.
 * Both are plain data, so that any driver can run a node with its own clock and network.
 */
import { z } from 'zod';
import { runRequestSchema, tokenLineSchema } from '../endpoint/index.js';
import { peerMessageSchema } from '../peer/index.js';
import { platformCallSchema, platformResultSchema } from '../platform/index.js';

const headersSchema = z.record(z.string(), z.string());

/** Events that a node handles. */
export const nodeEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('start') }),
  z.object({
    kind: z.literal('callerRequest'),
    request: z.string(),
    method: z.string(),
    path: z.string(),
    headers: headersSchema,
    body: z.string(),
  }),
  z.object({ kind: z.literal('callerGone'), request: z.string() }),
  z.object({
    kind: z.literal('operatorRequest'),
    request: z.string(),
    method: z.string(),
    path: z.string(),
    body: z.string(),
  }),
  z.object({ kind: z.literal('tokens'), attempt: z.string(), lines: z.array(tokenLineSchema) }),
  z.object({ kind: z.literal('runEnded'), attempt: z.string() }),
  z.object({
    kind: z.literal('runFailed'),
    attempt: z.string(),
    sent: z.boolean(),
    /** Name of the engine that failed; empty when it is unknown. */
    engine: z.string(),
    leaving: z.boolean(),
  }),
  z.object({
    kind: z.literal('reply'),
    call: z.string(),
    status: z.number(),
    contentType: z.string(),
    body: z.string(),
  }),
  z.object({ kind: z.literal('callFailed'), call: z.string(), sent: z.boolean() }),
  z.object({ kind: z.literal('peerMessage'), message: peerMessageSchema }),
  z.object({ kind: z.literal('platformResult'), call: z.string(), result: platformResultSchema }),
  z.object({ kind: z.literal('timerDue'), timer: z.string() }),
  z.object({ kind: z.literal('leave') }),
]);
export type NodeEvent = z.infer<typeof nodeEventSchema>;

/** Metrics recorded in histograms per client account and class, in milliseconds. */
export const metricSchema = z.enum([
  'firstToken',
  'betweenTokens',
  'wholeAnswer',
  'queueing',
  'recovery',
]);
export type Metric = z.infer<typeof metricSchema>;

/** Effects that a node requests from its driver. Durations are in milliseconds. */
export const nodeEffectSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('answer'),
    request: z.string(),
    status: z.number(),
    headers: headersSchema,
    body: z.string(),
  }),
  z.object({ kind: z.literal('streamStart'), request: z.string(), headers: headersSchema }),
  z.object({ kind: z.literal('streamData'), request: z.string(), data: z.string() }),
  z.object({ kind: z.literal('streamEnd'), request: z.string() }),
  z.object({ kind: z.literal('run'), address: z.string(), run: runRequestSchema }),
  z.object({ kind: z.literal('cancelRun'), attempt: z.string() }),
  z.object({
    kind: z.literal('callEndpoint'),
    call: z.string(),
    address: z.string(),
    method: z.string(),
    path: z.string(),
    headers: headersSchema,
    body: z.string(),
    timeoutMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal('sendPeer'), address: z.string(), message: peerMessageSchema }),
  z.object({
    kind: z.literal('callPlatform'),
    call: z.string(),
    platformCall: platformCallSchema,
    timeoutMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('setTimer'),
    timer: z.string(),
    delayMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal('clearTimer'), timer: z.string() }),
  z.object({
    kind: z.literal('log'),
    level: z.enum(['info', 'warn', 'error']),
    event: z.string(),
    fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  }),
  z.object({
    kind: z.literal('observe'),
    metric: metricSchema,
    account: z.string(),
    class: z.string(),
    milliseconds: z.number(),
  }),
  z.object({ kind: z.literal('count'), counter: z.string() }),
  z.object({ kind: z.literal('exit'), code: z.number() }),
]);
export type NodeEffect = z.infer<typeof nodeEffectSchema>;
