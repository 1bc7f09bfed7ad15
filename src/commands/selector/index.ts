/**
 * `marjoramcleat selector`: creates, replaces and removes selectors.
 */
import { defineCommand } from 'citty';
import { z } from 'zod';
import { selectorSchema, type ConfigurationOperation } from '../../types/configuration/index.js';
import { NODE_ARGUMENTS } from '../callNode/index.js';
import { readJsonFile, submitChange } from '../label/index.js';
import { printError } from '../printOutput/index.js';

function readSelectors(file: string): ConfigurationOperation[] | undefined {
  const value = readJsonFile(file);
  if (value === undefined) return undefined;
  const parsed = z.array(selectorSchema).safeParse(Array.isArray(value) ? value : [value]);
  if (parsed.success) return parsed.data.map((selector) => ({ kind: 'putSelector', selector }));
  const [issue] = parsed.error.issues;
  printError('invalidChange', `${file}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
  return undefined;
}

/** The `selector` command. */
export const selectorCommand = defineCommand({
  meta: {
    name: 'selector',
    description:
      'Create, replace or remove selectors. Examples: selector --file selectors.json; selector --remove fit-batch',
  },
  args: {
    ...NODE_ARGUMENTS,
    file: { type: 'string', description: 'JSON file with one selector or a list of them' },
    remove: { type: 'string', description: 'name of a selector to remove' },
    'allow-unmatched': {
      type: 'boolean',
      description: 'accept a selector that matches no endpoint yet',
      default: false,
    },
  },
  run: async ({ args }) => {
    if (args.remove !== undefined) {
      await submitChange(args, [{ kind: 'removeSelector', name: args.remove }], false);
      return;
    }
    if (args.file === undefined) {
      printError('invalidChange', 'neither --file nor --remove is given; see selector --help');
      return;
    }
    const operations = readSelectors(args.file);
    if (operations) await submitChange(args, operations, args['allow-unmatched']);
  },
});
