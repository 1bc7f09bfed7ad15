/**
 * Schema of the settings file. `docs/SETTINGS.md` lists every setting with its unit and default.
 */
import { z } from 'zod';
import { BODY_TIMEOUT_MILLISECONDS, MAXIMUM_BODY_BYTES } from '../../../constants/index.js';

const hostSchema = z.string().min(1);
const portSchema = z.number().int().min(0).max(65_535);
const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected HOST:PORT');
const nameSchema = z.string().regex(/^[A-Za-z0-9._-]{1,63}$/, 'expected letters, digits, . _ -');

/** Source of a secret: a file or an environment variable. */
export const secretSchema = z
  .strictObject({ file: z.string().optional(), environment: z.string().optional() })
  .refine(({ file, environment }) => (file === undefined) !== (environment === undefined), {
    error: "expected either 'file' or 'environment'",
  });
export type SecretSource = z.infer<typeof secretSchema>;

/** Certificate files of a listener. */
export const tlsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  authorityFile: z.string().optional(),
});
export type TlsSettings = z.infer<typeof tlsSchema>;

const listenerShape = {
  host: hostSchema.default('127.0.0.1'),
  port: portSchema,
  /** Address that others connect to, when it differs from host and port. */
  advertised: addressSchema.optional(),
  tls: tlsSchema.optional(),
  allowPlaintextBeyondLoopback: z.boolean().default(false),
};

const limitSchema = z.number().int().positive().optional();

/** Limits of caller connections that replace those derived from the memory and descriptors of the process. */
const connectionLimitsSchema = z.strictObject({
  memoryBytes: limitSchema,
  connectionBytes: limitSchema,
  connections: limitSchema,
  connectionsPerAddress: limitSchema,
  pipelinedRequests: limitSchema,
  bodyChunks: limitSchema,
  unreadMilliseconds: limitSchema,
  stallMilliseconds: limitSchema,
});

/** The settings of one node. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({ name: nameSchema, vm: nameSchema, availabilityZone: nameSchema }),
  callers: z.strictObject({
    ...listenerShape,
    bodyTimeoutMilliseconds: z.number().int().positive().default(BODY_TIMEOUT_MILLISECONDS),
    maximumBodyBytes: z.number().int().positive().default(MAXIMUM_BODY_BYTES),
    limits: connectionLimitsSchema.prefault({}),
  }),
  operators: z.strictObject({ ...listenerShape, key: secretSchema }),
  peers: z.strictObject({
    ...listenerShape,
    key: secretSchema,
    seeds: z.array(addressSchema).default([]),
  }),
  platform: z.strictObject({ address: addressSchema, key: secretSchema.optional() }),
  links: z
    .array(
      z.strictObject({
        between: z.array(nameSchema).length(2),
        latencyMilliseconds: z.number().nonnegative(),
        perPromptTokenMilliseconds: z.number().nonnegative(),
      }),
    )
    .default([]),
  defaultLink: z
    .strictObject({
      latencyMilliseconds: z.number().nonnegative(),
      perPromptTokenMilliseconds: z.number().nonnegative(),
    })
    .default({ latencyMilliseconds: 0.5, perPromptTokenMilliseconds: 0.01 }),
  addressExpirySeconds: z.number().positive().default(30),
  drainLimitSeconds: z.number().positive().default(600),
  loadsPerSecond: z.number().positive().default(2),
  logLevel: z.enum(['info', 'warn', 'error', 'silent']).default('info'),
});
export type Settings = z.infer<typeof settingsSchema>;
export type ListenerSettings = Pick<
  Settings['operators'],
  'host' | 'port' | 'advertised' | 'tls' | 'allowPlaintextBeyondLoopback'
>;
