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
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;

/**
 * Sends control calls to upstreams.
 *
 * <p>Safe for use by several threads.
 */
final class ControlSender {
  private static final int MAX_ANSWER_BYTES = 64 << 10;
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
   * Sends a control call to one incarnation of an upstream.
   *
   * @param upstream the upstream
   * @param destination the way to the upstream
   * @param call the path and the body
   * @param timeoutNanos the timeout for the complete answer, nanoseconds
   * @param mayBeWritten called right before the call is written; if it returns false, the call is
   *     not sent
   * @param done receives the answer, whatever its status
   * @param failed receives the failure if there is no answer
   */
  void send(
      RelayUpstream upstream,
      Destination destination,
      ControlCall call,
      long timeoutNanos,
      BooleanSupplier mayBeWritten,
      Consumer<ResponseCollector.Response> done,
      Consumer<UpstreamFailure> failed) {
    final long sentAt = notices.now();
    ListMultimap<HttpString, String> headers = LinkedListMultimap.create();
    long millis = TimeUnit.NANOSECONDS.toMillis(timeoutNanos);
    dialect.prepare(
        headers,
        new SendMetadata(
            upstream,
            new RelayEffect.Purpose.Run(),
            millis,
            OptionalLong.empty(),
            Optional.empty()));
    if (!call.body().isEmpty()) {
      headers.put(Headers.CONTENT_TYPE, JSON);
    }
    UpstreamRequest wire =
        new UpstreamRequest(
            call.method(),
            call.path(),
            ImmutableListMultimap.copyOf(headers),
            call.body().getBytes(StandardCharsets.UTF_8),
            mayBeWritten);
    client.send(
        destination,
        wire,
        ResponseTimeout.total(timeoutNanos),
        ConnectionUse.EXCLUSIVE,
        new ResponseCollector(
            MAX_ANSWER_BYTES,
            answer -> {
              notices.read(upstream.incarnation(), sentAt, answer);
              done.accept(answer);
            },
            failed));
  }
}
