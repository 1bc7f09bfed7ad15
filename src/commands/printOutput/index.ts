/**
 * Output of the command line.
 */
import { RESULT_CODES, type ResultCodeName } from '../../process/resultCodes/index.js';

/** Output formats. */
export type OutputFormat = 'table' | 'json';

/** A row of a table: values by column name. */
export type Row = Readonly<Record<string, string | number | boolean>>;

const RED = '\u001b[31m';
const BOLD = '\u001b[1m';
const RESET = '\u001b[0m';

/** Exit codes by the class of a result code, which is its number divided by 100. */
const EXIT_CODES_BY_CLASS: Record<number, number> = { 14: 2, 15: 3, 16: 4 };

function colorize(text: string, color: string, isTerminal: boolean): string {
  return isTerminal ? `${color}${text}${RESET}` : text;
}

/**
 * Formats rows as a table.
 *
 * @param rows - rows with the same columns
 * @param isTerminal - true to print the heading in bold
 * @returns the table, one row per line
 * @example
 * formatTable([{ node: 'node-1', state: 'alive' }], false);
 */
export function formatTable(rows: readonly Row[], isTerminal: boolean): string {
  const [first] = rows;
  if (!first) return '(none)';
  const columns = Object.keys(first);
  const cell = (row: Row, column: string): string => String(row[column] ?? '');
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => cell(row, column).length)),
  );
  const heading = columns.map((column, index) => column.padEnd(widths[index] ?? 0)).join('  ');
  const lines = rows.map((row) =>
    columns
      .map((column, index) => cell(row, column).padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return [colorize(heading.trimEnd(), BOLD, isTerminal), ...lines].join('\n');
}

/**
 * Prints a value in the given format.
 *
 * @param format - `table` or `json`
 * @param value - the value to print as JSON
 * @param rows - the rows to print as a table
 * @returns nothing
 * @example
 * printOutput('json', { revision: 4 }, []);
 */
export function printOutput(format: OutputFormat, value: unknown, rows: readonly Row[]): void {
  const isTerminal = process.stdout.isTTY;
  const text = format === 'json' ? JSON.stringify(value) : formatTable(rows, isTerminal);
  process.stdout.write(`${text}\n`);
}

/**
 * Returns the exit code of a result code.
 *
 * @param code - name of the result code
 * @returns 2 for errors that the user can correct, 3 for the state of the system, 4 for the
 * environment of the process
 * @example
 * getExitCode('changeConflict'); // 2
 */
export function getExitCode(code: ResultCodeName): number {
  return EXIT_CODES_BY_CLASS[Math.floor(RESULT_CODES[code].code / 100)] ?? 1;
}

/**
 * Prints an error and sets the exit code.
 *
 * @param code - name of the result code
 * @param message - what failed, where, and how to correct it
 * @returns nothing
 * @example
 * printError('addressInUse', 'callers: 127.0.0.1:8101 is in use; stop the other process or change the port');
 */
export function printError(code: ResultCodeName, message: string): void {
  const { code: number, name } = RESULT_CODES[code];
  const label = colorize(`error ${number.toString()} ${name}`, RED, process.stderr.isTTY);
  process.stderr.write(`${label}: ${message}\n`);
  process.exitCode = getExitCode(code);
}
