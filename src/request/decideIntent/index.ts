/**
 * Decision on the next step of a booking, from the platform's reply to the write or read of its intent.
 */
import { z } from 'zod';
import { parseJson } from '../../process/parseJson/index.js';
import type { PlatformEntry, PlatformResult } from '../../types/platform/index.js';

/** Journal record of one call, identified by client account and idempotency key. */
export const journalRecordSchema = z.object({
  /** Identifier of the attempt that wrote the intent; only this attempt may send the call. */
  attempt: z.string(),
  node: z.string(),
  incarnation: z.number(),
  /** Digest of the request. */
  digest: z.string(),
  /** Number that the caller gave the try that wrote the record. */
  tryNumber: z.number().default(1),
  /** `intent`: may have been sent; `abandoned`: was not and will not be sent by this attempt. */
  state: z.enum(['intent', 'answered', 'abandoned', 'unknown']),
  status: z.number().default(0),
  contentType: z.string().default(''),
  body: z.string().default(''),
});
export type JournalRecord = z.infer<typeof journalRecordSchema>;

/** Next step of a booking. */
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
  /** Number that the caller gave this try. */
  readonly tryNumber: number;
}

/**
 * Parses a journal record.
 *
 * @param text - the stored value
 * @returns the record, or undefined when the value is not a valid record
 * @example
 * readJournalRecord(entry.value)?.state;
 */
export function readJournalRecord(text: string): JournalRecord | undefined {
  return journalRecordSchema.safeParse(parseJson(text)).data;
}

/**
 * Decides on an abandoned key: the same or a later try may run it. An earlier try must not run, because
 * it arrives after the caller received the response that nothing was executed.
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
 * Decides the next step from the platform's reply to the write or read of an intent.
 *
 * Only the attempt that wrote the intent may send the call. After a lost reply the record is read back;
 * when it is absent, the claim is repeated with the same attempt identifier, which is idempotent.
 *
 * @param options - the platform's reply, this attempt, and the digest of its request
 * @returns the decision
 * @example
 * decideIntent({ result: { kind: 'swapped', revision: 4 }, attempt: 'a', digest: 'd', tryNumber: 1 }).kind; // 'send'
 */
export function decideIntent(options: DecideIntentOptions): IntentDecision {
  const { result } = options;
  if (result.kind === 'swapped') return { kind: 'send', revision: result.revision };
  if (result.kind === 'refused') return { kind: 'notRun' };
  if (result.kind !== 'conflict' && result.kind !== 'entry') return { kind: 'readBack' };
  if (!result.entry) return { kind: 'claim', expectedRevision: 0 };
  return decideEntry(result.entry, options);
}
