/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.larkkeel.event.Event;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.Names;
import org.larkkeel.lib.UpstreamName;

/**
 * Converts the load responses of engines to events.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LoadResponses {
  private LoadResponses() {}

  /**
   * Converts a response. The age of the report is subtracted from the time when the request was
   * sent, so that requests placed after it are not assumed to be part of the report.
   */
  static Event toEvent(UpstreamName upstream, JsonNode body, long sentAt, long now) {
    if (!body.path("incarnation").isIntegralNumber() || !body.path("slots").isInt()) {
      return new Event.LoadUnavailable(now, upstream);
    }
    long ageNanos = TimeUnit.MILLISECONDS.toNanos(body.path("age_millis").asLong());
    LoadReport report =
        new LoadReport(
            new Incarnation(body.path("incarnation").asLong()),
            sentAt - ageNanos,
            body.path("slots").asInt(),
            body.path("running").asInt(),
            body.path("waiting").asInt(),
            body.path("kv_pieces").asInt(),
            body.path("kv_pieces_free").asInt(),
            models(body.path("models")));
    return new Event.LoadReported(now, upstream, report);
  }

  private static ImmutableSet<ModelName> models(JsonNode names) {
    ImmutableSet.Builder<ModelName> models = ImmutableSet.builder();
    for (JsonNode name : names) {
      if (Names.isValid(name.asText())) {
        models.add(new ModelName(name.asText()));
      }
    }
    return models.build();
  }
}
