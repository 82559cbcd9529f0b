/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

/**
 * A request to a server.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param body the body, empty if there is none
 */
record HttpRequest(String method, String target, String body) {
  static HttpRequest get(String target) {
    return new HttpRequest("GET", target, "");
  }

  static HttpRequest delete(String target) {
    return new HttpRequest("DELETE", target, "");
  }

  static HttpRequest post(String target, String body) {
    return new HttpRequest("POST", target, body);
  }
}
