/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Execution;
import org.larkkeel.errors.Repeat;
import org.larkkeel.errors.Slugs;

/** Sends single attempts over HTTP. Safe for use by several threads; calls block. */
final class CallerClient implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(70);
  private static final String DATA_PREFIX = "data: ";
  private static final String DONE_DATA = "[DONE]";
  private static final int SUCCESS_STATUS_END = 300;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  AttemptResult send(URI node, DemoRequest request) throws InterruptedException {
    try {
      long start = System.nanoTime();
      HttpResponse<InputStream> response =
          client.send(httpRequest(node, request), BodyHandlers.ofInputStream());
      try (InputStream body = response.body()) {
        if (response.statusCode() >= SUCCESS_STATUS_END) {
          return readRefusal(body.readAllBytes());
        }
        return request instanceof DemoRequest.Dossier
            ? readStream(body, start)
            : readComplete(body, start);
      }
    } catch (ConnectException | HttpConnectTimeoutException e) {
      return new AttemptResult.Broken(e.getClass().getSimpleName(), false);
    } catch (IOException e) {
      return new AttemptResult.Broken(e.getClass().getSimpleName(), true);
    }
  }

  private static HttpRequest httpRequest(URI node, DemoRequest request) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder()
            .timeout(REQUEST_TIMEOUT)
            .header("X-Larkkeel-Workspace", "tejemanos");
    return switch (request) {
      case DemoRequest.Dossier dossier ->
          builder
              .uri(node.resolve("/v1/completions"))
              .header("Content-Type", "application/json")
              .POST(BodyPublishers.ofString(completion(dossier)))
              .build();
      case DemoRequest.Lookup lookup -> builder.uri(node.resolve(lookup.path())).GET().build();
      case DemoRequest.Order order ->
          builder
              .uri(node.resolve(order.path()))
              .header("Content-Type", "application/json")
              .header("Idempotency-Key", order.key())
              .POST(BodyPublishers.ofString("{\"ref\":\"" + order.reference() + "\"}"))
              .build();
    };
  }

  private static String completion(DemoRequest.Dossier dossier) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("model", DemoCluster.MODEL);
    body.put("prompt", dossier.prompt());
    body.put("max_tokens", dossier.maxTokens());
    body.put("stream", true);
    return body.toString();
  }

  private static AttemptResult readComplete(InputStream body, long start) throws IOException {
    String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
    long nanos = System.nanoTime() - start;
    return new AttemptResult.Answer(text, nanos, nanos, 0);
  }

  private static AttemptResult readStream(InputStream body, long start) throws IOException {
    StringBuilder text = new StringBuilder();
    long first = 0;
    long last = 0;
    int tokens = 0;
    BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length());
      if (data.equals(DONE_DATA)) {
        return new AttemptResult.Answer(text.toString(), first, last, tokens);
      }
      JsonNode event = MAPPER.readTree(data);
      if (!event.has("choices")) {
        return refusal(event.has("error") ? event.get("error") : event);
      }
      last = System.nanoTime() - start;
      first = tokens == 0 ? last : first;
      tokens++;
      text.append(event.path("choices").path(0).path("text").asText());
    }
    return new AttemptResult.Broken("stream-ended-early", true);
  }

  private static AttemptResult readRefusal(byte[] body) throws IOException {
    return refusal(MAPPER.readTree(body));
  }

  private static AttemptResult refusal(JsonNode problem) {
    String type = problem.path("type").asText();
    String kind = type.substring(type.lastIndexOf('/') + 1);
    boolean notRun = problem.path("execution").asText().equals(Slugs.of(Execution.NOT_RUN));
    boolean never = problem.path("repeat").asText().equals(Slugs.of(Repeat.NEVER));
    return new AttemptResult.Refused(
        kind.isEmpty() ? ErrorKind.INTERNAL.slug() : kind, notRun, !never);
  }

  @Override
  public void close() {
    client.close();
  }
}
