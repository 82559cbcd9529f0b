/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Makes one prompt of the messages of a chat.
 *
 * <p>Each message becomes {@code role: content} and a line feed; {@code assistant:} ends the
 * prompt. A longer chat thus begins with the prompt of the shorter one, which prefix caches need.
 * Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ChatPrompt {
  private static final String ANSWER_FOLLOWS = "assistant:";

  private ChatPrompt() {}

  /**
   * Makes the prompt.
   *
   * @param messages an array of objects with {@code role} and {@code content}
   * @return the prompt
   * @throws org.larkkeel.errors.LarkkeelException if the messages are something else
   */
  public static String of(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw CompletionParser.malformed(
          "messages is missing or empty: send an array of at least one message.");
    }
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; i < messages.size(); i++) {
      prompt.append(text(messages.path(i), i, "role"));
      prompt.append(": ");
      prompt.append(text(messages.path(i), i, "content"));
      prompt.append('\n');
    }
    return CompletionParser.checked(prompt.append(ANSWER_FOLLOWS).toString());
  }

  private static String text(JsonNode message, int index, String field) {
    JsonNode value = message.path(field);
    if (!value.isTextual()) {
      throw CompletionParser.malformed(
          "messages[" + index + "]." + field + " is missing or not a text: send a text.");
    }
    return value.asText();
  }
}
