/**
 * Schemas and types of the messages exchanged with engines and plain services.
 */
import { z } from 'zod';

/** One stage of a chain: the engine runs the layers from `from` up to, but not including, `to`. */
export const stageSchema = z.object({
  engine: z.string(),
  address: z.string(),
  from: z.number().int(),
  to: z.number().int(),
});
export type Stage = z.infer<typeof stageSchema>;

/** Asks a chain of engines to generate tokens; sent to the first stage. */
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
 * One line of a run's answer. `trace` lists each stage that ran as `engine:from-to`, by commas;
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

/** What an engine reports about itself. */
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

/** The state an engine has to hold, as an absolute value. */
export const engineStateSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  from: z.number().int(),
  to: z.number().int(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** An order to an engine with the fencing number of the claim it was sent under. */
export const engineOrderSchema = z.object({
  id: z.string(),
  fencing: z.number().int(),
  state: engineStateSchema,
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;
