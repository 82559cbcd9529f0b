/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.util.List;

/**
 * The messages of an engine; their JSON names are in snake case.
 *
 * @since 0.1
 */
final class EngineMessages {
  /** Reads and writes the messages; unknown fields are ignored, as in the completion API. */
  static final ObjectMapper MAPPER =
      new ObjectMapper()
          .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private EngineMessages() {}

  /** A prefill or decode request. */
  record Completion(
      String model,
      String prompt,
      Integer maxTokens,
      boolean stream,
      int priority,
      int resumeFrom,
      KvParams kvTransferParams) {}

  /** Where a KV cache is, or what is to be done with it. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record KvParams(
      Boolean doRemoteDecode,
      Boolean doRemotePrefill,
      String remoteEngineId,
      List<String> remoteBlockIds,
      String remoteHost,
      Integer remotePort,
      Long kvBytes) {}

  /** The answer to a prefill. */
  record PrefillAnswer(String id, Usage usage, KvParams kvTransferParams) {}

  /** The tokens of a prompt. */
  record Usage(int promptTokens, UsageDetails promptTokensDetails) {}

  /** The tokens found in the prefix cache. */
  record UsageDetails(int cachedTokens) {}

  /** A request to import a KV cache. */
  record ImportRequest(String requestId, KvParams kvTransferParams) {}

  /** The answer to an import, with what a further import needs. */
  record ImportAnswer(String requestId, long kvBytes, KvParams kvTransferParams) {}

  /** What an engine asks another for during an import. */
  enum ExportStep {
    BEGIN,
    DONE,
    ABORT
  }

  /** A step of an import, from engine to engine. */
  record ExportRequest(ExportStep step, String remoteEngineId, String block) {}

  /** The answer to a step of an import. */
  record ExportAnswer(int promptTokens, long kvBytes) {}

  /** One token of a stream. */
  record Chunk(String id, List<Choice> choices) {}

  /** The one choice of a token. */
  record Choice(int index, String text, int tokenIndex, String finishReason) {}

  /** The answer to a cancel. */
  record CancelAnswer(String state) {}

  /** The requests held. */
  record HeldRequests(long incarnation, List<HeldRequest> requests) {}

  /** One request held. */
  record HeldRequest(String id, String stage, boolean slot) {}

  /** The load at an earlier time. */
  record Load(
      long incarnation,
      long ageMillis,
      String role,
      int slots,
      int running,
      int waiting,
      int kvPieces,
      int kvPiecesFree,
      List<String> models) {}

  /** The cache events that have appeared. */
  record CacheEvents(long incarnation, List<CacheEvent> events) {}

  /** One change of the prefix cache. */
  record CacheEvent(long seq, List<String> stored, List<String> removed) {}

  /** An order with its fencing number. */
  record OrderRequest(Long fencing, Order order) {}

  /** An order. */
  record Order(String type, String model, String version, String adapter, String role) {}

  /** What is in force. */
  record OrdersInForce(long fencing, String role, List<String> models, List<String> adapters) {}

  /** An error. */
  record ErrorAnswer(ErrorBody error) {}

  /** The code and text of an error. */
  record ErrorBody(String code, String message) {}
}
