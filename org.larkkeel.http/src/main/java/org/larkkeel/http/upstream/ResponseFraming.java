/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.larkkeel.relay.AnswerFraming;

/**
 * Reads from the head of a response how the end of its body is told.
 *
 * <p>Immutable and without state.
 *
 * @since 0.1
 */
public final class ResponseFraming {
  private static final String CHUNKED = "chunked";
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  private ResponseFraming() {}

  /**
   * Returns the framing of a response.
   *
   * @param method the method of the request
   * @param status the status of the response
   * @param headers returns the values of a header; null or empty if there is none
   * @return the framing; empty if the head leaves open where the body ends: the status is that of
   *     an interim response, the lengths are invalid or differ, or there is a transfer coding other
   *     than {@code chunked}
   */
  public static Optional<AnswerFraming> of(
      HttpString method, int status, Function<HttpString, List<String>> headers) {
    if (status < StatusCodes.OK) {
      return Optional.empty();
    }
    if (status == StatusCodes.NO_CONTENT
        || status == StatusCodes.NOT_MODIFIED
        || method.equals(Methods.HEAD)) {
      return Optional.of(AnswerFraming.LENGTH);
    }
    List<String> codings = values(headers, Headers.TRANSFER_ENCODING);
    List<String> lengths = values(headers, Headers.CONTENT_LENGTH);
    if (!codings.isEmpty()) {
      boolean isChunked = codings.size() == 1 && codings.getFirst().equalsIgnoreCase(CHUNKED);
      return isChunked ? Optional.of(AnswerFraming.CHUNKS) : Optional.empty();
    }
    if (lengths.isEmpty()) {
      return Optional.of(AnswerFraming.CONNECTION);
    }
    boolean isLength =
        new HashSet<>(lengths).size() == 1 && LENGTH.matcher(lengths.getFirst()).matches();
    return isLength ? Optional.of(AnswerFraming.LENGTH) : Optional.empty();
  }

  private static List<String> values(Function<HttpString, List<String>> headers, HttpString name) {
    List<String> values = headers.apply(name);
    return values == null ? List.of() : values;
  }
}
