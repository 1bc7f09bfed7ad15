/**
 * `marjoramcleat check`: validates a settings file.
 */
import { defineCommand } from 'citty';
import { readSettings, type SettingsError } from '../../process/settings/readSettings/index.js';
import { printError } from '../printOutput/index.js';

/**
 * Formats the errors of a settings file, one per line.
 *
 * @param file - path of the file
 * @param errors - the errors
 * @returns the text
 * @example
 * formatSettingsErrors('node.json', [{ path: 'callers.port', message: 'expected number' }]);
 */
export function formatSettingsErrors(file: string, errors: readonly SettingsError[]): string {
  return errors
    .map(({ path, message }) => `${file}: ${path === '' ? message : `${path}: ${message}`}`)
    .join('\n');
}

/** The `check` command. */
export const checkCommand = defineCommand({
  meta: {
    name: 'check',
    description:
      'Validate a settings file and report every error. Example: check --settings node-1.json',
  },
  args: { settings: { type: 'string', description: 'settings file', required: true } },
  run: ({ args }) => {
    const loaded = readSettings(args.settings);
    if (loaded.isErr)
      printError('invalidSettings', formatSettingsErrors(args.settings, loaded.error));
    else process.stdout.write(`${args.settings}: valid\n`);
  },
});
