/**
 * The tokens of the stand-in model: a pure function of variant, prompt and position.
 */
import { hashText } from '../../src/process/hashRendezvous/index.js';

/** Options of {@link generateToken}. */
export interface GenerateTokenOptions {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly prompt: string;
}

const WORDS =
  'saddle reach pedal cleat stem height selle guidon réglage hauteur knee hip clog sole strap alder birch ceilidh fitting note raise lower forward back slightly two three millimetres then ride again'.split(
    ' ',
  );
const SHORTEST_ANSWER = 12;
const ANSWER_SPREAD = 24;

/**
 * Computes the number of tokens of an answer.
 *
 * @param options - variant and prompt
 * @param maximumTokens - the caller's limit
 * @returns the number of tokens
 * @example
 * countAnswerTokens(options, 64);
 */
export function countAnswerTokens(options: GenerateTokenOptions, maximumTokens: number): number {
  const length = SHORTEST_ANSWER + (hashText(`length/${options.prompt}`) % ANSWER_SPREAD);
  return Math.min(length, maximumTokens);
}

/**
 * Computes one token of an answer.
 *
 * @param options - variant and prompt
 * @param index - position of the token
 * @returns its text
 * @example
 * generateToken({ model: 'fit-assistant', version: '1', adapter: '', prompt: 'Saddle?' }, 0);
 */
export function generateToken(options: GenerateTokenOptions, index: number): string {
  const { model, version, adapter, prompt } = options;
  const hash = hashText(`${model}/${version}/${adapter}/${prompt}/${index.toString()}`);
  return `${WORDS[hash % WORDS.length] ?? ''} `;
}

/**
 * Computes a whole answer, for checks.
 *
 * @param options - variant and prompt
 * @param maximumTokens - the caller's limit
 * @returns the text
 * @example
 * generateAnswer(options, 64);
 */
export function generateAnswer(options: GenerateTokenOptions, maximumTokens: number): string {
  const count = countAnswerTokens(options, maximumTokens);
  return Array.from({ length: count }, (_, index) => generateToken(options, index)).join('');
}
