/**
 * Schemas and types of the messages exchanged with engines and plain services.
 */
import { z } from 'zod';

/** Stage of a pipeline: the engine runs the layers from `from` up to, but not including, `to`. */
export const stageSchema = z.object({
  engine: z.string(),
  address: z.string(),
  from: z.number().int(),
  to: z.number().int(),
});
export type Stage = z.infer<typeof stageSchema>;

/** Request to a pipeline of engines to generate tokens; sent to the first stage. */
export const runRequestSchema = z.object({
  attempt: z.string(),
  route: z.array(stageSchema),
  model: z.string(),
  version: z.string(),
  adapter: z.string(),
  prompt: z.string(),
  startIndex: z.number().int(),
  maximumTokens: z.number().int(),
  priority: z.number().int(),
});
export type RunRequest = z.infer<typeof runRequestSchema>;

/**
 * Line of a run's response. `trace` lists the stages that ran as `engine:from-to`, separated by commas;
 * `loads` gives the number of active sequences of each stage; `last` marks the final token.
 */
export const tokenLineSchema = z.object({
  index: z.number().int(),
  trace: z.string(),
  text: z.string(),
  loads: z.array(z.number()).optional(),
  last: z.boolean().optional(),
});
export type TokenLine = z.infer<typeof tokenLineSchema>;

/** Report of an engine about its state and load. */
export const engineReportSchema = z.object({
  incarnation: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  from: z.number().int(),
  to: z.number().int(),
  active: z.number(),
  layersPerSecond: z.number(),
  leaving: z.boolean(),
  loading: z.boolean(),
  checksFencing: z.boolean(),
  fencing: z.number(),
});
export type EngineReport = z.infer<typeof engineReportSchema>;

/** Complete target state of an engine. */
export const engineStateSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  from: z.number().int(),
  to: z.number().int(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** Order to an engine, with the fencing number of the claim under which it was sent. */
export const engineOrderSchema = z.object({
  id: z.string(),
  fencing: z.number().int(),
  state: engineStateSchema,
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;
