/**
 * Encoding of gossip facts about engines and VMs.
 */
import { z } from 'zod';
import { engineReportSchema, type EngineReport } from '../../../types/endpoint/index.js';
import { vmSchema, type Vm } from '../../../types/platform/index.js';
import { parseJson } from '../../parseJson/index.js';

/**
 * Parses an engine's report.
 *
 * @param body - body of the response
 * @returns the report, or undefined when it is invalid
 * @example
 * parseReport(result.body)?.active;
 */
export function parseReport(body: string): EngineReport | undefined {
  return engineReportSchema.safeParse(parseJson(body)).data;
}

const encodedReportSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.array(z.string()),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);

const LEAVING_FLAG = 1;
const LOADING_FLAG = 2;
const FENCING_FLAG = 4;

/**
 * Encodes a report for gossip, without field names and without the load.
 *
 * @param report - the report
 * @returns the report as a JSON array
 * @example
 * encodeReport(report);
 */
export function encodeReport(report: EngineReport): string {
  const flags =
    (report.leaving ? LEAVING_FLAG : 0) +
    (report.loading ? LOADING_FLAG : 0) +
    (report.checksFencing ? FENCING_FLAG : 0);
  const { incarnation, model, version, adapters, from, to, layersPerSecond, fencing } = report;
  return JSON.stringify([
    incarnation,
    model,
    version,
    adapters,
    from,
    to,
    Math.round(layersPerSecond),
    flags,
    fencing,
  ]);
}

/**
 * Decodes a report that a peer encoded.
 *
 * @param text - text that `encodeReport` returned
 * @param active - active requests at the engine, which gossip carries separately
 * @returns the report, or undefined when it is invalid
 * @example
 * decodeReport(fact.value, 3);
 */
export function decodeReport(text: string, active: number): EngineReport | undefined {
  const { data } = encodedReportSchema.safeParse(parseJson(text));
  if (!data) return undefined;
  const [incarnation, model, version, adapters, from, to, layersPerSecond, flags, fencing] = data;
  return {
    incarnation,
    model,
    version,
    adapters,
    from,
    to,
    active,
    layersPerSecond,
    leaving: (flags & LEAVING_FLAG) !== 0,
    loading: (flags & LOADING_FLAG) !== 0,
    checksFencing: (flags & FENCING_FLAG) !== 0,
    fencing,
  };
}

/**
 * Parses a VM that a peer published.
 *
 * @param text - the VM as JSON
 * @returns the VM, or undefined when it is invalid
 * @example
 * parseVm(fact.value)?.state;
 */
export function parseVm(text: string): Vm | undefined {
  return vmSchema.safeParse(parseJson(text)).data;
}
