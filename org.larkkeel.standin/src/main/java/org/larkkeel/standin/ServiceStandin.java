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
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.standin.internal.Call;
import org.larkkeel.standin.internal.Controls;
import org.larkkeel.standin.internal.RefusedException;
import org.larkkeel.standin.internal.StandinServer;

/**
 * A stand-in for a plain service: GET for lookups, POST for calls that must not be executed twice.
 *
 * <p>The answers are those of {@link ServiceOracle}. The body of a POST is a JSON object with the
 * reference field. The service does not deduplicate: each POST that arrives is executed, also if
 * its {@code Idempotency-Key} was seen before. Each fault can also be injected over HTTP: {@code
 * POST /control/cut-after-run?count=n}, {@code refuse-next?count=n}, {@code slow?millis=n}; {@code
 * GET /control/ledger} returns the ledger. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceStandin implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Health HEALTHY = new Health("ok");

  private final ServiceSettings settings;
  private final ServiceLedger ledger = new ServiceLedger();
  private final AtomicInteger remainingCuts = new AtomicInteger();
  private final AtomicInteger remainingRefusals = new AtomicInteger();
  private final Controls controls;
  private volatile long answerDelayMillis;
  private StandinServer server;

  private record Health(String status) {}

  private record Refusal(String code, String message) {}

  private ServiceStandin(ServiceSettings settings) {
    this.settings = settings;
    controls =
        Controls.builder()
            .action("cut-after-run", call -> cutAfterRun((int) call.queryNumber("count", 1)))
            .action("refuse-next", call -> refuseNext((int) call.queryNumber("count", 1)))
            .action("slow", call -> delayAnswers(call.queryNumber("millis", 0)))
            .view("ledger", call -> ledger.snapshot())
            .build();
    server = new StandinServer(settings.bind(), MAPPER, this::handle);
  }

  /**
   * Starts a service.
   *
   * @param settings the settings, never null
   * @return the running service
   */
  public static ServiceStandin start(ServiceSettings settings) {
    return new ServiceStandin(settings);
  }

  /**
   * Returns the address that the service listens on.
   *
   * @return the address with the actual port
   */
  public synchronized InetSocketAddress address() {
    return server.address();
  }

  /**
   * Returns the record of the executions and lookups of the service.
   *
   * @return the ledger
   */
  public ServiceLedger ledger() {
    return ledger;
  }

  /**
   * Closes the connections of the next POST calls after their execution and before the answer.
   *
   * @param count the number of calls
   */
  public void cutAfterRun(int count) {
    remainingCuts.set(count);
  }

  /**
   * Refuses the next requests with 503 and {@code X-Not-Run} without executing them.
   *
   * @param count the number of requests
   */
  public void refuseNext(int count) {
    remainingRefusals.set(count);
  }

  /**
   * Delays each answer. A POST call is executed before the delay.
   *
   * @param millis the delay in milliseconds, 0 for none
   */
  public void delayAnswers(long millis) {
    answerDelayMillis = millis;
  }

  /** Closes the listener and all connections abruptly; the ledger is kept. */
  public synchronized void kill() {
    server.close();
  }

  /** Kills the service and starts it again on the same port. */
  public synchronized void restart() {
    InetSocketAddress address = server.address();
    server.close();
    server = new StandinServer(address, MAPPER, this::handle);
  }

  @Override
  public void close() {
    kill();
  }

  private void handle(Call call) throws IOException, InterruptedException {
    if (controls.handle(call)) {
      return;
    }
    if (call.path().equals("/healthz")) {
      call.reply(200, HEALTHY);
    } else if (decrementIfPositive(remainingRefusals)) {
      ledger.recordRefusal();
      call.setAnswerHeader("X-Not-Run", "true");
      call.reply(503, new Refusal("refused", "refused on demand"));
    } else if (call.method().equals("GET")) {
      ledger.recordLookup();
      Thread.sleep(answerDelayMillis);
      call.reply(200, ServiceOracle.lookup(call.pathAndQuery()));
    } else {
      runChange(call);
    }
  }

  private void runChange(Call call) throws IOException, InterruptedException {
    String reference;
    try {
      reference = readReference(call);
    } catch (RefusedException e) {
      call.setAnswerHeader("X-Not-Run", "true");
      call.reply(e.status(), new Refusal(e.code(), e.getMessage()));
      return;
    }
    int run = ledger.recordRun(reference, call.header("Idempotency-Key").orElse(null));
    Thread.sleep(answerDelayMillis);
    if (decrementIfPositive(remainingCuts)) {
      call.closeConnection();
      return;
    }
    call.reply(201, ServiceOracle.change(call.path(), reference, run));
  }

  private String readReference(Call call) throws IOException {
    JsonNode field =
        call.readMessage(JsonNode.class, MAX_BODY_BYTES).get(settings.referenceField());
    if (field == null || !field.isTextual()) {
      throw RefusedException.malformed(settings.referenceField() + " is missing: send a text");
    }
    return field.textValue();
  }

  private static boolean decrementIfPositive(AtomicInteger counter) {
    return counter.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
