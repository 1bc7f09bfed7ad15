/**
 * Validation of label keys and values.
 */
import type { Labels, ObjectKind } from '../../types/configuration/index.js';

/** A label key that the router interprets. */
interface ReservedLabel {
  readonly kinds: readonly ObjectKind[];
  readonly pattern: RegExp;
  readonly expected: string;
}

const POSITIVE_NUMBER = /^\d{1,9}(\.\d{1,3})?$/;
const WORD = /^[A-Za-z0-9._-]{1,63}$/;
const ENDPOINT_KINDS: readonly ObjectKind[] = ['vm', 'engine', 'service'];

/** Label keys that the router interprets, by key. */
export const RESERVED_LABELS: Readonly<Record<string, ReservedLabel>> = {
  state: { kinds: ENDPOINT_KINDS, pattern: /^(live|leaving)$/, expected: 'live or leaving' },
  layers: {
    kinds: ['engine'],
    pattern: /^\d{1,4}-\d{1,4}$/,
    expected: 'FROM-TO, for example 0-16',
  },
  role: { kinds: ENDPOINT_KINDS, pattern: WORD, expected: 'a word' },
  site: { kinds: ['vm', 'engine', 'service', 'account'], pattern: WORD, expected: 'a word' },
  accelerator: { kinds: ['engine'], pattern: WORD, expected: 'a word' },
  class: { kinds: ['account'], pattern: WORD, expected: 'a word' },
  weight: { kinds: ['account'], pattern: POSITIVE_NUMBER, expected: 'a number above 0' },
  'key-sha256': {
    kinds: ['account'],
    pattern: /^[0-9a-f]{64}$/,
    expected: '64 lower-case hexadecimal digits',
  },
  'requests-per-second': {
    kinds: ['account'],
    pattern: POSITIVE_NUMBER,
    expected: 'a number above 0',
  },
  nodes: { kinds: ['account'], pattern: /^\d{1,3}$/, expected: 'a whole number of home nodes' },
};

function measureEditDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
      current[column] = Math.min(
        (previous[column] ?? 0) + 1,
        (current[column - 1] ?? 0) + 1,
        (previous[column - 1] ?? 0) + substitution,
      );
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}

function describeUnknownKey(kind: ObjectKind, key: string): string {
  const known = Object.keys(RESERVED_LABELS).filter((name) =>
    RESERVED_LABELS[name]?.kinds.includes(kind),
  );
  const nearest = [...known].sort(
    (left, right) => measureEditDistance(key, left) - measureEditDistance(key, right),
  )[0];
  const hint =
    nearest !== undefined && measureEditDistance(key, nearest) <= 3
      ? `did you mean '${nearest}'?`
      : `known keys are ${known.join(', ')}`;
  return `unknown label key '${key}' on ${kind}: ${hint}; a key of your own starts with 'x-'`;
}

/**
 * Validates the labels of one object.
 *
 * A key is valid when it starts with `x-`, or when it is reserved for the kind of object and its
 * value matches the reserved pattern.
 *
 * @param kind - kind of the labelled object
 * @param labels - the labels to check
 * @returns one message for each invalid label; empty when all labels are valid
 * @example
 * checkLabels('account', { clas: 'kiosk' }); // ["unknown label key 'clas' …"]
 */
export function checkLabels(kind: ObjectKind, labels: Labels): string[] {
  const errors: string[] = [];
  for (const [key, value] of Object.entries(labels)) {
    if (key.startsWith('x-')) continue;
    const reserved = RESERVED_LABELS[key];
    if (!reserved?.kinds.includes(kind)) {
      errors.push(describeUnknownKey(kind, key));
      continue;
    }
    if (reserved.pattern.test(value)) continue;
    errors.push(`label '${key}' of ${kind} is '${value}': expected ${reserved.expected}`);
  }
  return errors;
}
