/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.http.Json;

/**
 * A client for the engine protocol.
 *
 * <p>Safe for use by several threads. Callbacks run on I/O threads and must not block.
 *
 * @since 0.1
 */
public final class EngineClient {
  private static final String COMPLETIONS = "/v1/completions";
  private static final String KV_IMPORTS = "/v1/kv/imports";
  private static final String REQUESTS = "/v1/requests";
  private static final String LOAD = "/v1/load";
  private static final String CACHE_EVENTS = "/v1/cache/events?after=";
  private static final String ORDERS = "/v1/orders";
  private static final String KV_PARAMS = "kv_transfer_params";
  private static final HttpString CONTENT_TYPE = new HttpString("Content-Type");
  private static final byte[] NO_BODY = {};

  private final UpstreamClient client;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   */
  public EngineClient(UpstreamClient client) {
    this.client = client;
  }

  /**
   * Receives the JSON response of a call or its failure.
   *
   * @param done receives the body of a response with status 200
   * @param failed receives the failure in all other cases
   */
  public record JsonCallback(Consumer<JsonNode> done, Consumer<UpstreamFailure> failed) {}

  /**
   * Starts a prefill.
   *
   * @param address the engine
   * @param id the id of the attempt
   * @param body the requested completion, with {@code model}, {@code prompt} and {@code priority}
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   * @return a handle to abort the request
   */
  public InFlightRequest prefill(
      UpstreamAddress address,
      EngineRequestId id,
      ObjectNode body,
      long timeoutNanos,
      JsonCallback callback) {
    body.put("max_tokens", 1);
    body.put("stream", false);
    body.putObject(KV_PARAMS).put("do_remote_decode", true);
    return post(address, COMPLETIONS, id, body, timeoutNanos, callback);
  }

  /**
   * Imports a KV cache into a decode engine.
   *
   * @param address the decode engine
   * @param id the id of the decode attempt
   * @param kvParams the transfer parameters from the response to the prefill
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   * @return a handle to abort the request
   */
  public InFlightRequest importKv(
      UpstreamAddress address,
      EngineRequestId id,
      JsonNode kvParams,
      long timeoutNanos,
      JsonCallback callback) {
    ObjectNode body = Json.object();
    body.put("request_id", id.toString());
    body.set(KV_PARAMS, kvParams);
    return post(address, KV_IMPORTS, id, body, timeoutNanos, callback);
  }

  /**
   * Starts a decode.
   *
   * @param address the decode engine
   * @param id the id of the import
   * @param body the requested completion, with {@code priority} and {@code max_tokens}
   * @param resumeFrom the index of the first token to generate
   * @param idleTimeoutNanos the maximum time without data
   * @param stream receives the tokens
   * @return a handle to abort the request
   */
  public InFlightRequest decode(
      UpstreamAddress address,
      EngineRequestId id,
      ObjectNode body,
      int resumeFrom,
      long idleTimeoutNanos,
      TokenHandler stream) {
    body.put("stream", true);
    body.put("resume_from", resumeFrom);
    body.putObject(KV_PARAMS).put("do_remote_prefill", true);
    UpstreamRequest request = postRequest(COMPLETIONS, id, body);
    DecodeResponseHandler handler = new DecodeResponseHandler(client.settings(), stream);
    return client.send(
        address, request, ResponseTimeout.idle(idleTimeoutNanos), ConnectionUse.REQUEST, handler);
  }

  /**
   * Cancels an attempt. Idempotent.
   *
   * @param address the engine
   * @param id the id of the attempt as the engine knows it
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   */
  public void cancel(UpstreamAddress address, String id, long timeoutNanos, JsonCallback callback) {
    String target = REQUESTS + "/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
    sendControl(address, Methods.DELETE, target, timeoutNanos, callback);
  }

  /**
   * Lists the requests that an engine holds.
   *
   * @param address the engine
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   */
  public void listRequests(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    sendControl(address, Methods.GET, REQUESTS, timeoutNanos, callback);
  }

