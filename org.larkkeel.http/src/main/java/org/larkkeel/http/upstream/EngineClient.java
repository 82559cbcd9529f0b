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
 * The calls of the engine protocol.
 *
 * <p>Safe for use by several threads. Callbacks run on I/O threads and must not block.
 *
 * @since 0.1
 */
public final class EngineClient {
  private static final String COMPLETIONS = "/v1/completions";
  private static final String IMPORTS = "/v1/kv/imports";
  private static final String REQUESTS = "/v1/requests";
  private static final String LOAD = "/v1/load";
  private static final String CACHE_EVENTS = "/v1/cache/events?after=";
  private static final String ORDERS = "/v1/orders";
  private static final String KV_PARAMS = "kv_transfer_params";
  private static final HttpString CONTENT_TYPE = new HttpString("Content-Type");
  private static final byte[] NO_BODY = {};

  private final UpstreamClient client;

  /**
   * Creates the calls.
   *
   * @param client sends them
   */
  public EngineClient(UpstreamClient client) {
    this.client = client;
  }

  /**
   * Takes the JSON answer of a call or its failure.
   *
   * @param done takes the body of an answer with status 200
   * @param failed takes everything else
   */
  public record JsonCallback(Consumer<JsonNode> done, Consumer<UpstreamFailure> failed) {}

  /**
   * Starts a prefill.
   *
   * @param address the engine
   * @param id the id of the attempt
   * @param body the completion asked for, with {@code model}, {@code prompt} and {@code priority}
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   * @return a handle to give it up
   */
  public InFlight prefill(
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
   * @param kvParams what the prefill answered
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   * @return a handle to give it up
   */
  public InFlight importKv(
      UpstreamAddress address,
      EngineRequestId id,
      JsonNode kvParams,
      long timeoutNanos,
      JsonCallback callback) {
    ObjectNode body = Json.object();
    body.put("request_id", id.toString());
    body.set(KV_PARAMS, kvParams);
    return post(address, IMPORTS, id, body, timeoutNanos, callback);
  }

  /**
   * Starts a decode.
   *
   * @param address the decode engine
   * @param id the id of the import
   * @param body the completion asked for, with {@code priority} and {@code max_tokens}
   * @param resumeFrom the first token to generate
   * @param silenceNanos longest silence
   * @param stream takes the tokens
   * @return a handle to give it up
   */
  public InFlight decode(
      UpstreamAddress address,
      EngineRequestId id,
      ObjectNode body,
      int resumeFrom,
      long silenceNanos,
      TokenStream stream) {
    body.put("stream", true);
    body.put("resume_from", resumeFrom);
    body.putObject(KV_PARAMS).put("do_remote_prefill", true);
    UpstreamRequest request = postRequest(COMPLETIONS, id, body);
    DecodeResponse handler = new DecodeResponse(client.settings(), stream);
    return client.send(
        address, request, AnswerTimeout.silence(silenceNanos), ConnectionUse.REQUEST, handler);
  }

  /**
   * Cancels an attempt. May be repeated.
   *
   * @param address the engine
   * @param id the id of the attempt as the engine knows it
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   */
  public void cancel(UpstreamAddress address, String id, long timeoutNanos, JsonCallback callback) {
    String target = REQUESTS + "/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
    control(address, Methods.DELETE, target, timeoutNanos, callback);
  }

  /**
   * Lists the requests that an engine holds.
   *
   * @param address the engine
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   */
  public void held(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    control(address, Methods.GET, REQUESTS, timeoutNanos, callback);
  }

  /**
   * Asks for the load.
   *
   * @param address the engine
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   */
  public void load(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    control(address, Methods.GET, LOAD, timeoutNanos, callback);
  }

  /**
   * Asks for cache events.
   *
   * @param address the engine
   * @param after the last sequence number seen, 0 for none
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   */
  public void cacheEvents(
      UpstreamAddress address, long after, long timeoutNanos, JsonCallback callback) {
    control(address, Methods.GET, CACHE_EVENTS + after, timeoutNanos, callback);
  }

  /**
   * Asks which orders are in force.
   *
   * @param address the engine
   * @param timeoutNanos limit of the whole call
   * @param callback takes the answer
   */
  public void orders(UpstreamAddress address, long timeoutNanos, JsonCallback callback) {
    control(address, Methods.GET, ORDERS, timeoutNanos, callback);
  }

  /**
   * Sends an order.
   *
   * @param address the engine
   * @param body fencing number and order
   * @param allowed asked immediately before the first byte; if it says no, nothing is sent
   * @param timeoutNanos limit of the whole call
   * @param done takes the answer, whatever its status
   * @param failed takes the failure if there is no answer
   */
  public void order(
      UpstreamAddress address,
      ObjectNode body,
      BooleanSupplier allowed,
      long timeoutNanos,
      Consumer<WholeAnswer.Answer> done,
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
        AnswerTimeout.whole(timeoutNanos),
        ConnectionUse.CONTROL,
        new WholeAnswer(client.settings().maxAnswerBytes(), done, failed));
  }

  private InFlight post(
      UpstreamAddress address,
      String target,
      EngineRequestId id,
      ObjectNode body,
      long timeoutNanos,
      JsonCallback callback) {
    return client.send(
        address,
        postRequest(target, id, body),
        AnswerTimeout.whole(timeoutNanos),
        ConnectionUse.REQUEST,
        json(callback));
  }

  private void control(
      UpstreamAddress address,
      HttpString method,
      String target,
      long timeoutNanos,
      JsonCallback callback) {
    UpstreamRequest request =
        new UpstreamRequest(method, target, ImmutableListMultimap.of(), NO_BODY);
    client.send(
        address, request, AnswerTimeout.whole(timeoutNanos), ConnectionUse.CONTROL, json(callback));
  }

  private static UpstreamRequest postRequest(String target, EngineRequestId id, ObjectNode body) {
    return new UpstreamRequest(
        Methods.POST,
        target,
        ImmutableListMultimap.of(
            HeaderNames.REQUEST_ID, id.toString(), CONTENT_TYPE, "application/json"),
        Json.bytes(body));
  }

  private WholeAnswer json(JsonCallback callback) {
    return new WholeAnswer(
        client.settings().maxAnswerBytes(), a -> parse(a, callback), callback.failed());
  }

  private static void parse(WholeAnswer.Answer answer, JsonCallback callback) {
    if (answer.status() != StatusCodes.OK) {
      callback.failed().accept(Refusals.ofEngine(answer));
      return;
    }
    JsonNode body;
    try {
      body = Json.parse(answer.body());
    } catch (IOException e) {
      callback
          .failed()
          .accept(UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, "the answer is not JSON"));
      return;
    }
    callback.done().accept(body);
  }
}
