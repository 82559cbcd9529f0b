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
 * Reads what engines say about their load.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LoadAnswers {
  private LoadAnswers() {}

  /**
   * Reads an answer. The time it describes counts back from when it was asked for, so that nothing
   * placed since is taken for reported.
   */
  static Event event(UpstreamName upstream, JsonNode body, long sentAt, long now) {
    if (!body.path("incarnation").isIntegralNumber() || !body.path("slots").isInt()) {
      return new Event.LoadUnavailable(now, upstream);
    }
    long age = TimeUnit.MILLISECONDS.toNanos(body.path("age_millis").asLong());
    LoadReport report =
        new LoadReport(
            new Incarnation(body.path("incarnation").asLong()),
            sentAt - age,
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
