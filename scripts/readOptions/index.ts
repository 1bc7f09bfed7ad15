/**
 * Options of the repository's scripts.
 */
import { basename } from 'node:path';
import { parseArgs, type ParseArgsConfig } from 'node:util';

type OptionTable = NonNullable<ParseArgsConfig['options']>;

/** Exit code of a script that was called with invalid options. */
const INVALID_USAGE_EXIT_CODE = 2;

function describeOptions(options: OptionTable): string {
  return Object.entries(options)
    .map(([name, option]) => {
      const { default: defaultValue } = option;
      return typeof defaultValue === 'string' ? `--${name} (${defaultValue})` : `--${name}`;
    })
    .join(', ');
}

/**
 * Parses a script's options. With `--help` or an unknown option, prints the known options and
 * exits.
 *
 * @param options - definitions of the options by name, with their defaults
 * @returns the values by option name
 * @example
 * const { site } = readOptions({ site: { type: 'string', default: 'fit-desk' } });
 */
export function readOptions<Options extends OptionTable>(options: Options) {
  const known = `options of ${basename(process.argv[1] ?? '', '.ts')}: ${describeOptions(options)}`;
  if (process.argv.includes('--help')) {
    console.log(known);
    process.exit(0);
  }
  try {
    return parseArgs({ options }).values;
  } catch (error) {
    console.error(`${error instanceof Error ? error.message : String(error)}\n${known}`);
    process.exit(INVALID_USAGE_EXIT_CODE);
  }
}
