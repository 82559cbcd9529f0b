/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import org.larkkeel.http.HopHeaders;
import org.larkkeel.http.caller.UndertowChannel;
import org.larkkeel.http.upstream.CarriedBy;
import org.larkkeel.relay.RelayCall;

/**
 * A request of a caller whose answer is not complete.
 *
 * <p>Confined to the I/O thread.
 */
final class RelayRequest {
  final RelayCall call;
  final HttpString method;
  final String target;
  final ImmutableListMultimap<HttpString, String> headers;
  final byte[] body;
  final UndertowChannel channel;

  /** The connections that carried the attempts of the call. */
  final CarriedBy carriedBy = new CarriedBy();

  /** The id of the last event that was forwarded to the caller; empty if there is none. */
  OptionalLong lastEventId = OptionalLong.empty();

  /** True if the head of a stream was sent to the caller. */
  boolean headSent;

  RelayRequest(
      RelayCall call,
      HttpString method,
      String target,
      ImmutableListMultimap<HttpString, String> headers,
      byte[] body,
      UndertowChannel channel) {
    this.call = call;
    this.method = method;
    this.target = target;
    this.headers = headers;
    this.body = body;
    this.channel = channel;
  }

  /**
   * Returns a copy of headers without hop-by-hop headers, including those that the {@code
   * Connection} header names.
   *
   * @param withHost whether the {@code Host} header is kept
   */
  static ImmutableListMultimap<HttpString, String> endToEnd(HeaderMap headers, boolean withHost) {
    Set<String> named = new HashSet<>();
    HeaderValues connection = headers.get(Headers.CONNECTION);
    if (connection != null) {
      connection.forEach(
          v -> {
            for (String name : v.split(",")) {
              named.add(name.strip().toLowerCase(Locale.ROOT));
            }
          });
    }
    ImmutableListMultimap.Builder<HttpString, String> copy = ImmutableListMultimap.builder();
    for (HeaderValues values : headers) {
      HttpString name = values.getHeaderName();
      boolean host = withHost && name.equals(Headers.HOST);
      boolean hop =
          HopHeaders.isHop(name) || named.contains(name.toString().toLowerCase(Locale.ROOT));
      if (host || !hop) {
        copy.putAll(name, values);
      }
    }
    return copy.build();
  }
}
