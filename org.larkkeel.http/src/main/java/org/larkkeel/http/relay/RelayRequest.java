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
import org.larkkeel.relay.RelayCall;

/**
 * A caller's request that waits for its answer.
 *
 * <p>Used on the I/O thread only.
 */
final class RelayRequest {
  final RelayCall call;
  final HttpString method;
  final String target;
  final ImmutableListMultimap<HttpString, String> headers;
  final byte[] body;
  final UndertowChannel channel;

  /** The last whole event that the caller got. */
  OptionalLong lastEvent = OptionalLong.empty();

  /** Whether the caller has the head of a stream. */
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

  /** A copy of headers without those that concern one connection; with the host if asked for. */
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
