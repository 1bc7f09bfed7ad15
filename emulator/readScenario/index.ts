/**
 * Reads the sites and days that the emulator plays from JSON files.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';

const acceleratorSchema = z.object({
  name: z.string(),
  memoryMegabytes: z.number(),
  pace: z.number(),
  readFactor: z.number(),
});

const modelSchema = z.object({
  layers: z.number().int(),
  layerMegabytes: z.number(),
  tokenBytes: z.number(),
  stepMilliseconds: z.number(),
  stepMillisecondsPerSequence: z.number(),
  stepMillisecondsPerThousandTokens: z.number(),
  readTokensPerSecond: z.number(),
  /** Maximum number of prompt tokens that one step prefills in addition to decode steps. */
  chunkTokens: z.number(),
  stride: z.number(),
  slots: z.number(),
  activationBytes: z.number(),
  linkMegabitsPerSecond: z.number(),
  pipeMegabitsPerSecond: z.number(),
  usualPromptTokens: z.number(),
  usualAnswerTokens: z.number(),
  loadSeconds: z.number(),
  /** Time for which work waits for a failed engine before its stream fails. */
  stallMilliseconds: z.number(),
  kinds: z.array(acceleratorSchema),
});

const requestSchema = z.object({
  name: z.string(),
  kind: z.enum(['stream', 'safe', 'atMostOnce']),
  perSecond: z.number(),
  objectiveMilliseconds: z.number(),
  longestPauseMilliseconds: z.number().default(250),
  deadlineMilliseconds: z.number(),
  timeoutMilliseconds: z.number(),
  mostAttempts: z.number(),
  priority: z.number(),
  promptTokens: z.number().default(0),
  mostPromptTokens: z.number().default(0),
  answerEvents: z.number().default(0),
  mostAnswerEvents: z.number().default(0),
});

const siteSchema = z.object({
  name: z.string(),
  availabilityZones: z.array(z.string()),
  /** Number of nodes in each availability zone, in the order of the zones. */
  nodes: z.array(z.number().int()),
  engines: z.array(z.object({ kind: z.string(), counts: z.array(z.number().int()) })),
  model: modelSchema,
  plain: z.object({
    counts: z.array(z.number().int()),
    slots: z.number(),
    queue: z.number(),
    workMilliseconds: z.number(),
  }),
  requests: z.array(requestSchema),
  accounts: z.number().int(),
  /** Time before the first request, in which layers are loaded. */
  leadSeconds: z.number(),
  zoneMilliseconds: z.number(),
  callerMilliseconds: z.number(),
});

const spanSchema = { at: z.number(), seconds: z.number() };

const faultSchema = z.discriminatedUnion('kind', [
  /** More requests, of one priority or of all. */
  z.object({
    kind: z.literal('burst'),
    ...spanSchema,
    factor: z.number(),
    priority: z.number().optional(),
  }),
  /** The demand of each zone rises and falls by a share of its mean, one zone after the other. */
  z.object({
    kind: z.literal('demandWave'),
    ...spanSchema,
    amplitude: z.number(),
    periodSeconds: z.number(),
  }),
  z.object({
    kind: z.literal('crashEngines'),
    ...spanSchema,
    count: z.number(),
    isDark: z.boolean(),
  }),
  z.object({ kind: z.literal('drainEngines'), ...spanSchema, count: z.number() }),
  z.object({ kind: z.literal('loseZone'), ...spanSchema, zone: z.number().int() }),
  z.object({
    kind: z.literal('slowEngines'),
    ...spanSchema,
    count: z.number(),
    factor: z.number(),
  }),
  z.object({
    kind: z.literal('greyServices'),
    ...spanSchema,
    count: z.number(),
    share: z.number(),
  }),
  /** Endpoints announce a rate limit: first endpoints of paths, and those of the plain service. */
  z.object({
    kind: z.literal('limitEndpoints'),
    ...spanSchema,
    engines: z.number(),
    plain: z.number(),
    requestsPerSecond: z.number(),
  }),
  /** Nodes lose their links to all endpoints. */
  z.object({
    kind: z.literal('cutNodes'),
    ...spanSchema,
    share: z.number(),
    how: z.enum(['hang', 'reset', 'refuse']),
  }),
  z.object({ kind: z.literal('lateOrders'), ...spanSchema, share: z.number() }),
  z.object({ kind: z.literal('storeAway'), ...spanSchema, share: z.number() }),
  /** The store is away for a time, and returns from a copy that was so old when it went away. */
  z.object({ kind: z.literal('restoreStore'), ...spanSchema, ageSeconds: z.number() }),
  /** The open connections to the store go silent, and new ones work. */
  z.object({ kind: z.literal('silenceConnections'), at: z.number() }),
  z.object({ kind: z.literal('changeConfiguration'), at: z.number() }),
  z.object({ kind: z.literal('replaceNodes'), at: z.number(), gapSeconds: z.number() }),
  z.object({ kind: z.literal('loseNodes'), ...spanSchema, share: z.number() }),
]);

const daySchema = z.object({
  name: z.string(),
  seconds: z.number(),
  /** Factor on the site's request rate. */
  rate: z.number().default(1),
  /** Whether streams have neither a length nor chunks, and end with their connection; not by default. */
  isUnframed: z.boolean().optional(),
  troubles: z.array(faultSchema),
});

/** Emulated site. */
export type VirtualSite = z.infer<typeof siteSchema>;
/** Class of requests. */
export type RequestClass = z.infer<typeof requestSchema>;
/** Emulated day: its request rate and faults. */
export type VirtualDay = z.infer<typeof daySchema>;
/** Fault that the emulator injects during a day. */
export type InjectedFault = z.infer<typeof faultSchema>;

function readFile<Value>(file: string, schema: z.ZodType<Value>): Value {
  const parsed = schema.safeParse(JSON.parse(readFileSync(file, 'utf8')));
  if (parsed.success) return parsed.data;
  throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
}

/**
 * Reads a site.
 *
 * @param file - path of the JSON file
 * @returns the site; throws an error that lists the invalid fields
 * @example
 * readSite('examples/emulator/fit-desk.json').model.layers;
 */
export function readSite(file: string): VirtualSite {
  return readFile(file, siteSchema);
}

/**
 * Reads a day.
 *
 * @param file - path of the JSON file
 * @returns the day; throws an error that lists the invalid fields
 * @example
 * readDay('examples/emulator/days/calm.json').seconds;
 */
export function readDay(file: string): VirtualDay {
  return readFile(file, daySchema);
}
