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
 * <p>All fields that are not final are guarded by the monitor of the {@link EngineState}.
 *
 * @since 0.1
 */
final class EngineRequest {
  /** The stages of a request; several of them have the same name on the wire. */
  enum Stage {
    QUEUED("prefilling"),
    PREFILLING("prefilling"),
    HELD("held"),
    IMPORTING("importing"),
    DECODING("decoding"),
    FINISHED("finished"),
    EVICTED("finished"),
    CANCELLED("cancelled");

    final String wireName;

    Stage(String word) {
      this.wireName = word;
    }

    boolean isTerminal() {
      return this == FINISHED || this == EVICTED || this == CANCELLED;
    }
  }

  final String id;
  final String blockId;
  final int promptTokens;
  final int pieces;
  final int priority;
  final long sequenceNumber;
  final List<String> prefixKeys;

  Stage stage;
  boolean holdsSlot;
  boolean holdsMemory;
  int cachedTokens;
  boolean prefilled;
  long evictAtNanos = Long.MAX_VALUE;
  AnswerOracle.Answer answer;
  int producedTokens;
  int answerTokens;
  String finishReason;

  EngineRequest(
      String id,
      long sequenceNumber,
      int promptTokens,
      int pieces,
      int priority,
      List<String> prefixKeys,
      Stage stage) {
    this.id = id;
    this.sequenceNumber = sequenceNumber;
    this.blockId = "block-" + sequenceNumber;
    this.promptTokens = promptTokens;
    this.pieces = pieces;
    this.priority = priority;
    this.prefixKeys = prefixKeys;
    this.stage = stage;
  }
}
