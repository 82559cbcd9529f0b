/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.larkkeel.store.HttpClientOptions;

/**
 * The data of a request to send. Immutable.
 *
 * @param method the HTTP method
 * @param path the path and query, percent-encoded
 * @param body the JSON body, empty for none
 */
public record HttpRequestData(HttpString method, String path, String body) {

  ClientRequest toClientRequest(HttpClientOptions options) {
    URI base = options.base();
    ClientRequest r = new ClientRequest().setMethod(method).setPath(path);
    r.getRequestHeaders().put(Headers.HOST, base.getAuthority());
    r.getRequestHeaders().put(Headers.ACCEPT, "application/json");
    options.token().get().ifPresent(t -> authorize(r, t));
    if (!body.isEmpty()) {
      int bytes = body.getBytes(StandardCharsets.UTF_8).length;
      r.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
      r.getRequestHeaders().put(Headers.CONTENT_LENGTH, bytes);
    }
    return r;
  }

  private static void authorize(ClientRequest r, String token) {
    r.getRequestHeaders().put(Headers.AUTHORIZATION, "Bearer " + token);
  }
}
