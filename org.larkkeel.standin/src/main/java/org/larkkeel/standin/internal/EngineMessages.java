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
 * The messages of the engine protocol. Their JSON names are the names of the record components in
 * snake case.
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

  /** A prefill request or a decode request. */
  record Completion(
      String model,
      String prompt,
      Integer maxTokens,
      boolean stream,
      int priority,
      int resumeFrom,
      KvParams kvTransferParams) {}

  /** The location of a KV cache, or the kind of a completion request. */
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

  /** The number of tokens of a prompt. */
  record Usage(int promptTokens, UsageDetails promptTokensDetails) {}

  /** The number of tokens found in the prefix cache. */
  record UsageDetails(int cachedTokens) {}

  /** A request to import a KV cache. */
  record ImportRequest(String requestId, KvParams kvTransferParams) {}

  /** The answer to an import, with the parameters to import the KV cache from here. */
  record ImportAnswer(String requestId, long kvBytes, KvParams kvTransferParams) {}

  /** The steps by which an importing engine controls the export at the source engine. */
  enum ExportStep {
    BEGIN,
    DONE,
    ABORT
  }

  /** One step of an export, sent by the importing engine to the source engine. */
  record ExportRequest(ExportStep step, String remoteEngineId, String block) {}

  /** The answer to a step of an export. */
  record ExportAnswer(int promptTokens, long kvBytes) {}

  /** One event of a stream, with one token. */
  record Chunk(String id, List<Choice> choices) {}

  /** The only choice of an event, with the text of its token. */
  record Choice(int index, String text, int tokenIndex, String finishReason) {}

  /** The answer to the cancellation of a request. */
  record CancelAnswer(String state) {}

  /** The requests that an engine holds. */
  record HeldRequests(long incarnation, List<HeldRequest> requests) {}

  /** One request that an engine holds. */
  record HeldRequest(String id, String stage, boolean slot) {}

  /** The load of an engine, as it was {@code ageMillis} ago. */
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

  /** The cache events that are visible. */
  record CacheEvents(long incarnation, List<CacheEvent> events) {}

  /** One change of the prefix cache. */
  record CacheEvent(long seq, List<String> stored, List<String> removed) {}

  /** An order to an engine with its fencing number. */
  record OrderRequest(Long fencing, Order order) {}

  /** An order to an engine. */
  record Order(String type, String model, String version, String adapter, String role) {}

  /** The state of an engine that orders control, with the last accepted fencing number. */
  record OrdersInForce(long fencing, String role, List<String> models, List<String> adapters) {}

  /** An error. */
  record ErrorAnswer(ErrorBody error) {}

  /** The code and text of an error. */
  record ErrorBody(String code, String message) {}
}
