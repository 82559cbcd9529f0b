/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;

/** A blocking HTTP client of one stand-in. */
final class Http {
  static final ObjectMapper MAPPER = new ObjectMapper();
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final InetSocketAddress address;

  record Answer(int status, JsonNode body, HttpResponse<?> response) {}

  Http(InetSocketAddress address) {
    this.address = address;
  }

  Answer call(String method, String path, String body, String... headers) throws Exception {
    HttpResponse<byte[]> answer =
        CLIENT.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofByteArray());
    return new Answer(answer.statusCode(), MAPPER.readTree(answer.body()), answer);
  }

  Stream<String> lines(String method, String path, String body, String... headers)
      throws Exception {
    return CLIENT
        .send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofLines())
        .body();
  }

  boolean isConnectionClosed(String method, String path, String body) throws Exception {
    try {
      call(method, path, body);
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private HttpRequest request(String method, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder()
            .uri(URI.create("http://" + address.getHostString() + ":" + address.getPort() + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return request.build();
  }
}
