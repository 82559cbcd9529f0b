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
 * Parses the token stream of a decode.
 *
 * <p>The response is complete only with its end marker; a stream that ends earlier counts as a lost
 * connection. Confined to one I/O thread.
 */
final class DecodeResponseHandler implements ResponseHandler {
  private static final String END_MARKER = "[DONE]";

  private final TokenHandler stream;
  private final SseParser parser;
  private final ResponseCollector errorResponse;
  private boolean streaming;
  private boolean hasEndMarker;
  private UpstreamFailure eventFailure;

  DecodeResponseHandler(UpstreamClientSettings settings, TokenHandler stream) {
    this.stream = stream;
    this.parser = new SseParser(settings.maxEventBytes(), this::onEvent);
    this.errorResponse =
        new ResponseCollector(
            settings.maxResponseBytes(),
            a -> stream.onFailure(Refusals.ofEngine(a)),
            stream::onFailure);
  }

  @Override
  public boolean onHeaders(int status, HeaderMap headers) {
    streaming = status == StatusCodes.OK;
    return streaming || errorResponse.onHeaders(status, headers);
  }

  @Override
  public boolean onBody(ByteBuffer part) {
    if (!streaming) {
      return errorResponse.onBody(part);
    }
    if (!parser.accept(part)) {
      eventFailure = badResponse("an event of the stream exceeds the size limit");
    }
    return eventFailure == null;
  }

  @Override
  public void onEnd() {
    if (!streaming) {
      errorResponse.onEnd();
    } else if (hasEndMarker) {
      stream.onDone();
    } else {
      stream.onFailure(
          UpstreamFailure.mayHaveRun(
              FailureCause.CONNECTION_LOST, "the stream ended without its end marker"));
    }
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    if (hasEndMarker) {
      // All tokens have been received; only the connection was not closed cleanly.
      stream.onDone();
    } else if (!streaming) {
      errorResponse.onFailure(failure);
    } else {
      stream.onFailure(eventFailure == null ? failure : eventFailure);
    }
  }

  private void onEvent(String data) {
    if (hasEndMarker || eventFailure != null) {
      return;
    }
    if (data.equals(END_MARKER)) {
      hasEndMarker = true;
      return;
    }
    Token token = parse(data);
    if (token == null) {
      eventFailure = badResponse("an event of the stream cannot be parsed");
    } else if (!stream.onToken(token)) {
      eventFailure = badResponse("the token stream was rejected, such as for a missing token");
    }
  }

  private static UpstreamFailure badResponse(String detail) {
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
