/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import com.google.common.collect.ImmutableMap;
import io.undertow.util.HeaderMap;
import java.util.Optional;
import org.larkkeel.http.BearerToken;

/**
 * The bearer tokens of operators; only digests of the tokens are kept.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bySha256 the principals by the SHA-256 of their token in lower case hex
 * @since 0.1
 */
public record OperatorTokens(ImmutableMap<String, Principal> bySha256) {
  /**
   * Finds the principal that sent a request.
   *
   * @param headers the headers of the request
   * @return the holder of the request's token; empty if the token is missing or unknown
   */
  public Optional<Principal> find(HeaderMap headers) {
    return BearerToken.of(headers).map(token -> bySha256.get(token.sha256()));
  }

  /**
   * Computes the digest of a token.
   *
   * @param token the token
   * @return the SHA-256 of the token in lower case hex
   */
  public static String sha256(String token) {
    return BearerToken.digest(token).sha256();
  }

  @Override
  public String toString() {
    return "OperatorTokens[" + bySha256.size() + " hidden]";
  }
}
