/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.List;
import org.larkkeel.standin.AnswerOracle;

/**
 * One request at an engine.
 *
 * <p>Guarded by the monitor of its {@link EngineState}, but for the final fields.
 *
 * @since 0.1
 */
final class EngineRequest {
  /** The stages of a request. */
  enum Stage {
    QUEUED("prefilling"),
    PREFILLING("prefilling"),
    HELD("held"),
    IMPORTING("importing"),
    DECODING("decoding"),
    FINISHED("finished"),
    EVICTED("finished"),
    CANCELLED("cancelled");

    final String word;

    Stage(String word) {
      this.word = word;
    }

    boolean isOver() {
      return this == FINISHED || this == EVICTED || this == CANCELLED;
    }
  }

  final String id;
  final String block;
  final int promptTokens;
  final int pieces;
  final int priority;
  final long order;
  final List<String> prefixKeys;

  Stage stage;
  boolean slot;
  boolean memory;
  int cachedTokens;
  boolean prefilled;
  long evictAt = Long.MAX_VALUE;
  AnswerOracle.Answer answer;
  int produced;
  int end;
  String finishReason;

  EngineRequest(
      String id,
      long order,
      int promptTokens,
      int pieces,
      int priority,
      List<String> prefixKeys,
      Stage stage) {
    this.id = id;
    this.order = order;
    this.block = "block-" + order;
    this.promptTokens = promptTokens;
    this.pieces = pieces;
    this.priority = priority;
    this.prefixKeys = prefixKeys;
    this.stage = stage;
  }
}
