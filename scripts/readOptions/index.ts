/**
 * Options of the repository's scripts.
 */
import { basename } from 'node:path';
import { parseArgs, type ParseArgsConfig } from 'node:util';

type OptionTable = NonNullable<ParseArgsConfig['options']>;

/** Exit code of a command that was called wrongly. */
const WRONG_CALL = 2;

function describeOptions(options: OptionTable): string {
  return Object.entries(options)
    .map(([name, option]) => {
      const { default: fallback } = option;
      return typeof fallback === 'string' ? `--${name} (${fallback})` : `--${name}`;
    })
    .join(', ');
}

/**
 * Reads a script's options; prints them and ends where help is asked for or an option is unknown.
 *
 * @param options - the options, by name, with their defaults
 * @returns the values
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
  } catch (fault) {
    console.error(`${fault instanceof Error ? fault.message : String(fault)}\n${known}`);
    process.exit(WRONG_CALL);
  }
}
