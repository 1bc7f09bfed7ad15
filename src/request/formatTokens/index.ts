/**
 * Formatting of tokens for callers.
 */
import type { CompletionForm } from '../readCompletion/index.js';

/** Parts of a streamed answer that are the same for all tokens. */
export interface StreamTemplate {
  readonly idPrefix: string;
  readonly beforeText: string;
  readonly afterText: string;
  readonly ending: string;
}

/** Options of {@link createStreamTemplate}. */
export interface CreateStreamTemplateOptions {
  readonly form: CompletionForm;
  readonly answerId: string;
  readonly model: string;
  /** Resume position without the index. */
  readonly resumePrefix: string;
}

/** Options of {@link formatBufferedResponse}. */
export interface FormatBufferedResponseOptions {
  readonly form: CompletionForm;
  readonly answerId: string;
  readonly model: string;
  readonly text: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/**
 * Creates the constant parts of a streamed answer.
 *
 * @param options - form, identifiers and model of the answer
 * @returns the parts before and after each token
 * @example
 * const template = createStreamTemplate({ form: 'chat', answerId, model, resumePrefix });
 */
export function createStreamTemplate(options: CreateStreamTemplateOptions): StreamTemplate {
  const { form, answerId, model, resumePrefix } = options;
  const object = form === 'chat' ? 'chat.completion.chunk' : 'text_completion';
  const head = `{"id":${JSON.stringify(answerId)},"object":"${object}","model":${JSON.stringify(model)},"choices":[{"index":0,`;
  const isChat = form === 'chat';
  const before = isChat ? '"delta":{"content":' : '"text":';
  const after = isChat ? '},"finish_reason":null}]}' : ',"finish_reason":null}]}';
  const last = isChat ? '"delta":{}' : '"text":""';
  return {
    idPrefix: `id: ${resumePrefix}:`,
    beforeText: `\ndata: ${head}${before}`,
    afterText: `${after}\n\n`,
    ending: `data: ${head}${last},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`,
  };
}

/**
 * Formats one token as a server-sent event.
 *
 * @param template - constant parts of the answer
 * @param index - position of the token in the answer
 * @param text - the token's text
 * @returns the event
 * @example
 * formatToken(template, 0, 'Raise');
 */
export function formatToken(template: StreamTemplate, index: number, text: string): string {
  return `${template.idPrefix}${index.toString()}${template.beforeText}${JSON.stringify(text)}${template.afterText}`;
}

/**
 * Formats the body of a buffered (not streamed) answer.
 *
 * @param options - the text of the answer and its token counts
 * @returns the JSON text
 * @example
 * formatBufferedResponse({ form: 'chat', answerId, model, text, promptTokens: 9, completionTokens: 40 });
 */
export function formatBufferedResponse(options: FormatBufferedResponseOptions): string {
  const { form, answerId, model, text, promptTokens, completionTokens } = options;
  const choice =
    form === 'chat'
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' };
  return JSON.stringify({
    id: answerId,
    object: form === 'chat' ? 'chat.completion' : 'text_completion',
    model,
    choices: [choice],
    usage: { prompt_tokens: promptTokens, completion_tokens: completionTokens },
  });
}
