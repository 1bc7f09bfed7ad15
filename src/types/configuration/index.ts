/**
 * Schemas and types of the configuration that operators declare by labels and selectors.
 */
import { z } from 'zod';

/** Label names with their values. */
export const labelsSchema = z.record(z.string(), z.string());
export type Labels = z.infer<typeof labelsSchema>;

/** Kinds of objects that carry labels. */
export const objectKindSchema = z.enum(['vm', 'engine', 'service', 'account']);
export type ObjectKind = z.infer<typeof objectKindSchema>;

/** A labelled object; `changedAt` is the revision of its last change. */
export const labelledObjectSchema = z.object({
  kind: objectKindSchema,
  name: z.string().regex(/^[A-Za-z0-9._-]{1,63}$/),
  labels: labelsSchema,
  changedAt: z.number().int().nonnegative().default(0),
});
export type LabelledObject = z.infer<typeof labelledObjectSchema>;

/** What a selector serves: a model with its version, or a plain service. */
export const servedSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('model'),
    model: z.string().min(1),
    version: z.string().min(1),
    adapter: z.string().default(''),
    layers: z.number().int().positive().max(1_000),
  }),
  z.object({ kind: z.literal('service'), service: z.string().min(1) }),
]);
export type Served = z.infer<typeof servedSchema>;

/** Says which callers get what from which endpoints. `share` is a weight among selectors that match. */
export const selectorSchema = z.object({
  name: z.string().regex(/^[A-Za-z0-9._-]{1,63}$/),
  callers: labelsSchema.default({}),
  endpoints: labelsSchema.default({}),
  serve: servedSchema,
  priority: z.number().int().min(0).max(9).default(5),
  share: z.number().positive().default(100),
  weigh: z.enum(['recovery', 'throughput']).default('recovery'),
  /** Time between tokens that is always acceptable, in milliseconds; by `weigh` when absent. */
  betweenTokensMilliseconds: z.number().positive().optional(),
  changedAt: z.number().int().nonnegative().default(0),
});
export type Selector = z.infer<typeof selectorSchema>;

/** One whole version of the configuration. */
export const configurationSchema = z.object({
  revision: z.number().int().nonnegative(),
  objects: z.array(labelledObjectSchema),
  selectors: z.array(selectorSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** An immutable stored part of a configuration. */
export const shardSchema = z.object({
  objects: z.array(labelledObjectSchema),
  selectors: z.array(selectorSchema),
});
export type Shard = z.infer<typeof shardSchema>;

/** The compare-and-swapped head: the digest of each shard and the newest accepted change ids. */
export const headSchema = z.object({
  revision: z.number().int().nonnegative(),
  shards: z.array(z.object({ name: z.string(), digest: z.string() })),
  changes: z.array(z.string()),
});
export type Head = z.infer<typeof headSchema>;

/** One step of a change. */
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
export type Operation = z.infer<typeof operationSchema>;

/** A change by an operator, made against the revision that the operator saw. */
export const changeSchema = z.object({
  id: z.string().min(8).max(64),
  baseRevision: z.number().int().nonnegative(),
  operations: z.array(operationSchema).min(1).max(10_000),
});
export type Change = z.infer<typeof changeSchema>;
