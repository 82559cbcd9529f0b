/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.http.HopHeaders;
import org.larkkeel.http.request.Attempts.RunningStep;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Refusals;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseFraming;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.relay.AnswerFraming;
import org.larkkeel.relay.ProbeResult;

/**
 * Sends plain calls to services and collects their answers.
 *
 * <p>An answer is delivered to the caller unchanged, except for the statuses 502, 503 and 504,
 * which mean that the service was not reached or not able to answer; these fail the attempt. Safe
 * for use by several threads.
 */
final class PlainSender {
  private static final ImmutableSet<Integer> UNAVAILABLE_STATUSES =
      ImmutableSet.of(
          StatusCodes.BAD_GATEWAY, StatusCodes.SERVICE_UNAVAILABLE, StatusCodes.GATEWAY_TIME_OUT);

  private static final UpstreamFailure SERVICE_ENDED =
      UpstreamFailure.mayHaveRun(
          FailureCause.CONNECTION_LOST, "the service ended with its answer, which has no length");

  private final Attempts attempts;

  PlainSender(Attempts attempts) {
    this.attempts = attempts;
  }

  void send(Effect.SendPlain e, PlainRecord request, UpstreamAddress address) {
    attempts.addresses().markService(e.upstream());
    RunningStep step = attempts.begin(e.attempt());
    request.makeCurrent(e.attempt());
    ResponseCollector collector =
        new ResponseCollector(
            attempts.client().settings().maxResponseBytes(),
            a -> answered(e, step, request, address, a),
            f -> attempts.fail(e.attempt(), step, f, 0));
    step.setInFlight(
        attempts
            .client()
            .send(
                address,
                withRequestId(request.request(), attempts.engineRequestId(e.attempt()).toString()),
                ResponseTimeout.total(e.timeoutNanos()),
                ConnectionUse.REQUEST,
                collector));
  }

  private void answered(
      Effect.SendPlain e,
      RunningStep step,
      PlainRecord request,
      UpstreamAddress address,
      ResponseCollector.Response answer) {
    if (UNAVAILABLE_STATUSES.contains(answer.status())) {
      attempts.fail(e.attempt(), step, Refusals.ofService(answer), 0);
    } else if (endsWithConnection(request.request().method(), answer)) {
      // The connections of a process that was killed are closed in order as well.
      attempts
          .client()
          .probeEnd(
              address,
              result -> {
                if (result == ProbeResult.REFUSES) {
                  attempts.fail(e.attempt(), step, SERVICE_ENDED, 0);
                } else {
                  complete(e, step, request, answer);
                }
              });
    } else {
      complete(e, step, request, answer);
    }
  }

  private static boolean endsWithConnection(HttpString method, ResponseCollector.Response answer) {
    return ResponseFraming.of(method, answer.status(), name -> answer.headers().get(name))
        .equals(Optional.of(AnswerFraming.CONNECTION));
  }

  private void complete(
      Effect.SendPlain e,
      RunningStep step,
      PlainRecord request,
      ResponseCollector.Response answer) {
    ImmutableList.Builder<RecordedAnswer.Header> headers = ImmutableList.builder();
    answer.headers().entries().stream()
        .filter(h -> !HopHeaders.isHop(h.getKey()))
        .filter(h -> !h.getKey().equals(HeaderNames.REQUEST_ID))
        .forEach(h -> headers.add(new RecordedAnswer.Header(h.getKey().toString(), h.getValue())));
    request.storeAnswer(
        e.attempt(), new RecordedAnswer(answer.status(), headers.build(), answer.body()));
    attempts.end(e.attempt(), step, at -> new Event.PlainDone(at, e.attempt()));
  }

  private static UpstreamRequest withRequestId(UpstreamRequest request, String id) {
    ImmutableListMultimap<HttpString, String> headers =
        ImmutableListMultimap.<HttpString, String>builder()
            .putAll(request.headers())
            .put(HeaderNames.REQUEST_ID, id)
            .build();
    return new UpstreamRequest(request.method(), request.target(), headers, request.body());
  }
}
