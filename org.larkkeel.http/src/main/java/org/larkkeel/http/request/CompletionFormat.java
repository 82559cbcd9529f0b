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
 * Formats the answer of a completion in the style of the endpoint that was called.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param style the style
 * @param id the id of the answer
 * @param model the name of the requested model
 * @param createdSeconds the arrival time of the request, seconds since 1970
 * @since 0.1
 */
public record CompletionFormat(
    CompletionStyle style, String id, String model, long createdSeconds) {
  /** The last event of a complete stream. */
  static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private static final String DEFAULT_FINISH_REASON = "stop";

  /** Returns the stream event of a token. */
  byte[] event(Token token) {
    ObjectNode root =
        commonFields(style == CompletionStyle.CHAT ? "chat.completion.chunk" : textObjectType());
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
    return dataEvent(Json.bytes(root));
  }

  /** Returns the complete answer in one body. */
  RecordedAnswer completeAnswer(String text, String finishReason, int promptTokens, int tokens) {
    ObjectNode root =
        commonFields(style == CompletionStyle.CHAT ? "chat.completion" : textObjectType());
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (style == CompletionStyle.CHAT) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason.isEmpty() ? DEFAULT_FINISH_REASON : finishReason);
    root.putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", tokens)
        .put("total_tokens", promptTokens + tokens);
    return new RecordedAnswer(
        StatusCodes.OK,
        ImmutableList.of(new RecordedAnswer.Header("Content-Type", "application/json")),
        Json.bytes(root));
  }

  /** Returns the single content event of a stream that replays a recorded body. */
  byte[] replayEvent(byte[] body) {
    JsonNode choice;
    try {
      choice = Json.parse(body).path("choices").path(0);
    } catch (IOException e) {
      throw new UncheckedIOException("the recorded answer is not JSON", e);
    }
    JsonNode text = choice.path(style == CompletionStyle.CHAT ? "message" : "text");
    String content = text.isObject() ? text.path("content").asText() : text.asText();
    return event(new Token(0, content, choice.path("finish_reason").asText()));
  }

  private static byte[] dataEvent(byte[] json) {
    byte[] prefix = "data: ".getBytes(StandardCharsets.UTF_8);
    byte[] event = new byte[prefix.length + json.length + 2];
    System.arraycopy(prefix, 0, event, 0, prefix.length);
    System.arraycopy(json, 0, event, prefix.length, json.length);
    event[event.length - 2] = '\n';
    event[event.length - 1] = '\n';
    return event;
  }

  private static String textObjectType() {
    return "text_completion";
  }

  private ObjectNode commonFields(String object) {
    ObjectNode root = Json.object();
    root.put("id", id);
    root.put("object", object);
    root.put("created", createdSeconds);
    root.put("model", model);
    return root;
  }
}
