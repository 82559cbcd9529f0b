/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.http.upstream.Token;
import org.larkkeel.lib.AttemptId;

/**
 * A completion request in progress.
 *
 * <p>Invariants: each token index is forwarded at most once and in order, without gaps; tokens of
 * an attempt that is not the current one are dropped. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class CompletionRecord implements RequestRecord {
  private final Call.Completion call;
  private final String wireId;
  private final CallerChannel channel;
  private final ObjectNode fields;
  private final String prompt;
  private final CompletionFormat format;
  private final Delivery delivery;
  private final Map<AttemptId, JsonNode> kvParams = new HashMap<>();
  private final StringBuilder text = new StringBuilder();
  private AttemptId current;
  private String finishReason = "";
  private int nextToken;
  private boolean complete;

  /** How the answer is delivered to the caller. */
  public enum Delivery {
    /** As a stream, token by token. */
    STREAM,
    /** In one body. */
    SINGLE_BODY
  }

  /** The result of forwarding a token. */
  enum ForwardResult {
    /** Forwarded: it was the next token of the answer. */
    FORWARDED,
    /** Dropped: its index was forwarded before, or its attempt is not the current one. */
    DROPPED,
    /** Not forwarded: a token before it is missing. */
    GAP
  }

  /**
   * Creates a record.
   *
   * @param call the call
   * @param wireId the id of the request as the caller knows it
   * @param channel sends the answer to the caller
   * @param fields the fields of the request that are forwarded to engines as they are; must not be
   *     modified afterwards
   * @param prompt the prompt that engines get
   * @param format formats the answer
   * @param delivery how the answer is delivered
   */
  public CompletionRecord(
      Call.Completion call,
      String wireId,
      CallerChannel channel,
      ObjectNode fields,
      String prompt,
      CompletionFormat format,
      Delivery delivery) {
    this.call = call;
    this.wireId = wireId;
    this.channel = channel;
    this.fields = fields;
    this.prompt = prompt;
    this.format = format;
    this.delivery = delivery;
  }

  @Override
  public Call.Completion call() {
    return call;
  }

  @Override
  public String wireId() {
    return wireId;
  }

  @Override
  public CallerChannel channel() {
    return channel;
  }

  /** Returns a new request body for an engine, which the caller may extend. */
  ObjectNode engineBody(int priority) {
    ObjectNode body = fields.deepCopy();
    body.put("model", call.model().value());
    body.put("prompt", prompt);
    body.put("max_tokens", call.maxTokens());
    body.put("priority", priority);
    return body;
  }

  synchronized void storeKvParams(AttemptId prefill, JsonNode params) {
    kvParams.put(prefill, params);
  }

  synchronized Optional<JsonNode> kvParams(AttemptId prefill) {
    return Optional.ofNullable(kvParams.get(prefill));
  }

  /** Makes a decode attempt the current one. */
  synchronized void makeCurrent(AttemptId attempt) {
    current = attempt;
    complete = false;
  }

  /** Drops all further tokens of an attempt. */
  synchronized void dropFurtherTokens(AttemptId attempt) {
    if (attempt.equals(current)) {
      current = null;
    }
  }

  synchronized ForwardResult forward(AttemptId attempt, Token token) {
    if (!attempt.equals(current) || token.index() < nextToken) {
      return ForwardResult.DROPPED;
    }
    if (token.index() > nextToken) {
      return ForwardResult.GAP;
    }
    nextToken++;
    finishReason = token.finishReason();
    if (keepsText()) {
      text.append(token.text());
    }
    if (delivery == Delivery.STREAM) {
      channel.stream(format.event(token));
    }
    return ForwardResult.FORWARDED;
  }

  /** Marks the answer as complete if the attempt is the current one. */
  synchronized void markComplete(AttemptId attempt) {
    complete |= attempt.equals(current);
  }

  synchronized int tokenCount() {
    return nextToken;
  }

  @Override
  public synchronized Optional<RecordedAnswer> answer(AttemptId attempt) {
    if (!complete || !attempt.equals(current) || !keepsText()) {
      return Optional.empty();
    }
    return Optional.of(completeAnswer());
  }

  @Override
  public synchronized void complete(AttemptId attempt) {
    if (delivery == Delivery.STREAM) {
      channel.stream(CompletionFormat.DONE_EVENT);
      channel.endStream();
    } else {
      channel.answer(completeAnswer());
    }
  }

  @Override
  public void replay(RecordedAnswer recorded) {
    if (delivery == Delivery.SINGLE_BODY) {
      channel.answer(recorded);
      return;
    }
    channel.stream(format.replayEvent(recorded.body()));
    channel.stream(CompletionFormat.DONE_EVENT);
    channel.endStream();
  }

  private RecordedAnswer completeAnswer() {
    return format.completeAnswer(text.toString(), finishReason, call.prompt(), nextToken);
  }

  private boolean keepsText() {
    return delivery == Delivery.SINGLE_BODY || call.runKey().isPresent();
  }
}
