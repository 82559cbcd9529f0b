/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ListMultimap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.http.Problem;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.relay.AnswerEcho;
import org.larkkeel.relay.MoveStep;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.UpstreamNotice;

/**
 * The protocol of callers and upstreams: translates between their headers and bodies and the types
 * of the relay, and makes no decisions.
 *
 * <p>Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
public interface RelayDialect {
  /**
   * Reads the metadata of a call from its headers.
   *
   * @throws org.larkkeel.errors.LarkkeelException if a header cannot be parsed
   */
  CallMetadata readMetadata(HeaderMap headers);

  /** Adds the metadata for an upstream to a copy of the caller's headers, which it modifies. */
  void prepare(ListMultimap<HttpString, String> headers, SendMetadata metadata);

  /**
   * Returns whose id an answer echoes.
   *
   * @param wireId the id of the request that was sent
   * @param headers the headers of the answer
   */
  AnswerEcho echo(String wireId, HeaderMap headers);

  /**
   * Classifies an answer by its head.
   *
   * @param wireId the id of the request that was sent
   * @param purpose the purpose of the attempt
   * @param status the status of the answer
   * @param headers the headers of the answer
   */
  AnswerVerdict verdict(String wireId, RelayEffect.Purpose purpose, int status, HeaderMap headers);

  /**
   * Reads the notice of the upstream from the head of an answer to any request. A duration that is
   * out of range counts as absent, and a very long one is shortened. A rate limit that cannot be
   * parsed counts as unknown.
   *
   * @param status the status of the answer
   * @param headers returns the values of a header; null or empty if there is none
   */
  UpstreamNotice notice(int status, Function<HttpString, List<String>> headers);

  /**
   * Returns the handle in the answer of an upstream that has prefilled a prompt or copied a run;
   * empty if there is none.
   */
  Optional<String> readHandle(byte[] body);

  /**
   * Returns the control call that copies the memory of a run to another upstream; {@link
   * #readHandle} reads its answer.
   *
   * @param wireId the id of the request of the run
   * @param destination the upstream that receives the copy
   * @param step the step of the move, which says whether the run continues
   */
  ControlCall move(String wireId, RelayUpstream destination, MoveStep step);

  /** Returns the path that frees a handle when requested with DELETE. */
  String freePath(String handle);

  /**
   * Returns the control call that orders an upstream to change to another stage.
   *
   * @param stage the stage
   * @param holder the node that gives the order
   * @param fencing the fencing number, which grows with each holder
   */
  ControlCall order(Stage stage, String holder, long fencing);

  /** Returns the control call that asks an upstream for its incarnation. */
  ControlCall incarnation();

  /**
   * Returns the incarnation in the answer to {@link #incarnation}; empty if there is none.
   *
   * @param body the body of an answer with status 200
   */
  Optional<Incarnation> readIncarnation(byte[] body);

  /** Returns the answer that reports a problem to a caller. */
  RecordedAnswer refusal(Problem problem);
}
