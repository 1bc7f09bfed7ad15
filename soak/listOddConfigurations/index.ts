/**
 * Configurations that no operator can have meant: nodes keep the one that they have.
 */
import { createConfiguration } from '../createConfiguration/index.js';

const DEPTH = 100_000;
/** Number above all versions of a run: a node that takes the odd configuration takes no good one after it. */
const ODD_VERSION = 1_000_000;
const DEEP_LIST = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

/** JSON text of a field whose value is not what the field means. */
const ODD_FIELDS: readonly (readonly [string, string])[] = [
  ['version', '1e400'],
  ['version', '"1000000"'],
  ['version', '1000000.5'],
  ['routes', '7'],
  ['routes', DEEP_LIST],
  ['services', '[{"name":"records","engine":{"layers":1000000000000000,"layer_mb":300}}]'],
  ['services', '[{"engine":{}}]'],
  ['limits', '{"max_body_bytes":-1}'],
  ['limits', '{"header_timeout_ms":1e400}'],
  ['tenants', '{}'],
];

/** Texts that are no configuration at all. */
const ODD_TEXTS = ['', '{', 'null', '[]', '7', DEEP_LIST, '['.repeat(DEPTH)];

/** Writes a configuration without routes, one field of which is odd. */
function writeOddField([field, text]: readonly [string, string], timeoutMilliseconds: number) {
  const sound = { ...createConfiguration(ODD_VERSION, timeoutMilliseconds), routes: [] };
  const fields = Object.entries(sound)
    .filter(([name]) => name !== field)
    .map(([name, value]) => `${JSON.stringify(name)}:${JSON.stringify(value)}`);
  return `{${[...fields, `${JSON.stringify(field)}:${text}`].join(',')}}`;
}

/**
 * Lists odd configurations: each is no configuration at all, or one without routes, of a high version and with a field
 * that is odd.
 *
 * @param timeoutMilliseconds - time limit of a request, in milliseconds
 * @returns the texts to write to the store
 * @example
 * store.put('op/config', listOddConfigurations(4_000)[0]);
 */
export function listOddConfigurations(timeoutMilliseconds: number): string[] {
  return [...ODD_FIELDS.map((field) => writeOddField(field, timeoutMilliseconds)), ...ODD_TEXTS];
}
