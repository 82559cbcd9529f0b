/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.larkkeel.call.RunKey;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.lib.IdempotencyKey;

/**
 * The parts of a request that completions and plain calls have in common.
 *
 * @param target the path and query, as sent
 * @param runKey the key under which the request runs at most once, with a digest of method, target
 *     and body; empty without {@code Idempotency-Key}
 * @param deadlineMillis the deadline set by the caller, milliseconds from arrival; 0 for none
 */
record ParsedHead(String target, Optional<RunKey> runKey, long deadlineMillis) {

  static ParsedHead of(HttpServerExchange exchange, byte[] body) {
    String target = RequestTarget.of(exchange);
    HeaderMap headers = exchange.getRequestHeaders();
    Optional<RunKey> key =
        Optional.ofNullable(headers.getFirst(HeaderNames.IDEMPOTENCY_KEY))
            .map(k -> runKey(k, digest(exchange, target, body)));
    return new ParsedHead(
        target, key, parseDeadlineMillis(headers.getFirst(HeaderNames.DEADLINE_MILLIS)));
  }

  private static RunKey runKey(String key, long digest) {
    try {
      return new RunKey(new IdempotencyKey(key), digest);
    } catch (IllegalArgumentException e) {
      throw new LarkkeelException(ErrorKind.MALFORMED_REQUEST, e.getMessage(), e);
    }
  }

  private static long digest(HttpServerExchange exchange, String target, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(exchange.getRequestMethod().toString(), StandardCharsets.UTF_8);
    hasher.putByte((byte) 0);
    hasher.putString(target, StandardCharsets.UTF_8);
    hasher.putByte((byte) 0);
    hasher.putBytes(body);
    return ByteBuffer.wrap(hasher.hash().asBytes()).getLong();
  }

  private static long parseDeadlineMillis(String value) {
    if (value == null) {
      return 0;
    }
    try {
      long millis = Long.parseLong(value.strip());
      if (millis > 0) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    throw new LarkkeelException(
        ErrorKind.MALFORMED_REQUEST,
        "X-Larkkeel-Deadline-Millis is \"" + value + "\": use a whole number of at least 1.");
  }
}
