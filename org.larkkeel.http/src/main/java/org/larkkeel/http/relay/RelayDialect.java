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
import org.larkkeel.relay.MoveStep;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.UpstreamNotice;

/**
 * The words that callers and upstreams use: translates between them and the relay, and decides
 * nothing.
 *
 * <p>Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
public interface RelayDialect {
  /**
   * Reads what a caller declares.
   *
   * @throws org.larkkeel.errors.LarkkeelException if a declaration can not be read
   */
  CallFacts facts(HeaderMap headers);

  /** Sets what an upstream is told, in a copy of the caller's headers. */
  void prepare(ListMultimap<HttpString, String> headers, SendFacts facts);

  /**
   * Judges the head of an answer.
   *
   * @param wireId the id of the request that was sent
   * @param purpose what it was for
   * @param status the status
   * @param headers the headers
   */
  AnswerVerdict verdict(String wireId, RelayEffect.Purpose purpose, int status, HeaderMap headers);

  /**
   * What the head of an answer says of the upstream itself, whatever the answer is to. A time that
   * can not be meant counts as none; a very long one is shortened. A rate that can not be read says
   * nothing.
   *
   * @param status the status
   * @param headers the values of a header; null or empty if there is none
   */
  UpstreamNotice notice(int status, Function<HttpString, List<String>> headers);

  /** The handle in the answer of an upstream that has read a prompt. */
  Optional<String> promptHandle(byte[] body);

  /**
   * The call that has the memory of a run copied to another upstream; {@link #promptHandle} reads
   * its answer.
   *
   * @param wireId the id of the request that runs
   * @param destination gets the copy
   * @param step whether the run goes on
   */
  ControlCall move(String wireId, RelayUpstream destination, MoveStep step);

  /** The path by which a handle is freed with DELETE. */
  String freePath(String handle);

  /**
   * The call that orders an upstream to take another part of the work.
   *
   * @param stage the part
   * @param holder who gives the order
   * @param fencing grows with each holder
   */
  ControlCall order(Stage stage, String holder, long fencing);

  /** The answer to a caller in place of an upstream's. */
  RecordedAnswer refusal(Problem problem);
}
