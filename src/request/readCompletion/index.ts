/**
 * Parsing of completion requests and their resume positions.
 */
import { Result } from 'true-myth';
import { z } from 'zod';
import {
  DEFAULT_DEADLINE_MILLISECONDS,
  DEFAULT_MAXIMUM_ANSWER_TOKENS,
} from '../../constants/index.js';
import { parseJson } from '../../process/parseJson/index.js';
import { digestText } from '../../version/digestText/index.js';

const common = {
  model: z.string().min(1).max(128),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(4_096).default(DEFAULT_MAXIMUM_ANSWER_TOKENS),
};

const completionSchema = z.object({ ...common, prompt: z.string().min(1) });

const chatSchema = z.object({
  ...common,
  messages: z
    .array(z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }))
    .min(1)
    .max(256),
});

/** Forms in which a caller may request a completion. */
export type CompletionForm = 'completion' | 'chat';

/** Position at which an interrupted answer resumes, and the model variant that started it. */
export interface ResumePosition {
  readonly selector: string;
  readonly version: string;
  readonly adapter: string;
  readonly nextIndex: number;
}

/** A parsed completion request. */
export interface Completion {
  readonly form: CompletionForm;
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly maximumTokens: number;
  readonly deadlineMilliseconds: number;
  /** First 16 digits of the digest of the body. */
  readonly digest: string;
  readonly resume?: ResumePosition;
}

/** Options of {@link readCompletion}. */
export interface ReadCompletionOptions {
  readonly form: CompletionForm;
  readonly body: string;
  readonly lastEventId?: string | undefined;
  /** Value of the header with the caller's deadline in milliseconds. */
  readonly deadline?: string | undefined;
}

const RESUME = /^([A-Za-z0-9._-]+):([^:]+):([^:]*):([0-9a-f]{16}):(\d{1,6})$/;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

function readResume(text: string, digest: string): Result<ResumePosition, string> {
  const [, selector, version, adapter, bodyDigest, index] = RESUME.exec(text) ?? [];
  if (selector === undefined || version === undefined || adapter === undefined) {
    return Result.err('Last-Event-ID is not an id of this system');
  }
  if (bodyDigest !== digest) return Result.err('Last-Event-ID belongs to a different body');
  return Result.ok({ selector, version, adapter, nextIndex: Number(index) + 1 });
}

function readDeadline(text: string | undefined): number | undefined {
  if (text === undefined) return DEFAULT_DEADLINE_MILLISECONDS;
  if (!/^\d{1,7}$/.test(text)) return undefined;
  return Math.min(Math.max(1, Number(text)), MAXIMUM_DEADLINE_MILLISECONDS);
}

/**
 * Parses a completion request.
 *
 * @param options - the form, the body and the relevant headers
 * @returns the request, or a message that describes the error
 * @example
 * readCompletion({ form: 'completion', body: '{"model":"fit-assistant","prompt":"Saddle height?"}' });
 */
export function readCompletion(options: ReadCompletionOptions): Result<Completion, string> {
  const { form, body, lastEventId } = options;
  const json = parseJson(body);
  if (json === undefined) return Result.err('the body is not valid JSON');
  const deadlineMilliseconds = readDeadline(options.deadline);
  if (deadlineMilliseconds === undefined) {
    return Result.err('X-Deadline-Milliseconds is not a whole number of milliseconds');
  }
  const parsed = form === 'chat' ? chatSchema.safeParse(json) : completionSchema.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return Result.err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`);
  }
  const { data } = parsed;
  const prompt =
    'prompt' in data
      ? data.prompt
      : data.messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
  const digest = digestText(`${form}\n${data.model}\n${prompt}\n${data.max_tokens.toString()}`);
  const completion: Completion = {
    form,
    model: data.model,
    prompt,
    stream: data.stream,
    maximumTokens: data.max_tokens,
    deadlineMilliseconds,
    digest: digest.slice(0, 16),
  };
  if (lastEventId === undefined || lastEventId === '') return Result.ok(completion);
  return readResume(lastEventId, completion.digest).map((resume) => ({ ...completion, resume }));
}
