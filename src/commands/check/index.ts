/**
 * `marjoramcleat check`: checks a settings file.
 */
import { defineCommand } from 'citty';
import { readSettings, type SettingsFault } from '../../process/settings/readSettings/index.js';
import { printError } from '../printOutput/index.js';

/**
 * Formats the faults of a settings file, one a line.
 *
 * @param file - path of the file
 * @param faults - the faults
 * @returns the text
 * @example
 * formatFaults('node.json', [{ path: 'callers.port', message: 'expected number' }]);
 */
export function formatFaults(file: string, faults: readonly SettingsFault[]): string {
  return faults
    .map(({ path, message }) => `${file}: ${path === '' ? message : `${path}: ${message}`}`)
    .join('\n');
}

/** The command. */
export const checkCommand = defineCommand({
  meta: {
    name: 'check',
    description:
      'Check a settings file and report every fault. Example: check --settings node-1.json',
  },
  args: { settings: { type: 'string', description: 'settings file', required: true } },
  run: ({ args }) => {
    const loaded = readSettings(args.settings);
    if (loaded.isErr) printError('invalidSettings', formatFaults(args.settings, loaded.error));
    else process.stdout.write(`${args.settings}: valid\n`);
  },
});
