/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.larkkeel.standin.internal.Call;
import org.larkkeel.standin.internal.Controls;
import org.larkkeel.standin.internal.ObjectStore;
import org.larkkeel.standin.internal.PlatformFaults;
import org.larkkeel.standin.internal.PlatformRoutes;
import org.larkkeel.standin.internal.RefusedException;
import org.larkkeel.standin.internal.StandinServer;
import org.larkkeel.standin.internal.WeightStore;

/**
 * A stand-in for the platform: object API, list of hosts and weight store.
 *
 * <p>Each fault can also be injected over HTTP: {@code POST /control/outage?on=1}, {@code
 * latency?millis=n}, {@code lose-answers?count=n}, {@code lose-writes?count=n}, {@code
 * limit?per_second=n}, {@code host?name=&address=&data_centre=&phase=}, {@code remove-host?name=};
 * {@code GET /control/calls} returns the call counts. Objects are kept in the memory of this
 * process and survive {@link #restart}. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class PlatformStandin implements AutoCloseable {
  private final PlatformSettings settings;
  private final ObjectStore store;
  private final PlatformFaults faults = new PlatformFaults();
  private final ScheduledExecutorService hostScheduler =
      Executors.newScheduledThreadPool(1, daemonThreadFactory());
  private final PlatformRoutes routes;
  private StandinServer server;

  private PlatformStandin(PlatformSettings settings) {
    this.settings = settings;
    store = new ObjectStore(settings.historyLimit());
    WeightStore weights =
        new WeightStore(
            settings.weightBytes(), settings.weightBytesPerSecond(), settings.weightPulls());
    routes = new PlatformRoutes(store, weights, faults, controls());
    server = new StandinServer(settings.bind(), PlatformRoutes.MAPPER, routes);
  }

  /**
   * Starts a platform.
   *
   * @param settings the settings, never null
   * @return the running platform
   */
  public static PlatformStandin start(PlatformSettings settings) {
    return new PlatformStandin(settings);
  }

  /**
   * Returns the address that the platform listens on.
   *
   * @return the address with the actual port
   */
  public synchronized InetSocketAddress address() {
    return server.address();
  }

  /**
   * Returns the number of calls received, including refused ones. A watch counts once.
   *
   * @return the number of calls by verb
   */
  public ImmutableMap<PlatformVerb, Long> calls() {
    return faults.calls();
  }

  /**
   * Starts or ends an outage, in which all calls are refused with 503 and watches are closed.
   *
   * @param on true to start, false to end
   */
  public void outage(boolean on) {
    faults.outage = on;
    store.wakeWatches();
  }

  /**
   * Delays the processing of each call.
   *
   * @param millis the delay in milliseconds, 0 for none
   */
  public void latency(long millis) {
    faults.latencyMillis = millis;
  }

  /**
   * Closes the connections of the next writes after they took effect and before the answer.
   *
   * @param count the number of writes
   */
  public void loseAnswers(int count) {
    faults.answersToLose.set(count);
  }

  /**
   * Closes the connections of the next writes before they take effect.
   *
   * @param count the number of writes
   */
  public void loseWrites(int count) {
    faults.writesToLose.set(count);
  }

  /**
   * Limits the rate of calls; calls above it are refused with 429. Allows a burst of one second's
   * calls.
   *
   * @param callsPerSecond the rate, 0 for no limit
   */
  public void limit(double callsPerSecond) {
    faults.limit(callsPerSecond);
  }

  /**
   * Adds a host to the list of hosts, or replaces its entry, after the configured delay.
   *
   * @param name the host's name
   * @param address the address, {@code ip:port}
   * @param dataCentre the name of its data centre
   * @param phase the phase of the host
   */
  public void putHost(String name, String address, String dataCentre, HostPhase phase) {
    ObjectNode host = PlatformRoutes.MAPPER.createObjectNode();
    host.put("apiVersion", "larkkeel.org/v1").put("kind", "Host");
    host.putObject("metadata").put("name", name);
    host.putObject("spec")
        .put("address", address)
        .put("dataCentre", dataCentre)
        .put("phase", phase.name().toLowerCase(Locale.ROOT));
    applyAfterLag(() -> store.upsert(PlatformRoutes.HOSTS, host));
  }

  /**
   * Removes a host from the list of hosts after the configured delay.
   *
   * @param name the host's name
   */
  public void removeHost(String name) {
    applyAfterLag(() -> store.deleteIfPresent(PlatformRoutes.HOSTS, name));
  }

  /** Closes the listener and all connections abruptly and listens again on the same port. */
  public synchronized void restart() {
    InetSocketAddress address = server.address();
    server.close();
    server = new StandinServer(address, PlatformRoutes.MAPPER, routes);
  }

  @Override
  public synchronized void close() {
    server.close();
    hostScheduler.shutdownNow();
  }

  private void applyAfterLag(Runnable change) {
    if (settings.hostLagMillis() == 0) {
      change.run();
      return;
    }
    var unused = hostScheduler.schedule(change, settings.hostLagMillis(), TimeUnit.MILLISECONDS);
  }

  private Controls controls() {
    return Controls.builder()
        .action("outage", call -> outage(call.queryNumber("on", 1) != 0))
        .action("latency", call -> latency(call.queryNumber("millis", 0)))
        .action("lose-answers", call -> loseAnswers((int) call.queryNumber("count", 1)))
        .action("lose-writes", call -> loseWrites((int) call.queryNumber("count", 1)))
        .action("limit", call -> limit((double) call.queryNumber("per_second", 0)))
        .action("host", this::putHostFrom)
        .action("remove-host", call -> removeHost(requiredQuery(call, "name")))
        .view("calls", call -> calls())
        .build();
  }

  private void putHostFrom(Call call) {
    HostPhase phase =
        requiredQuery(call, "phase").equals("leaving") ? HostPhase.LEAVING : HostPhase.LIVE;
    putHost(
        requiredQuery(call, "name"),
        requiredQuery(call, "address"),
        requiredQuery(call, "data_centre"),
        phase);
  }

  private static String requiredQuery(Call call, String name) {
    return call.query(name)
        .orElseThrow(() -> RefusedException.malformed("query " + name + " is missing: send it"));
  }

  private static ThreadFactory daemonThreadFactory() {
    return Thread.ofPlatform().daemon().name("platform-standin-hosts").factory();
  }
}
