/**
 * Tokens of the stand-in model: a pure function of model variant, prompt and position.
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
const MINIMUM_ANSWER_TOKENS = 12;
const ANSWER_TOKEN_RANGE = 24;

/**
 * Computes the number of tokens in an answer.
 *
 * @param options - model variant and prompt
 * @param maximumTokens - limit of the caller
 * @returns the number of tokens
 * @example
 * countAnswerTokens(options, 64);
 */
export function countAnswerTokens(options: GenerateTokenOptions, maximumTokens: number): number {
  const length =
    MINIMUM_ANSWER_TOKENS + (hashText(`length/${options.prompt}`) % ANSWER_TOKEN_RANGE);
  return Math.min(length, maximumTokens);
}

/**
 * Computes one token of an answer.
 *
 * @param options - model variant and prompt
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
 * Computes a complete answer, for comparison in tests.
 *
 * @param options - model variant and prompt
 * @param maximumTokens - limit of the caller
 * @returns the text
 * @example
 * generateAnswer(options, 64);
 */
export function generateAnswer(options: GenerateTokenOptions, maximumTokens: number): string {
  const count = countAnswerTokens(options, maximumTokens);
  return Array.from({ length: count }, (_, index) => generateToken(options, index)).join('');
}