  /**
   * Fetches the load of an engine.
   *
   * @param address the engine
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   */
  public void fetchLoad(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    sendControl(address, Methods.GET, LOAD, timeoutNanos, callback);
  }

  /**
   * Fetches the cache events of an engine.
   *
   * @param address the engine
   * @param afterSequence the last sequence number that was read; 0 if none was
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   */
  public void fetchCacheEvents(
      UpstreamAddress address, long afterSequence, long timeoutNanos, JsonCallback callback) {
    sendControl(address, Methods.GET, CACHE_EVENTS + afterSequence, timeoutNanos, callback);
  }

  /**
   * Lists the orders in force at an engine.
   *
   * @param address the engine
   * @param timeoutNanos the timeout of the complete call
   * @param callback receives the response
   */
  public void listOrders(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    sendControl(address, Methods.GET, ORDERS, timeoutNanos, callback);
  }

  /**
   * Sends an order to an engine.
   *
   * @param address the engine
   * @param body the fencing number and the order
   * @param allowed checked immediately before the first byte; if it returns false, nothing is sent
   * @param timeoutNanos the timeout of the complete call
   * @param done receives the response, whatever its status
   * @param failed receives the failure if there is no complete response
   */
  public void sendOrder(
      UpstreamAddress address,
      ObjectNode body,
      BooleanSupplier allowed,
      long timeoutNanos,
      Consumer<ResponseCollector.Response> done,
      Consumer<UpstreamFailure> failed) {
    UpstreamRequest request =
        new UpstreamRequest(
            Methods.POST,
            ORDERS,
            ImmutableListMultimap.of(CONTENT_TYPE, "application/json"),
            Json.bytes(body),
            allowed);
    client.send(
        address,
        request,
        ResponseTimeout.total(timeoutNanos),
        ConnectionUse.EXCLUSIVE,
        new ResponseCollector(client.settings().maxResponseBytes(), done, failed));
  }

  private InFlightRequest post(
      UpstreamAddress address,
      String target,
      EngineRequestId id,
      ObjectNode body,
      long timeoutNanos,
      JsonCallback callback) {
    return client.send(
        address,
        postRequest(target, id, body),
        ResponseTimeout.total(timeoutNanos),
        ConnectionUse.REQUEST,
        jsonHandler(callback));
  }

  private void sendControl(
      UpstreamAddress address,
      HttpString method,
      String target,
      long timeoutNanos,
      JsonCallback callback) {
    UpstreamRequest request =
        new UpstreamRequest(method, target, ImmutableListMultimap.of(), NO_BODY);
    client.send(
        address,
        request,
        ResponseTimeout.total(timeoutNanos),
        ConnectionUse.CONTROL,
        jsonHandler(callback));
  }

  private static UpstreamRequest postRequest(String target, EngineRequestId id, ObjectNode body) {
    return new UpstreamRequest(
        Methods.POST,
        target,
        ImmutableListMultimap.of(
            HeaderNames.REQUEST_ID, id.toString(), CONTENT_TYPE, "application/json"),
        Json.bytes(body));
  }

  private ResponseCollector jsonHandler(JsonCallback callback) {
    return new ResponseCollector(
        client.settings().maxResponseBytes(), a -> parse(a, callback), callback.failed());
  }

  private static void parse(ResponseCollector.Response response, JsonCallback callback) {
    if (response.status() != StatusCodes.OK) {
      callback.failed().accept(Refusals.ofEngine(response));
      return;
    }
    JsonNode body;
    try {
      body = Json.parse(response.body());
    } catch (IOException e) {
      callback
          .failed()
          .accept(
              UpstreamFailure.mayHaveRun(
                  FailureCause.BAD_ANSWER, "the response is not valid JSON"));
      return;
    }
    callback.done().accept(body);
  }
}
