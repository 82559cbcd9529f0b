/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.LinkedListMultimap;
import com.google.common.collect.ListMultimap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.http.upstream.AnswerTimeout;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.http.upstream.WholeAnswer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;

/**
 * Sends upstreams what is no request of a caller.
 *
 * <p>Safe for use by several threads.
 */
final class ControlSender {
  private static final int MAX_BYTES = 64 << 10;
  private static final String JSON = "application/json";

  private final UpstreamClient client;
  private final RelayDialect dialect;
  private final NoticeReader notices;

  ControlSender(UpstreamClient client, RelayDialect dialect, NoticeReader notices) {
    this.client = client;
    this.dialect = dialect;
    this.notices = notices;
  }

  /**
   * Sends a call to one incarnation of an upstream.
   *
   * @param upstream which
   * @param call path and body
   * @param nanos how long its answer is waited for
   * @param allowed asked right before the call is written
   * @param done gets the answer, whatever its status
   * @param failed gets the failure if there is no answer
   */
  void send(
      RelayUpstream upstream,
      ControlCall call,
      long nanos,
      BooleanSupplier allowed,
      Consumer<WholeAnswer.Answer> done,
      Consumer<UpstreamFailure> failed) {
    final long sentAt = notices.now();
    ListMultimap<HttpString, String> headers = LinkedListMultimap.create();
    long millis = TimeUnit.NANOSECONDS.toMillis(nanos);
    dialect.prepare(
        headers,
        new SendFacts(
            upstream,
            new RelayEffect.Purpose.Run(),
            millis,
            OptionalLong.empty(),
            Optional.empty()));
    headers.put(Headers.CONTENT_TYPE, JSON);
    UpstreamRequest wire =
        new UpstreamRequest(
            Methods.POST,
            call.path(),
            ImmutableListMultimap.copyOf(headers),
            call.body().getBytes(StandardCharsets.UTF_8),
            allowed);
    client.send(
        UpstreamAddress.parse(upstream.address()),
        wire,
        AnswerTimeout.whole(nanos),
        ConnectionUse.CONTROL,
        new WholeAnswer(
            MAX_BYTES,
            answer -> {
              notices.read(upstream.life(), sentAt, answer);
              done.accept(answer);
            },
            failed));
  }
}
