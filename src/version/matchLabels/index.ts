/**
 * Matching of labels by selectors.
 */
import type { Labels } from '../../types/configuration/index.js';

/**
 * Returns whether labels satisfy a match.
 *
 * Every label of the match must be present with one of the accepted values, which are separated by
 * `|`.
 *
 * @param match - required labels; an empty match is satisfied by all labels
 * @param labels - the labels to test
 * @returns true when every required label is satisfied
 * @example
 * matchLabels({ class: 'kiosk|clinic' }, { class: 'kiosk' }); // true
 */
export function matchLabels(match: Labels, labels: Labels): boolean {
  for (const key in match) {
    const value = labels[key];
    if (value === undefined) return false;
    const accepted = match[key] ?? '';
    if (accepted !== value && !accepted.split('|').includes(value)) return false;
  }
  return true;
}
