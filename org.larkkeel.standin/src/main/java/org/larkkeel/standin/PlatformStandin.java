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
 * <p>The faults are also controls: {@code POST /control/outage?on=1}, {@code latency?millis=n},
 * {@code lose-answers?count=n}, {@code lose-writes?count=n}, {@code limit?per_second=n}, {@code
 * host?name=&address=&data_centre=&phase=}, {@code remove-host?name=}; {@code GET /control/calls}
 * shows the counts. Objects survive {@link #restart} as they live in memory. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class PlatformStandin implements AutoCloseable {
  private final PlatformSettings settings;
  private final ObjectStore store;
  private final PlatformFaults faults = new PlatformFaults();
  private final ScheduledExecutorService lagging = Executors.newScheduledThreadPool(1, daemons());
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
   * The address.
   *
   * @return the address with the real port
   */
  public synchronized InetSocketAddress address() {
    return server.address();
  }

  /**
   * The calls so far, refused ones too; a watch counts once.
   *
   * @return calls by verb
   */
  public ImmutableMap<PlatformVerb, Long> calls() {
    return faults.calls();
  }

  /**
   * Refuses all calls with 503 and cuts the watches.
   *
   * @param on true to begin, false to end
   */
  public void outage(boolean on) {
    faults.outage = on;
    store.wake();
  }

  /**
   * Delays each call.
   *
   * @param millis milliseconds before a call is looked at, 0 for none
   */
  public void latency(long millis) {
    faults.latencyMillis = millis;
  }

  /**
   * Cuts the connections of the next writes after they took effect.
   *
   * @param count how many
   */
  public void loseAnswers(int count) {
    faults.answersToLose.set(count);
  }

  /**
   * Cuts the connections of the next writes before they take effect.
   *
   * @param count how many
   */
  public void loseWrites(int count) {
    faults.writesToLose.set(count);
  }

  /**
   * Limits the rate of calls; up to a second's worth may come at once.
   *
   * @param callsPerSecond the rate, 0 for no limit
   */
  public void limit(double callsPerSecond) {
    faults.limit(callsPerSecond);
  }

  /**
   * Shows a host, or changes what is shown of it, after the lag.
   *
   * @param name the host's name
   * @param address the address, {@code ip:port}
   * @param dataCentre the name of its data centre
   * @param phase live or leaving
   */
  public void putHost(String name, String address, String dataCentre, HostPhase phase) {
    ObjectNode host = PlatformRoutes.MAPPER.createObjectNode();
    host.put("apiVersion", "larkkeel.org/v1").put("kind", "Host");
    host.putObject("metadata").put("name", name);
    host.putObject("spec")
        .put("address", address)
        .put("dataCentre", dataCentre)
        .put("phase", phase.name().toLowerCase(Locale.ROOT));
    afterLag(() -> store.set(PlatformRoutes.HOSTS, host));
  }

  /**
   * Stops showing a host after the lag.
   *
   * @param name the host's name
   */
  public void removeHost(String name) {
    afterLag(() -> store.remove(PlatformRoutes.HOSTS, name));
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
    lagging.shutdownNow();
  }

  private void afterLag(Runnable change) {
    if (settings.hostLagMillis() == 0) {
      change.run();
      return;
    }
    var unused = lagging.schedule(change, settings.hostLagMillis(), TimeUnit.MILLISECONDS);
  }

  private Controls controls() {
    return Controls.builder()
        .action("outage", call -> outage(call.queryNumber("on", 1) != 0))
        .action("latency", call -> latency(call.queryNumber("millis", 0)))
        .action("lose-answers", call -> loseAnswers((int) call.queryNumber("count", 1)))
        .action("lose-writes", call -> loseWrites((int) call.queryNumber("count", 1)))
        .action("limit", call -> limit((double) call.queryNumber("per_second", 0)))
        .action("host", this::putHostFrom)
        .action("remove-host", call -> removeHost(needed(call, "name")))
        .view("calls", call -> calls())
        .build();
  }

  private void putHostFrom(Call call) {
    HostPhase phase = needed(call, "phase").equals("leaving") ? HostPhase.LEAVING : HostPhase.LIVE;
    putHost(needed(call, "name"), needed(call, "address"), needed(call, "data_centre"), phase);
  }

  private static String needed(Call call, String name) {
    return call.query(name)
        .orElseThrow(() -> RefusedException.malformed("query " + name + " is missing: send it"));
  }

  private static ThreadFactory daemons() {
    return Thread.ofPlatform().daemon().name("platform-standin-hosts").factory();
  }
}
