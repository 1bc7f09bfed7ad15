/**
 * Decision on a call that may not be repeated, from the platform's answer to its intent.
 */
import { z } from 'zod';
import { parseJson } from '../../process/parseJson/index.js';
import type { PlatformEntry, PlatformResult } from '../../types/platform/index.js';

/** A journal record of one call, by client account and idempotency key. */
export const journalRecordSchema = z.object({
  /** Identifier of the attempt that wrote the intent; it alone may send the call. */
  attempt: z.string(),
  node: z.string(),
  incarnation: z.number(),
  /** Digest of the request. */
  digest: z.string(),
  /** The caller's number of the try that wrote the record. */
  tryNumber: z.number().default(1),
  /** `intent`: may have been sent; `abandoned`: never was and never will be by this attempt. */
  state: z.enum(['intent', 'answered', 'abandoned', 'unknown']),
  status: z.number().default(0),
  contentType: z.string().default(''),
  body: z.string().default(''),
});
export type JournalRecord = z.infer<typeof journalRecordSchema>;

/** What to do next. */
export type IntentDecision =
  | { readonly kind: 'send'; readonly revision: number }
  | { readonly kind: 'claim'; readonly expectedRevision: number }
  | { readonly kind: 'readBack' }
  | { readonly kind: 'keyReused' }
  | { readonly kind: 'replay'; readonly record: JournalRecord }
  | { readonly kind: 'join'; readonly record: JournalRecord }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'notRun' };

/** Options of {@link decideIntent}. */
export interface DecideIntentOptions {
  readonly result: PlatformResult;
  /** Identifier of this attempt. */
  readonly attempt: string;
  readonly digest: string;
  /** The caller's number of this try. */
  readonly tryNumber: number;
}

/**
 * Reads a journal record.
 *
 * @param text - the stored value
 * @returns the record, or undefined when the value is not one
 * @example
 * readJournalRecord(entry.value)?.state;
 */
export function readJournalRecord(text: string): JournalRecord | undefined {
  return journalRecordSchema.safeParse(parseJson(text)).data;
}

/**
 * An abandoned key may be run by the same or a later try. An earlier one comes late: the caller has
 * been told since that nothing ran.
 */
function decideAbandoned(
  expectedRevision: number,
  record: JournalRecord,
  { tryNumber }: DecideIntentOptions,
): IntentDecision {
  if (tryNumber < record.tryNumber) return { kind: 'unknown' };
  return { kind: 'claim', expectedRevision };
}

function decideEntry(entry: PlatformEntry, options: DecideIntentOptions): IntentDecision {
  const record = readJournalRecord(entry.value);
  if (!record) return { kind: 'unknown' };
  if (record.digest !== options.digest) return { kind: 'keyReused' };
  if (record.state === 'answered') return { kind: 'replay', record };
  if (record.state === 'abandoned') return decideAbandoned(entry.revision, record, options);
  if (record.state === 'unknown') return { kind: 'unknown' };
  if (record.attempt === options.attempt) return { kind: 'send', revision: entry.revision };
  return { kind: 'join', record };
}

/**
 * Decides what follows from the platform's answer to a call on an intent.
 *
 * Only the attempt that wrote the intent may send. A lost reply is settled by reading back: when
 * the record is absent the claim is repeated under the same attempt identifier, which is idempotent.
 *
 * @param options - the platform's answer, this attempt, and the digest of its request
 * @returns the decision
 * @example
 * decideIntent({ result: { kind: 'swapped', revision: 4 }, attempt: 'a', digest: 'd' }); // send
 */
export function decideIntent(options: DecideIntentOptions): IntentDecision {
  const { result } = options;
  if (result.kind === 'swapped') return { kind: 'send', revision: result.revision };
  if (result.kind === 'refused') return { kind: 'notRun' };
  if (result.kind !== 'conflict' && result.kind !== 'entry') return { kind: 'readBack' };
  if (!result.entry) return { kind: 'claim', expectedRevision: 0 };
  return decideEntry(result.entry, options);
}
