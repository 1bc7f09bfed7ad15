/**
 * Reading of the command line's targets and label arguments.
 */
import { Result } from 'true-myth';
import { objectKindSchema, type ObjectKind } from '../../types/configuration/index.js';

/** A labelled object as the command line names it: `KIND/NAME`. */
export interface Target {
  readonly object: ObjectKind;
  readonly name: string;
}

/** Labels to set, or null for labels to remove. */
export type LabelChange = Readonly<Record<string, string | null>>;

/**
 * Reads a target.
 *
 * @param text - `KIND/NAME`
 * @returns the target, or what is wrong
 * @example
 * readTarget('account/kiosk-mission');
 */
export function readTarget(text: string): Result<Target, string> {
  const [kind = '', name = '', ...rest] = text.split('/');
  const object = objectKindSchema.safeParse(kind);
  if (!object.success || name === '' || rest.length > 0) {
    const kinds = objectKindSchema.options.join(', ');
    return Result.err(`'${text}' is not KIND/NAME, where KIND is one of ${kinds}`);
  }
  return Result.ok({ object: object.data, name });
}

/**
 * Reads label arguments.
 *
 * @param texts - `KEY=VALUE` to set, `KEY-` to remove
 * @returns the change, or what is wrong
 * @example
 * readLabels(['class=kiosk', 'state-']);
 */
export function readLabels(texts: readonly string[]): Result<LabelChange, string> {
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
