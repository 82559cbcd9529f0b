/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.Json;
import org.larkkeel.http.request.CallerChannel;
import org.larkkeel.http.request.CompletionFormat;
import org.larkkeel.http.request.CompletionRecord;
import org.larkkeel.http.request.CompletionRecord.Delivery;
import org.larkkeel.http.request.CompletionStyle;
import org.larkkeel.lib.ModelName;

/**
 * Parses requests to the completion endpoints.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CompletionParser {
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int MAX_TOKENS_LIMIT = 1_000_000;
  private static final ImmutableList<String> REMOVED_FIELDS =
      ImmutableList.of(
          "model",
          "prompt",
          "messages",
          "stream",
          "stream_options",
          "max_tokens",
          "max_completion_tokens",
          "n",
          "priority",
          "resume_from",
          "kv_transfer_params");

  private CompletionParser() {}

  static CompletionRecord parse(
      String path,
      RequestParser.Identity identity,
      ParsedHead head,
      byte[] body,
      CallerChannel channel,
      long nowSeconds) {
    ObjectNode root = object(body);
    boolean chat = path.equals(RequestParser.CHAT_COMPLETIONS);
    String prompt = chat ? ChatPrompt.of(root.path("messages")) : prompt(root.path("prompt"));
    checkSingleChoice(root.path("n"));
    Call.Completion call =
        new Call.Completion(
            identity.id(),
            identity.workspace(),
            head.runKey(),
            model(root.path("model")),
            Math.max(1, PrefixKeys.tokens(Utf8.encodedLength(prompt))),
            maxTokens(root, chat),
            PrefixKeys.of(prompt),
            head.deadlineMillis());
    CompletionFormat format =
        new CompletionFormat(
            chat ? CompletionStyle.CHAT : CompletionStyle.TEXT,
            (chat ? "chatcmpl-" : "cmpl-") + identity.wireId(),
            call.model().value(),
            nowSeconds);
    Delivery delivery = isStream(root.path("stream")) ? Delivery.STREAM : Delivery.SINGLE_BODY;
    root.remove(REMOVED_FIELDS);
    return new CompletionRecord(call, identity.wireId(), channel, root, prompt, format, delivery);
  }

  private static ObjectNode object(byte[] body) {
    JsonNode root;
    try {
      root = Json.parse(body);
    } catch (IOException e) {
      throw new LarkkeelException(
          ErrorKind.MALFORMED_REQUEST, "The body is not JSON: send one JSON object.", e);
    }
    if (!(root instanceof ObjectNode object)) {
      throw malformed("The body is not a JSON object: send one JSON object.");
    }
    return object;
  }

  private static String prompt(JsonNode node) {
    if (!node.isTextual() || node.asText().isEmpty()) {
      throw malformed("prompt is missing or not a text: send one text of at least a character.");
    }
    return requireValidUnicode(node.asText());
  }

  /**
   * Returns the prompt if it is valid Unicode. A lone surrogate has no UTF-8 form, so engines would
   * not agree on the prefixes of such a prompt.
   */
  static String requireValidUnicode(String prompt) {
    if (!StandardCharsets.UTF_8.newEncoder().canEncode(prompt)) {
      throw malformed("The prompt has a lone surrogate: send valid Unicode.");
    }
    return prompt;
  }

  private static ModelName model(JsonNode node) {
    if (!node.isTextual()) {
      throw malformed("model is missing or not a text: name a model.");
    }
    try {
      return new ModelName(node.asText());
    } catch (IllegalArgumentException e) {
      throw new LarkkeelException(ErrorKind.MALFORMED_REQUEST, e.getMessage(), e);
    }
  }

  private static int maxTokens(ObjectNode root, boolean chat) {
    String field =
        chat && root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    JsonNode node = root.path(field);
    if (node.isMissingNode() || node.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!node.isInt() || node.asInt() < 1 || node.asInt() > MAX_TOKENS_LIMIT) {
      throw malformed(
          field + " is " + node + ": use a whole number from 1 to " + MAX_TOKENS_LIMIT + ".");
    }
    return node.asInt();
  }

  private static boolean isStream(JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return false;
    }
    if (!node.isBoolean()) {
      throw malformed("stream is " + node + ": use true or false.");
    }
    return node.asBoolean();
  }

  private static void checkSingleChoice(JsonNode node) {
    boolean one = node.isMissingNode() || node.isNull() || (node.isInt() && node.asInt() == 1);
    if (!one) {
      throw malformed("n is " + node + ": only 1 is served.");
    }
  }

  static LarkkeelException malformed(String detail) {
    return new LarkkeelException(ErrorKind.MALFORMED_REQUEST, detail);
  }
}
