/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The bearer tokens that operators may use, known by their digests only.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bySha256 holders by the SHA-256 of their token in lower case hex
 * @since 0.1
 */
public record OperatorTokens(ImmutableMap<String, Principal> bySha256) {
  private static final String SCHEME = "Bearer ";

  /**
   * Finds who sent a request.
   *
   * @param headers the headers of the request
   * @return the holder of its token, empty if the token is missing or unknown
   */
  public Optional<Principal> find(HeaderMap headers) {
    String value = headers.getFirst(Headers.AUTHORIZATION);
    if (value == null || !value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String token = value.substring(SCHEME.length()).strip();
    return Optional.ofNullable(bySha256.get(sha256(token)));
  }

  /**
   * Digests a token.
   *
   * @param token the token
   * @return its SHA-256 in lower case hex
   */
  public static String sha256(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
  }

  @Override
  public String toString() {
    return "OperatorTokens[" + bySha256.size() + " hidden]";
  }
}
