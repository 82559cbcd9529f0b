/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Converts the messages of a chat into one prompt.
 *
 * <p>Each message becomes {@code role: content} and a line feed; {@code assistant:} ends the
 * prompt. The prompt of a continued chat therefore begins with the prompt of the shorter chat, as
 * the prefix caches of engines require. Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ChatPrompt {
  private static final String ANSWER_PREFIX = "assistant:";

  private ChatPrompt() {}

  /**
   * Converts messages into a prompt.
   *
   * @param messages an array of objects with {@code role} and {@code content}
   * @return the prompt
   * @throws org.larkkeel.errors.LarkkeelException if {@code messages} is empty or has another form,
   *     or the text is not valid Unicode
   */
  public static String of(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw CompletionParser.malformed(
          "messages is missing or empty: send an array of at least one message.");
    }
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; i < messages.size(); i++) {
      prompt.append(textField(messages.path(i), i, "role"));
      prompt.append(": ");
      prompt.append(textField(messages.path(i), i, "content"));
      prompt.append('\n');
    }
    return CompletionParser.requireValidUnicode(prompt.append(ANSWER_PREFIX).toString());
  }

  private static String textField(JsonNode message, int index, String field) {
    JsonNode value = message.path(field);
    if (!value.isTextual()) {
      throw CompletionParser.malformed(
          "messages[" + index + "]." + field + " is missing or not a text: send a text.");
    }
    return value.asText();
  }
}
