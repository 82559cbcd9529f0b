/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.http.Json;

/**
 * Converts the error responses of upstreams to failures.
 *
 * <p>Only after a documented refusal is the request known not to have run. Stateless and safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class Refusals {
  private static final String TRUE = "true";
  private static final int FIRST_SERVER_ERROR = 500;

  private Refusals() {}

  static UpstreamFailure ofEngine(ResponseCollector.Response response) {
    String code = errorCode(response.body());
    String detail = response.status() + " " + code;
    return switch (response.status()) {
      case StatusCodes.SERVICE_UNAVAILABLE -> unavailable(code, detail);
      case StatusCodes.GONE -> UpstreamFailure.refused(FailureCause.KV_EVICTED, detail);
      default ->
          response.status() < FIRST_SERVER_ERROR
              ? UpstreamFailure.mayHaveRun(FailureCause.REJECTED, detail)
              : UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, detail);
    };
  }

  /**
   * Converts an error response of a service.
   *
   * @param response a response by which the service reports that it could not handle the request
   * @return the failure
   */
  public static UpstreamFailure ofService(ResponseCollector.Response response) {
    String detail = Integer.toString(response.status());
    boolean notRun =
        response.status() == StatusCodes.SERVICE_UNAVAILABLE
            && response.headers().get(HeaderNames.NOT_RUN).stream()
                .anyMatch(TRUE::equalsIgnoreCase);
    return notRun
        ? UpstreamFailure.refused(FailureCause.BUSY, detail)
        : UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, detail);
  }

  private static UpstreamFailure unavailable(String code, String detail) {
    return switch (code) {
      case "no_slot" -> UpstreamFailure.refused(FailureCause.NO_SLOT, detail);
      case "busy" -> UpstreamFailure.refused(FailureCause.BUSY, detail);
      case "draining" -> UpstreamFailure.refused(FailureCause.DRAINING, detail);
      default -> UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, detail);
    };
  }

  private static String errorCode(byte[] body) {
    try {
      JsonNode root = Json.parse(body);
      return root.path("error").path("code").asText("");
    } catch (IOException e) {
      return "";
    }
  }
}
