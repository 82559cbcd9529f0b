/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.google.common.hash.Hashing;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A bearer token, represented by its digest.
 *
 * <p>Invariant: the token itself is neither stored nor printed. Immutable and safe for use by
 * several threads.
 *
 * @param sha256 SHA-256 of the token in lower case hex
 * @since 0.1
 */
public record BearerToken(String sha256) {
  private static final String SCHEME = "Bearer ";

  /**
   * Extracts the token from the headers of a request.
   *
   * @param headers the headers of the request
   * @return the token; empty if there is no {@code Authorization: Bearer} header
   */
  public static Optional<BearerToken> of(HeaderMap headers) {
    String value = headers.getFirst(Headers.AUTHORIZATION);
    if (value == null || !value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String token = value.substring(SCHEME.length()).strip();
    return token.isEmpty() ? Optional.empty() : Optional.of(digest(token));
  }

  /**
   * Computes the digest of a token.
   *
   * @param token the token
   * @return the token, represented by its digest
   */
  public static BearerToken digest(String token) {
    return new BearerToken(Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString());
  }

  @Override
  public String toString() {
    return "BearerToken[hidden]";
  }
}
