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
import org.larkkeel.http.request.Attempts.Running;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Runs the steps of attempts at upstreams.
 *
 * <p>Safe for use by several threads.
 */
final class AttemptRunner {
  private static final UpstreamFailure REQUEST_ENDED =
      UpstreamFailure.notSent(FailureCause.REJECTED, "the request has ended");
  private static final UpstreamFailure NO_ADDRESS =
      UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, "the upstream has no address");
  private static final UpstreamFailure NO_KV_CACHE =
      UpstreamFailure.notSent(FailureCause.KV_EVICTED, "the prefill is not known");
  private static final UpstreamFailure UNREADABLE =
      UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, "the answer lacks a field");

  private final RequestTable table;
  private final Attempts attempts;
  private final PlainSender plainSender;

  AttemptRunner(RequestTable table, Attempts attempts) {
    this.table = table;
    this.attempts = attempts;
    this.plainSender = new PlainSender(attempts);
  }

  void prefill(Effect.StartPrefill e) {
    CompletionRecord request = completion(e.request());
    UpstreamAddress address = address(e.upstream());
    if (request == null || address == null) {
      tellFailure(e.attempt(), request, address);
      return;
    }
    ObjectNode body = request.engineBody(e.priority());
    if (e.resumeFrom() > 0) {
      body.put("resume_from", e.resumeFrom());
    }
    Running step = attempts.begin(e.attempt());
    step.started(
        attempts
            .engines()
            .prefill(
                address,
                attempts.wireId(e.attempt()),
                body,
                e.timeoutNanos(),
                new EngineClient.JsonCallback(
                    answer -> prefilled(e.attempt(), step, request, answer),
                    f -> attempts.fail(e.attempt(), step, f, request.tokens()))));
  }

  void transfer(Effect.StartTransfer e) {
    CompletionRecord request = completion(e.request());
    UpstreamAddress address = address(e.to());
    if (request == null || address == null) {
      tellFailure(e.attempt(), request, address);
      return;
    }
    Optional<JsonNode> params = request.kvParams(e.prefill());
    if (params.isEmpty()) {
      attempts.tell(at -> Attempts.failed(at, e.attempt(), NO_KV_CACHE, request.tokens()));
      return;
    }
    Running step = attempts.begin(e.attempt());
    step.started(
        attempts
            .engines()
            .importKv(
                address,
                attempts.wireId(e.attempt()),
                params.get(),
                e.timeoutNanos(),
                new EngineClient.JsonCallback(
                    answer ->
                        attempts.end(
                            e.attempt(), step, at -> new Event.TransferDone(at, e.attempt())),
                    f -> attempts.fail(e.attempt(), step, f, request.tokens()))));
  }

  void decode(Effect.StartDecode e) {
    CompletionRecord request = completion(e.request());
    UpstreamAddress address = address(e.upstream());
    if (request == null || address == null) {
      tellFailure(e.attempt(), request, address);
      return;
    }
    Running step = attempts.begin(e.attempt());
    request.start(e.attempt());
    step.started(
        attempts
            .engines()
            .decode(
                address,
                attempts.wireId(e.attempt()),
                request.engineBody(e.priority()),
                e.resumeFrom(),
                e.timeoutNanos(),
                new DecodeAttempt(attempts, e.attempt(), step, request)));
  }

  void plain(Effect.SendPlain e) {
    RequestRecord found = table.find(e.request()).orElse(null);
    UpstreamAddress address = address(e.upstream());
    if (!(found instanceof PlainRecord request) || address == null) {
      tellFailure(e.attempt(), found, address);
      return;
    }
    plainSender.send(e, request, address);
  }

  private void prefilled(
      AttemptId attempt, Running step, CompletionRecord request, JsonNode answer) {
    JsonNode params = answer.path("kv_transfer_params");
    JsonNode usage = answer.path("usage");
    if (!params.isObject()) {
      attempts.fail(attempt, step, UNREADABLE, request.tokens());
      return;
    }
    request.prefilled(attempt, params);
    long bytes = params.path("kv_bytes").asLong();
    int cached = usage.path("prompt_tokens_details").path("cached_tokens").asInt();
    attempts.end(attempt, step, at -> new Event.PrefillDone(at, attempt, bytes, cached));
  }

  private void tellFailure(AttemptId attempt, RequestRecord request, UpstreamAddress address) {
    UpstreamFailure failure = request == null || address != null ? REQUEST_ENDED : NO_ADDRESS;
    int tokens = request instanceof CompletionRecord c ? c.tokens() : 0;
    attempts.tell(at -> Attempts.failed(at, attempt, failure, tokens));
  }

  private CompletionRecord completion(RequestId id) {
    return table.find(id).orElse(null) instanceof CompletionRecord c ? c : null;
  }

  private UpstreamAddress address(UpstreamName name) {
    return attempts.addresses().find(name).orElse(null);
  }
}
