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
 * A completion in progress.
 *
 * <p>Invariants: each token index is passed on exactly once and in order; tokens of an attempt that
 * is not the current one are dropped. Safe for use by several threads.
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

  /** How the answer goes to the caller. */
  public enum Delivery {
    /** Token by token. */
    STREAM,
    /** In one body. */
    WHOLE
  }

  /** What became of a token. */
  enum Passed {
    /** Passed on, the first of its attempt or not. */
    YES,
    /** Dropped: it was passed on before, or its attempt is no longer current. */
    DROPPED,
    /** A token before it is missing. */
    GAP
  }

  /**
   * Creates a record.
   *
   * @param call the call
   * @param wireId the id of the request as the caller knows it
   * @param channel the way back
   * @param fields what the caller asked for besides prompt and messages; not to be changed
   *     afterwards
   * @param prompt the prompt for engines
   * @param format the form of the answer
   * @param delivery how the answer goes to the caller
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

  /** The body for an engine, to be extended. */
  ObjectNode engineBody(int priority) {
    ObjectNode body = fields.deepCopy();
    body.put("model", call.model().value());
    body.put("prompt", prompt);
    body.put("max_tokens", call.maxTokens());
    body.put("priority", priority);
    return body;
  }

  synchronized void prefilled(AttemptId prefill, JsonNode params) {
    kvParams.put(prefill, params);
  }

  synchronized Optional<JsonNode> kvParams(AttemptId prefill) {
    return Optional.ofNullable(kvParams.get(prefill));
  }

  /** Makes a decode attempt the current one. */
  synchronized void start(AttemptId attempt) {
    current = attempt;
    complete = false;
  }

  /** Makes sure that no further token of an attempt is passed on. */
  synchronized void stop(AttemptId attempt) {
    if (attempt.equals(current)) {
      current = null;
    }
  }

  synchronized Passed pass(AttemptId attempt, Token token) {
    if (!attempt.equals(current) || token.index() < nextToken) {
      return Passed.DROPPED;
    }
    if (token.index() > nextToken) {
      return Passed.GAP;
    }
    nextToken++;
    finishReason = token.finishReason();
    if (keepsText()) {
      text.append(token.text());
    }
    if (delivery == Delivery.STREAM) {
      channel.stream(format.event(token));
    }
    return Passed.YES;
  }

  /** Marks the answer as whole. */
  synchronized void finish(AttemptId attempt) {
    complete |= attempt.equals(current);
  }

  synchronized int tokens() {
    return nextToken;
  }

  @Override
  public synchronized Optional<RecordedAnswer> answer(AttemptId attempt) {
    if (!complete || !attempt.equals(current) || !keepsText()) {
      return Optional.empty();
    }
    return Optional.of(whole());
  }

  @Override
  public synchronized void complete(AttemptId attempt) {
    if (delivery == Delivery.STREAM) {
      channel.stream(CompletionFormat.END);
      channel.endStream();
    } else {
      channel.answer(whole());
    }
  }

  @Override
  public void replay(RecordedAnswer recorded) {
    if (delivery == Delivery.WHOLE) {
      channel.answer(recorded);
      return;
    }
    channel.stream(format.replayed(recorded.body()));
    channel.stream(CompletionFormat.END);
    channel.endStream();
  }

  private RecordedAnswer whole() {
    return format.whole(text.toString(), finishReason, call.prompt(), nextToken);
  }

  private boolean keepsText() {
    return delivery == Delivery.WHOLE || call.runKey().isPresent();
  }
}
