/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.request.Attempts.RunningStep;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Executes the steps of attempts at upstreams: prefill, KV transfer, decode and plain call.
 *
 * <p>Each step ends with exactly one event with its outcome. Safe for use by several threads.
 */
final class AttemptRunner {
  private static final UpstreamFailure REQUEST_ENDED =
      UpstreamFailure.notSent(FailureCause.REJECTED, "the request has ended");
  private static final UpstreamFailure NO_ADDRESS =
      UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, "the upstream has no address");
  private static final UpstreamFailure PREFILL_UNKNOWN =
      UpstreamFailure.notSent(
          FailureCause.KV_EVICTED, "no KV transfer parameters are stored for the prefill");
  private static final UpstreamFailure NO_KV_PARAMS =
      UpstreamFailure.mayHaveRun(
          FailureCause.BAD_ANSWER, "the prefill answer has no kv_transfer_params object");

  private final RequestTable table;
  private final Attempts attempts;
  private final PlainSender plainSender;

  AttemptRunner(RequestTable table, Attempts attempts) {
    this.table = table;
    this.attempts = attempts;
    this.plainSender = new PlainSender(attempts);
  }

  void prefill(Effect.StartPrefill e) {
    CompletionRecord request = findCompletion(e.request());
    UpstreamAddress address = findAddress(e.upstream());
    if (request == null || address == null) {
      submitNotSent(e.attempt(), request, address);
      return;
    }
    ObjectNode body = request.engineBody(e.priority());
    if (e.resumeFrom() > 0) {
      body.put("resume_from", e.resumeFrom());
    }
    RunningStep step = attempts.begin(e.attempt());
    step.setInFlight(
        attempts
            .engines()
            .prefill(
                address,
                attempts.engineRequestId(e.attempt()),
                body,
                e.timeoutNanos(),
                new EngineClient.JsonCallback(
                    answer -> prefilled(e.attempt(), step, request, answer),
                    f -> attempts.fail(e.attempt(), step, f, request.tokenCount()))));
  }

  void transfer(Effect.StartTransfer e) {
    CompletionRecord request = findCompletion(e.request());
    UpstreamAddress address = findAddress(e.to());
    if (request == null || address == null) {
      submitNotSent(e.attempt(), request, address);
      return;
    }
    Optional<JsonNode> params = request.kvParams(e.prefill());
    if (params.isEmpty()) {
      attempts.submit(
          at -> Attempts.failed(at, e.attempt(), PREFILL_UNKNOWN, request.tokenCount()));
      return;
    }
    RunningStep step = attempts.begin(e.attempt());
    step.setInFlight(
        attempts
            .engines()
            .importKv(
                address,
                attempts.engineRequestId(e.attempt()),
                params.get(),
                e.timeoutNanos(),
                new EngineClient.JsonCallback(
                    answer ->
                        attempts.end(
                            e.attempt(), step, at -> new Event.TransferDone(at, e.attempt())),
                    f -> attempts.fail(e.attempt(), step, f, request.tokenCount()))));
  }

  void decode(Effect.StartDecode e) {
    CompletionRecord request = findCompletion(e.request());
    UpstreamAddress address = findAddress(e.upstream());
    if (request == null || address == null) {
      submitNotSent(e.attempt(), request, address);
      return;
    }
    RunningStep step = attempts.begin(e.attempt());
    request.makeCurrent(e.attempt());
    step.setInFlight(
        attempts
            .engines()
            .decode(
                address,
                attempts.engineRequestId(e.attempt()),
                request.engineBody(e.priority()),
                e.resumeFrom(),
                e.timeoutNanos(),
                new DecodeAttempt(attempts, e.attempt(), step, request)));
  }

  void plain(Effect.SendPlain e) {
    RequestRecord found = table.find(e.request()).orElse(null);
    UpstreamAddress address = findAddress(e.upstream());
    if (!(found instanceof PlainRecord request) || address == null) {
      submitNotSent(e.attempt(), found, address);
      return;
    }
    plainSender.send(e, request, address);
  }

  private void prefilled(
      AttemptId attempt, RunningStep step, CompletionRecord request, JsonNode answer) {
    JsonNode params = answer.path("kv_transfer_params");
    JsonNode usage = answer.path("usage");
    if (!params.isObject()) {
      attempts.fail(attempt, step, NO_KV_PARAMS, request.tokenCount());
      return;
    }
    request.storeKvParams(attempt, params);
    long bytes = params.path("kv_bytes").asLong();
    int cached = usage.path("prompt_tokens_details").path("cached_tokens").asInt();
    attempts.end(attempt, step, at -> new Event.PrefillDone(at, attempt, bytes, cached));
  }

  private void submitNotSent(AttemptId attempt, RequestRecord request, UpstreamAddress address) {
    UpstreamFailure failure = request == null || address != null ? REQUEST_ENDED : NO_ADDRESS;
    int tokens = request instanceof CompletionRecord c ? c.tokenCount() : 0;
    attempts.submit(at -> Attempts.failed(at, attempt, failure, tokens));
  }

  private CompletionRecord findCompletion(RequestId id) {
    return table.find(id).orElse(null) instanceof CompletionRecord c ? c : null;
  }

  private UpstreamAddress findAddress(UpstreamName name) {
    return attempts.addresses().find(name).orElse(null);
  }
}
