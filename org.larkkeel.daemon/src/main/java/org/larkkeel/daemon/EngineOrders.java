/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.event.Exposure;
import org.larkkeel.http.Json;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.ModelName;
import org.larkkeel.store.order.AdapterName;
import org.larkkeel.store.order.DeclaredShape;
import org.larkkeel.store.order.EnginePort;
import org.larkkeel.store.order.EngineReport;
import org.larkkeel.store.order.EngineShape;
import org.larkkeel.store.order.ModelVersion;
import org.larkkeel.store.order.Order;
import org.larkkeel.store.order.OrderResult;

/**
 * Reads an engine's state and sends orders to it by the engine's HTTP protocol.
 *
 * <p>Safe for use by several threads.
 */
final class EngineOrders implements EnginePort {
  private static final long READ_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
  private static final String FENCING = "fencing";
  private static final String ORDER = "order";
  private static final String TYPE = "type";
  private static final String MODEL = "model";
  private static final String VERSION = "version";
  private static final String ADAPTER = "adapter";
  private static final String ROLE = "role";

  private final EngineClient engines;

  EngineOrders(EngineClient engines) {
    this.engines = engines;
  }

  @Override
  public CompletableFuture<EngineReport> read(Upstream upstream) {
    CompletableFuture<EngineReport> result = new CompletableFuture<>();
    engines.listOrders(
        UpstreamAddress.parse(upstream.address()),
        READ_TIMEOUT_NANOS,
        new EngineClient.JsonCallback(
            body -> complete(result, body),
            f -> result.completeExceptionally(failure(f.detail()))));
    return result;
  }

  private static void complete(CompletableFuture<EngineReport> result, JsonNode body) {
    try {
      result.complete(parseReport(body));
    } catch (IllegalArgumentException e) {
      result.completeExceptionally(failure(e.getMessage()));
    }
  }

  private static LarkkeelException failure(String detail) {
    return new LarkkeelException(ErrorKind.UPSTREAM_FAILED, detail);
  }

  private static EngineReport parseReport(JsonNode body) {
    String roleText = body.path(ROLE).asText();
    Role role =
        DeclaredShape.role(roleText)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "role is \"" + roleText + "\": expected prefill or decode"));
    ImmutableSet.Builder<ModelName> models = ImmutableSet.builder();
    ImmutableMap.Builder<ModelName, String> versions = ImmutableMap.builder();
    for (JsonNode text : body.path("models")) {
      ModelVersion m = ModelVersion.parse(text.asText());
      models.add(m.model());
      if (!m.version().equals(ModelVersion.ANY)) {
        versions.put(m.model(), m.version());
      }
    }
    ImmutableSet.Builder<AdapterName> adapters = ImmutableSet.builder();
    body.path("adapters").forEach(a -> adapters.add(new AdapterName(a.asText())));
    return new EngineReport(
        new EngineShape(role, models.build(), versions.buildKeepingLast(), adapters.build()),
        new FencingNumber(body.path(FENCING).asLong()));
  }

  @Override
  public CompletableFuture<OrderResult> order(
      Upstream upstream,
      FencingNumber fencing,
      Order order,
      BooleanSupplier allowed,
      Duration timeout) {
    CompletableFuture<OrderResult> result = new CompletableFuture<>();
    ObjectNode body = Json.object();
    body.put(FENCING, fencing.value());
    writeOrder(order, body.putObject(ORDER));
    engines.sendOrder(
        UpstreamAddress.parse(upstream.address()),
        body,
        allowed,
        timeout.toNanos(),
        answer -> result.complete(toOrderResult(answer)),
        failure -> result.complete(toOrderResult(failure)));
    return result;
  }

  private static void writeOrder(Order order, ObjectNode json) {
    switch (order) {
      case Order.LoadModel o -> {
        json.put(TYPE, "load_model").put(MODEL, o.model().model().value());
        if (!o.model().version().equals(ModelVersion.ANY)) {
          json.put(VERSION, o.model().version());
        }
      }
      case Order.UnloadModel o -> json.put(TYPE, "unload_model").put(MODEL, o.model().value());
      case Order.LoadAdapter o -> json.put(TYPE, "load_adapter").put(ADAPTER, o.adapter().value());
      case Order.SetRole o ->
          json.put(TYPE, "set_role").put(ROLE, o.role().name().toLowerCase(Locale.ROOT));
    }
  }

  private static OrderResult toOrderResult(ResponseCollector.Response answer) {
    return switch (answer.status()) {
      case StatusCodes.OK -> OrderResult.IN_FORCE;
      case StatusCodes.CONFLICT -> OrderResult.STALE_FENCING;
      default ->
          answer.status() >= StatusCodes.INTERNAL_SERVER_ERROR
              ? OrderResult.UNKNOWN
              : OrderResult.REFUSED;
    };
  }

  private static OrderResult toOrderResult(UpstreamFailure failure) {
    return failure.exposure() == Exposure.NOT_SENT ? OrderResult.NOT_SENT : OrderResult.UNKNOWN;
  }
}
