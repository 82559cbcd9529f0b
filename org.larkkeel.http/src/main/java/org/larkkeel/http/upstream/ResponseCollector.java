/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.larkkeel.event.FailureCause;

/**
 * Collects a complete response in memory, up to a size limit.
 *
 * <p>Confined to one I/O thread.
 *
 * @since 0.1
 */
public final class ResponseCollector implements ResponseHandler {
  private final int maxBytes;
  private final Consumer<Response> done;
  private final Consumer<UpstreamFailure> failed;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private boolean tooLarge;
  private ImmutableListMultimap<HttpString, String> headers = ImmutableListMultimap.of();

  /**
   * Creates a collector.
   *
   * @param maxBytes the maximum size of the body; a larger one fails as {@code BAD_ANSWER}
   * @param done receives the response, whatever its status
   * @param failed receives the failure if there is no complete response
   */
  public ResponseCollector(
      int maxBytes, Consumer<Response> done, Consumer<UpstreamFailure> failed) {
    this.maxBytes = maxBytes;
    this.done = done;
    this.failed = failed;
  }

  /**
   * A complete response.
   *
   * @param status the status code
   * @param headers the headers
   * @param body the body, which must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never modified.
  public record Response(
      int status, ImmutableListMultimap<HttpString, String> headers, byte[] body) {}

  @Override
  public boolean onHeaders(int responseStatus, HeaderMap responseHeaders) {
    status = responseStatus;
    ImmutableListMultimap.Builder<HttpString, String> copy = ImmutableListMultimap.builder();
    for (HeaderValues values : responseHeaders) {
      copy.putAll(values.getHeaderName(), values);
    }
    headers = copy.build();
    return true;
  }

  @Override
  public boolean onBody(ByteBuffer part) {
    if (body.size() + part.remaining() > maxBytes) {
      tooLarge = true;
      return false;
    }
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    body.writeBytes(bytes);
    return true;
  }

  @Override
  public void onEnd() {
    done.accept(new Response(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    failed.accept(
        tooLarge
            ? UpstreamFailure.mayHaveRun(
                FailureCause.BAD_ANSWER, "the response is larger than " + maxBytes + " bytes")
            : failure);
  }
}
