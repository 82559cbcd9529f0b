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
 * Collects an answer whole, up to a cap.
 *
 * <p>Used on one I/O thread.
 *
 * @since 0.1
 */
public final class WholeAnswer implements ResponseHandler {
  private final int maxBytes;
  private final Consumer<Answer> done;
  private final Consumer<UpstreamFailure> failed;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private boolean tooLarge;
  private ImmutableListMultimap<HttpString, String> headers = ImmutableListMultimap.of();

  /**
   * Creates a collector.
   *
   * @param maxBytes the largest body; a larger one is a bad answer
   * @param done takes the answer, whatever its status
   * @param failed takes the failure if there is no answer
   */
  public WholeAnswer(int maxBytes, Consumer<Answer> done, Consumer<UpstreamFailure> failed) {
    this.maxBytes = maxBytes;
    this.done = done;
    this.failed = failed;
  }

  /**
   * A whole answer.
   *
   * @param status the status code
   * @param headers the headers
   * @param body the body, not to be changed
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are handed on and never changed.
  public record Answer(
      int status, ImmutableListMultimap<HttpString, String> headers, byte[] body) {}

  @Override
  public void onHeaders(int code, HeaderMap map) {
    status = code;
    ImmutableListMultimap.Builder<HttpString, String> copy = ImmutableListMultimap.builder();
    for (HeaderValues values : map) {
      copy.putAll(values.getHeaderName(), values);
    }
    headers = copy.build();
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
    done.accept(new Answer(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    failed.accept(
        tooLarge
            ? UpstreamFailure.mayHaveRun(
                FailureCause.BAD_ANSWER, "the answer is larger than " + maxBytes + " bytes")
            : failure);
  }
}
