/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.larkkeel.standin.internal.EngineMessages.CancelAnswer;
import org.larkkeel.standin.internal.EngineMessages.Choice;
import org.larkkeel.standin.internal.EngineMessages.Chunk;
import org.larkkeel.standin.internal.EngineMessages.Completion;
import org.larkkeel.standin.internal.EngineMessages.ErrorAnswer;
import org.larkkeel.standin.internal.EngineMessages.ErrorBody;
import org.larkkeel.standin.internal.EngineMessages.ExportAnswer;
import org.larkkeel.standin.internal.EngineMessages.ExportRequest;
import org.larkkeel.standin.internal.EngineMessages.ImportAnswer;
import org.larkkeel.standin.internal.EngineMessages.ImportRequest;
import org.larkkeel.standin.internal.EngineMessages.KvParams;
import org.larkkeel.standin.internal.EngineMessages.OrderRequest;
import org.larkkeel.standin.internal.EngineMessages.PrefillAnswer;
import org.larkkeel.standin.internal.EngineMessages.Usage;
import org.larkkeel.standin.internal.EngineMessages.UsageDetails;

/**
 * The HTTP API of one incarnation of an engine.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
final class EngineRoutes implements CallHandler {
  private static final String REQUESTS_PREFIX = "/v1/requests/";
  private static final int MAX_BODY_BYTES = 16 << 20;

  private final EngineState state;
  private final KvLink link;
  private volatile InetSocketAddress address;

  EngineRoutes(EngineState state) {
    this.state = state;
    this.link = new KvLink(state);
  }

  /** Sets the address that is announced to importing engines. */
  void setAddress(InetSocketAddress value) {
    address = value;
  }

  @Override
  public void handle(Call call) throws IOException, InterruptedException {
    try {
      route(call);
    } catch (RefusedException e) {
      call.reply(e.status(), new ErrorAnswer(new ErrorBody(e.code(), e.getMessage())));
    }
  }

  private void route(Call call) throws IOException, InterruptedException {
    if (call.method().equals("DELETE") && call.path().startsWith(REQUESTS_PREFIX)) {
      call.reply(200, new CancelAnswer(state.cancel(call.pathAfter(REQUESTS_PREFIX))));
      return;
    }
    switch (call.method() + " " + call.path()) {
      case "POST /v1/completions" -> complete(call);
      case "POST /v1/kv/imports" -> importKv(call);
      case "POST /v1/kv/exports" -> exportKv(call);
      case "GET /v1/requests" -> call.reply(200, state.heldRequests());
      case "GET /v1/load" -> call.reply(200, state.load());
      case "GET /v1/cache/events" ->
          call.reply(200, state.eventsAfter(call.queryNumber("after", 0)));
      case "POST /v1/orders" -> handleOrder(call);
      case "GET /v1/orders" -> call.reply(200, state.orders.inForce());
      default -> throw new RefusedException(404, "not_found", "no such method and path");
    }
  }

  private void complete(Call call) throws IOException, InterruptedException {
    Completion message = call.readMessage(Completion.class, MAX_BODY_BYTES);
    String id = requestId(call);
    if (message.model() == null || message.prompt() == null || message.kvTransferParams() == null) {
      throw RefusedException.malformed(
          "model, prompt or kv_transfer_params is missing: send all three");
    }
    failIfRequested();
    KvParams params = message.kvTransferParams();
    if (Boolean.TRUE.equals(params.doRemoteDecode())) {
      prefill(call, id, message);
    } else if (Boolean.TRUE.equals(params.doRemotePrefill())) {
      decode(call, id, message);
    } else {
      throw RefusedException.malformed(
          "kv_transfer_params: set do_remote_decode or do_remote_prefill");
    }
  }

  private void prefill(Call call, String id, Completion message)
      throws IOException, InterruptedException {
    EngineRequest request = state.submitPrefill(id, message);
    state.awaitPrefill(request);
    state.faults.gate.awaitOpen();
    call.reply(
        200,
        new PrefillAnswer(
            id,
            new Usage(request.promptTokens, new UsageDetails(request.cachedTokens)),
            transferParams(request)));
  }

  private void decode(Call call, String id, Completion message)
      throws IOException, InterruptedException {
    if (message.maxTokens() == null || message.maxTokens() < 1) {
      throw RefusedException.malformed("max_tokens is missing or below 1: send 1 or more");
    }
    EngineRequest request = state.decode(id, message);
    int firstToken = Math.max(0, message.resumeFrom());
    if (firstToken < request.answerTokens) {
      state.awaitToken(request, firstToken);
    }
    try {
      stream(call, request, firstToken);
    } catch (RefusedException e) {
      call.closeConnection();
    } catch (IOException e) {
      if (state.settings.cancelOnDisconnect()) {
        state.cancel(id);
      }
      throw e;
    }
  }

  private void stream(Call call, EngineRequest request, int firstToken)
      throws IOException, InterruptedException {
    OutputStream out = call.startStream("text/event-stream");
    for (int i = firstToken; i < request.answerTokens && state.awaitToken(request, i); i++) {
      state.faults.gate.awaitOpen();
      String reason = i == request.answerTokens - 1 ? request.finishReason : null;
      Choice choice = new Choice(0, request.answer.text(i), i, reason);
      writeEvent(out, call.toJson(new Chunk(request.id, List.of(choice))));
    }
    writeEvent(out, "[DONE]".getBytes(StandardCharsets.UTF_8));
    out.close();
  }

  private static void writeEvent(OutputStream out, byte[] data) throws IOException {
    out.write("data: ".getBytes(StandardCharsets.UTF_8));
    out.write(data);
    out.write("\n\n".getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void importKv(Call call) throws IOException, InterruptedException {
    ImportRequest message = call.readMessage(ImportRequest.class, MAX_BODY_BYTES);
    KvParams source = message.kvTransferParams();
    checkImport(message, source);
    failIfRequested();
    EngineState.ImportStart start = state.beginImport(message.requestId(), source.kvBytes());
    EngineRequest request = start.request();
    if (start.isNew()) {
      link.pull(request, source);
    }
    state.awaitImport(request);
    state.faults.gate.awaitOpen();
    call.reply(200, new ImportAnswer(request.id, state.kvBytes(request), transferParams(request)));
  }

  private static void checkImport(ImportRequest message, KvParams source) {
    boolean isComplete =
        message.requestId() != null
            && source != null
            && source.remoteEngineId() != null
            && source.remoteBlockIds() != null
            && !source.remoteBlockIds().isEmpty()
            && source.remoteHost() != null
            && source.remotePort() != null
            && source.kvBytes() != null;
    if (!isComplete) {
      throw RefusedException.malformed(
          "request_id or a field of kv_transfer_params is missing: send those of the prefill's"
              + " answer");
    }
  }

  private void exportKv(Call call) throws IOException {
    ExportRequest message = call.readMessage(ExportRequest.class, MAX_BODY_BYTES);
    if (!state.engineId().equals(message.remoteEngineId())) {
      throw new RefusedException(410, "evicted", "this engine is " + state.engineId());
    }
    ExportAnswer answer =
        switch (message.step()) {
          case BEGIN -> state.beginExport(message.block());
          case DONE -> state.finishExport(message.block());
          case ABORT -> state.abortExport(message.block());
        };
    call.reply(200, answer);
  }

  private void handleOrder(Call call) throws IOException, InterruptedException {
    OrderRequest message = call.readMessage(OrderRequest.class, MAX_BODY_BYTES);
    state.orders.accept(message);
    if (message.order().type().startsWith("load_")) {
      Thread.sleep(state.settings.loadMillis());
    }
    state.orders.apply(message);
    call.reply(200, state.orders.inForce());
  }

  private KvParams transferParams(EngineRequest request) {
    return state.transferParams(request, address.getHostString(), address.getPort());
  }

  private void failIfRequested() {
    if (state.faults.consumeFailure()) {
      throw new RefusedException(500, "internal", "failed on demand");
    }
  }

  private static String requestId(Call call) {
    return call.header("X-Request-Id")
        .orElseThrow(() -> RefusedException.malformed("X-Request-Id is missing: send an id"));
  }
}
