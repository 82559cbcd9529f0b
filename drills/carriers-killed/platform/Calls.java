/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.util.ArrayList;
import java.util.List;

/** What the drill sends and configures, in the platform's words. */
final class Calls {
  /** The variable that names the settings of a node. */
  static final String SETTINGS = "LARKKEEL_SETTINGS";

  private Calls() {}

  /** Returns the headers of a call. */
  static String headers(String id, int deadlineMillis) {
    return "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n".formatted(id, deadlineMillis);
  }

  /** Returns a configuration with a route of each kind of call. */
  static String configuration(int timeoutMillis) {
    List<String> routes = new ArrayList<>();
    for (Answer.Kind k : Answer.Kind.values()) {
      routes.add(
          ("{\"name\":\"r-%s\",\"host\":\"ficu95.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
                  + "\"timeout_ms\":%d,\"target_latency_ms\":2000,\"priority\":1,"
                  + "\"service\":\"%s\",\"max_attempts\":3,\"allow_resume\":%b,"
                  + "\"gap_aim_ms\":1000}")
              .formatted(
                  k.ordinal(),
                  k.prefix(),
                  k.route,
                  timeoutMillis,
                  k.service(),
                  k == Answer.Kind.RESUME));
    }
    return """
    {"version":7,"routes":[%s],
    "services":[{"name":"readers","max_connections":360,"protocol":"h1","tls":false},
    {"name":"tellers","max_connections":360,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}}
    """
        .formatted(String.join(",", routes));
  }
}
