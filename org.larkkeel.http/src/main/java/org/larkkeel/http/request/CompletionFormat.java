/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.larkkeel.http.Json;
import org.larkkeel.http.upstream.Token;

/**
 * Writes the answer of a completion in the form asked for.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param style the form
 * @param id the id of the answer
 * @param model the model asked for
 * @param createdSeconds when the request arrived, seconds since 1970
 * @since 0.1
 */
public record CompletionFormat(
    CompletionStyle style, String id, String model, long createdSeconds) {
  /** The last event of a whole stream. */
  static final byte[] END = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private static final String STOP = "stop";

  /** One event of a stream. */
  byte[] event(Token token) {
    ObjectNode root = head(style == CompletionStyle.CHAT ? "chat.completion.chunk" : textObject());
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (style == CompletionStyle.CHAT) {
      ObjectNode delta = choice.putObject("delta");
      if (token.index() == 0) {
        delta.put("role", "assistant");
      }
      delta.put("content", token.text());
    } else {
      choice.put("text", token.text());
    }
    choice.put("token_index", token.index());
    choice.put("finish_reason", token.finishReason().isEmpty() ? null : token.finishReason());
    return sse(Json.bytes(root));
  }

  /** The whole answer in one body. */
  RecordedAnswer whole(String text, String finishReason, int promptTokens, int tokens) {
    ObjectNode root = head(style == CompletionStyle.CHAT ? "chat.completion" : textObject());
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (style == CompletionStyle.CHAT) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason.isEmpty() ? STOP : finishReason);
    root.putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", tokens)
        .put("total_tokens", promptTokens + tokens);
    return new RecordedAnswer(
        StatusCodes.OK,
        ImmutableList.of(new RecordedAnswer.Header("Content-Type", "application/json")),
        Json.bytes(root));
  }

  /** The one event of a stream that repeats a recorded body. */
  byte[] replayed(byte[] body) {
    JsonNode choice;
    try {
      choice = Json.parse(body).path("choices").path(0);
    } catch (IOException e) {
      throw new UncheckedIOException("a recorded answer is not JSON", e);
    }
    JsonNode text = choice.path(style == CompletionStyle.CHAT ? "message" : "text");
    String content = text.isObject() ? text.path("content").asText() : text.asText();
    return event(new Token(0, content, choice.path("finish_reason").asText()));
  }

  private static byte[] sse(byte[] data) {
    byte[] before = "data: ".getBytes(StandardCharsets.UTF_8);
    byte[] event = new byte[before.length + data.length + 2];
    System.arraycopy(before, 0, event, 0, before.length);
    System.arraycopy(data, 0, event, before.length, data.length);
    event[event.length - 2] = '\n';
    event[event.length - 1] = '\n';
    return event;
  }

  private static String textObject() {
    return "text_completion";
  }

  private ObjectNode head(String object) {
    ObjectNode root = Json.object();
    root.put("id", id);
    root.put("object", object);
    root.put("created", createdSeconds);
    root.put("model", model);
    return root;
  }
}
