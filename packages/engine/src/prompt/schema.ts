/** The fields of OpenAI-compatible bodies that routing needs. All others are forwarded unread. */
import * as z from 'zod';

const modelName = z.string().min(1).max(256);
const tokenCount = z.number().int().nonnegative().nullish();

const shared = {
  model: modelName,
  stream: z.boolean().nullish(),
  max_tokens: tokenCount,
  n: z.number().int().positive().nullish(),
};

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatMessage = z.looseObject({
  role: z.string().min(1).max(64),
  content: z.union([z.string(), z.array(contentPart)]).nullish(),
});

/** Body of a chat completion. */
export const chatBody = z.looseObject({
  ...shared,
  messages: z.array(chatMessage).min(1),
  max_completion_tokens: tokenCount,
  continue_final_message: z.boolean().nullish(),
});

/** Body of a completion. The prompt is a text, a list of texts, a list of token ids, or a list of such lists. */
export const completionBody = z.looseObject({
  ...shared,
  prompt: z.union([
    z.string(),
    z.array(z.string()).min(1),
    z.array(z.number().int().nonnegative()).min(1),
    z.array(z.array(z.number().int().nonnegative()).min(1)).min(1),
  ]),
});

export type ChatBody = z.output<typeof chatBody>;
export type ChatMessage = z.output<typeof chatMessage>;
export type CompletionBody = z.output<typeof completionBody>;
