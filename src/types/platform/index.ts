/**
 * Schemas and types of the platform's key-value service and VM list.
 */
import { z } from 'zod';
import { labelsSchema } from '../configuration/index.js';

/** Call to the platform. Durations are in milliseconds. */
export const platformCallSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('get'), key: z.string() }),
  z.object({ kind: z.literal('list'), prefix: z.string() }),
  z.object({
    kind: z.literal('compareAndSwap'),
    key: z.string(),
    expectedRevision: z.number().int(),
    value: z.string(),
    lease: z.string().optional(),
  }),
  z.object({ kind: z.literal('grantLease'), milliseconds: z.number() }),
  z.object({ kind: z.literal('renewLease'), lease: z.string() }),
  z.object({
    kind: z.literal('watch'),
    key: z.string(),
    afterRevision: z.number().int(),
    waitMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal('listVms') }),
]);
export type PlatformCall = z.infer<typeof platformCallSchema>;

/** Stored value with the revision of its last write. */
export const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.number() });
export type PlatformEntry = z.infer<typeof entrySchema>;

/** VM in the platform's list; its tags describe what it runs. */
export const vmSchema = z.object({
  name: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  state: z.enum(['live', 'leaving']),
  tags: labelsSchema,
});
export type Vm = z.infer<typeof vmSchema>;

/**
 * Result of a platform call. `refused` guarantees that the call had no effect;
 * `unknown` means that the call may have taken effect, or may take effect later.
 */
export const platformResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('entry'), entry: entrySchema.nullable() }),
  z.object({ kind: z.literal('entries'), entries: z.array(entrySchema) }),
  z.object({ kind: z.literal('swapped'), revision: z.number() }),
  z.object({ kind: z.literal('conflict'), entry: entrySchema.nullable() }),
  z.object({ kind: z.literal('lease'), lease: z.string() }),
  z.object({ kind: z.literal('renewed'), live: z.boolean() }),
  z.object({ kind: z.literal('vms'), vms: z.array(vmSchema) }),
  z.object({ kind: z.literal('refused') }),
  z.object({ kind: z.literal('unknown') }),
]);
export type PlatformResult = z.infer<typeof platformResultSchema>;
