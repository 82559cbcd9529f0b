/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.Json;

/**
 * Reads the stream of a decode.
 *
 * <p>The answer counts as complete only with its end marker; a connection that ends before it is
 * lost. Used on one I/O thread.
 */
final class DecodeResponse implements ResponseHandler {
  private static final String END = "[DONE]";

  private final TokenStream stream;
  private final SseParser parser;
  private final WholeAnswer refusal;
  private boolean streaming;
  private boolean done;
  private UpstreamFailure unusable;

  DecodeResponse(UpstreamClientSettings settings, TokenStream stream) {
    this.stream = stream;
    this.parser = new SseParser(settings.maxEventBytes(), this::event);
    this.refusal =
        new WholeAnswer(
            settings.maxAnswerBytes(),
            a -> stream.onFailure(Refusals.ofEngine(a)),
            stream::onFailure);
  }

  @Override
  public void onHeaders(int status, HeaderMap headers) {
    streaming = status == StatusCodes.OK;
    if (!streaming) {
      refusal.onHeaders(status, headers);
    }
  }

  @Override
  public boolean onBody(ByteBuffer part) {
    if (!streaming) {
      return refusal.onBody(part);
    }
    if (!parser.accept(part)) {
      unusable = badAnswer("an event is too large");
    }
    return unusable == null;
  }

  @Override
  public void onEnd() {
    if (!streaming) {
      refusal.onEnd();
    } else if (done) {
      stream.onDone();
    } else {
      stream.onFailure(
          UpstreamFailure.mayHaveRun(FailureCause.CONNECTION_LOST, "the stream has no end"));
    }
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    if (done) {
      // All tokens are there; only the end of the connection was not clean.
      stream.onDone();
    } else if (!streaming) {
      refusal.onFailure(failure);
    } else {
      stream.onFailure(unusable == null ? failure : unusable);
    }
  }

  private void event(String data) {
    if (done || unusable != null) {
      return;
    }
    if (data.equals(END)) {
      done = true;
      return;
    }
    Token token = parse(data);
    if (token == null) {
      unusable = badAnswer("an event can not be read");
    } else if (!stream.onToken(token)) {
      unusable = badAnswer("a token is missing");
    }
  }

  private static UpstreamFailure badAnswer(String detail) {
    return UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, detail);
  }

  private static Token parse(String data) {
    JsonNode choice;
    try {
      choice = Json.parse(data.getBytes(StandardCharsets.UTF_8)).path("choices").path(0);
    } catch (IOException e) {
      return null;
    }
    JsonNode index = choice.path("token_index");
    JsonNode text = choice.path("text");
    if (!index.isInt() || !text.isTextual()) {
      return null;
    }
    JsonNode reason = choice.path("finish_reason");
    return new Token(index.asInt(), text.asText(), reason.isTextual() ? reason.asText() : "");
  }
}
