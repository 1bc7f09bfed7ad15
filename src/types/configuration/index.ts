/**
 * Schemas and types of the configuration that operators declare by labels and selectors.
 */
import { z } from 'zod';

/** Label values by label name. */
export const labelsSchema = z.record(z.string(), z.string());
export type Labels = z.infer<typeof labelsSchema>;

/** Kinds of objects that can have labels. */
export const objectKindSchema = z.enum(['vm', 'engine', 'service', 'account']);
export type ObjectKind = z.infer<typeof objectKindSchema>;

/** Object with labels; `changedAt` is the revision of its last change. */
export const labelledObjectSchema = z.object({
  kind: objectKindSchema,
  name: z.string().regex(/^[A-Za-z0-9._-]{1,63}$/),
  labels: labelsSchema,
  changedAt: z.number().int().nonnegative().default(0),
});
export type LabelledObject = z.infer<typeof labelledObjectSchema>;

/** Target of a selector: a version of a model, or a plain service. */
export const servedTargetSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('model'),
    model: z.string().min(1),
    version: z.string().min(1),
    adapter: z.string().default(''),
    layers: z.number().int().positive().max(1_000),
  }),
  z.object({ kind: z.literal('service'), service: z.string().min(1) }),
]);
export type ServedTarget = z.infer<typeof servedTargetSchema>;

/**
 * Selector that maps callers to a target and the endpoints that serve it.
 * `share` is the weight among the selectors that match.
 */
export const selectorSchema = z.object({
  name: z.string().regex(/^[A-Za-z0-9._-]{1,63}$/),
  callers: labelsSchema.default({}),
  endpoints: labelsSchema.default({}),
  serve: servedTargetSchema,
  priority: z.number().int().min(0).max(9).default(5),
  share: z.number().positive().default(100),
  weigh: z.enum(['recovery', 'throughput']).default('recovery'),
  /** Time between tokens that is always acceptable, in milliseconds; `weigh` sets the default. */
  betweenTokensMilliseconds: z.number().positive().optional(),
  changedAt: z.number().int().nonnegative().default(0),
});
export type Selector = z.infer<typeof selectorSchema>;

/** Complete version of the configuration. */
export const configurationSchema = z.object({
  revision: z.number().int().nonnegative(),
  objects: z.array(labelledObjectSchema),
  selectors: z.array(selectorSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** Immutable stored part of a configuration. */
export const shardSchema = z.object({
  objects: z.array(labelledObjectSchema),
  selectors: z.array(selectorSchema),
});
export type ConfigurationShard = z.infer<typeof shardSchema>;

/** Head, written by compare-and-swap: digest of each shard and ids of the latest accepted changes. */
export const headSchema = z.object({
  revision: z.number().int().nonnegative(),
  shards: z.array(z.object({ name: z.string(), digest: z.string() })),
  changes: z.array(z.string()),
});
export type ConfigurationHead = z.infer<typeof headSchema>;

/** Single operation of a change. */
export const operationSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('setLabels'),
    object: objectKindSchema,
    name: z.string(),
    labels: z.record(z.string(), z.string().nullable()),
  }),
  z.object({ kind: z.literal('putSelector'), selector: selectorSchema }),
  z.object({ kind: z.literal('removeSelector'), name: z.string() }),
]);
export type ConfigurationOperation = z.infer<typeof operationSchema>;

/** Operator's change, based on the revision that the operator read. */
export const changeSchema = z.object({
  id: z.string().min(8).max(64),
  baseRevision: z.number().int().nonnegative(),
  operations: z.array(operationSchema).min(1).max(10_000),
});
export type ConfigurationChange = z.infer<typeof changeSchema>;
