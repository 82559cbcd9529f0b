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
 * A stand-in for a plain service: lookups by GET and calls that may not be repeated by POST.
 *
 * <p>Answers are those of {@link ServiceOracle}. A POST needs a JSON object with the reference
 * field; it runs each time that it arrives, whatever its key. The faults are also controls: {@code
 * POST /control/cut-after-run?count=n}, {@code refuse-next?count=n}, {@code slow?millis=n}; {@code
 * GET /control/ledger} shows the ledger. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceStandin implements AutoCloseable {
  private static final int MAX_BODY = 1 << 20;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Health HEALTHY = new Health("ok");

  private final ServiceSettings settings;
  private final ServiceLedger ledger = new ServiceLedger();
  private final AtomicInteger cuts = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();
  private final Controls controls;
  private volatile long slowMillis;
  private StandinServer server;

  private record Health(String status) {}

  private record Refusal(String code, String message) {}

  private ServiceStandin(ServiceSettings settings) {
    this.settings = settings;
    controls =
        Controls.builder()
            .action("cut-after-run", call -> cutAfterRun((int) call.queryNumber("count", 1)))
            .action("refuse-next", call -> refuseNext((int) call.queryNumber("count", 1)))
            .action("slow", call -> slow(call.queryNumber("millis", 0)))
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
   * The address.
   *
   * @return the address with the real port
   */
  public synchronized InetSocketAddress address() {
    return server.address();
  }

  /**
   * What the service ran.
   *
   * @return the ledger
   */
  public ServiceLedger ledger() {
    return ledger;
  }

  /**
   * Lets the next calls run and then lose their connection before the answer.
   *
   * @param count how many
   */
  public void cutAfterRun(int count) {
    cuts.set(count);
  }

  /**
   * Lets the next requests be refused with 503 and {@code X-Not-Run}.
   *
   * @param count how many
   */
  public void refuseNext(int count) {
    refusals.set(count);
  }

  /**
   * Lets each request wait before it is answered; a call runs before the wait.
   *
   * @param millis milliseconds, 0 for none
   */
  public void slow(long millis) {
    slowMillis = millis;
  }

  /** Closes the listener and all connections abruptly; the ledger stays. */
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
    } else if (take(refusals)) {
      ledger.refuse();
      call.answerHeader("X-Not-Run", "true");
      call.reply(503, new Refusal("refused", "refused on demand"));
    } else if (call.method().equals("GET")) {
      ledger.lookup();
      Thread.sleep(slowMillis);
      call.reply(200, ServiceOracle.lookup(call.pathAndQuery()));
    } else {
      change(call);
    }
  }

  private void change(Call call) throws IOException, InterruptedException {
    String reference;
    try {
      reference = reference(call);
    } catch (RefusedException e) {
      call.answerHeader("X-Not-Run", "true");
      call.reply(e.status(), new Refusal(e.code(), e.getMessage()));
      return;
    }
    int run = ledger.run(reference, call.header("Idempotency-Key").orElse(null));
    Thread.sleep(slowMillis);
    if (take(cuts)) {
      call.cut();
      return;
    }
    call.reply(201, ServiceOracle.change(call.path(), reference, run));
  }

  private String reference(Call call) throws IOException {
    JsonNode field = call.body(JsonNode.class, MAX_BODY).get(settings.referenceField());
    if (field == null || !field.isTextual()) {
      throw RefusedException.malformed(settings.referenceField() + " is missing: send a text");
    }
    return field.textValue();
  }

  private static boolean take(AtomicInteger left) {
    return left.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
