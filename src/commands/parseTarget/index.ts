/**
 * Parsing of targets and label arguments of the command line.
 */
import { Result } from 'true-myth';
import { objectKindSchema, type ObjectKind } from '../../types/configuration/index.js';

/** Labelled object, which the command line names as `KIND/NAME`. */
export interface Target {
  readonly object: ObjectKind;
  readonly name: string;
}

/** Values of labels to set; null for labels to remove. */
export type LabelChange = Readonly<Record<string, string | null>>;

/**
 * Parses a target.
 *
 * @param text - `KIND/NAME`
 * @returns the target, or the error message
 * @example
 * parseTarget('account/kiosk-mission');
 */
export function parseTarget(text: string): Result<Target, string> {
  const [kind = '', name = '', ...rest] = text.split('/');
  const object = objectKindSchema.safeParse(kind);
  if (!object.success || name === '' || rest.length > 0) {
    const kinds = objectKindSchema.options.join(', ');
    return Result.err(`'${text}' is not KIND/NAME, where KIND is one of ${kinds}`);
  }
  return Result.ok({ object: object.data, name });
}

/**
 * Parses label arguments.
 *
 * @param texts - `KEY=VALUE` to set, `KEY-` to remove
 * @returns the change, or the error message
 * @example
 * parseLabels(['class=kiosk', 'state-']);
 */
export function parseLabels(texts: readonly string[]): Result<LabelChange, string> {
  const labels: Record<string, string | null> = {};
  for (const text of texts) {
    const separator = text.indexOf('=');
    if (separator > 0) labels[text.slice(0, separator)] = text.slice(separator + 1);
    else if (text.length > 1 && text.endsWith('-')) labels[text.slice(0, -1)] = null;
    else return Result.err(`'${text}' is neither KEY=VALUE nor KEY-`);
  }
  if (texts.length === 0) return Result.err('no label is given: write KEY=VALUE or KEY-');
  return Result.ok(labels);
}
