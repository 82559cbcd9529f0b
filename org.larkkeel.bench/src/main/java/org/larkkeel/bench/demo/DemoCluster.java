/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.Resources;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.larkkeel.config.Change;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.Diff;
import org.larkkeel.daemon.Daemon;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.daemon.settings.PlatformSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.daemon.settings.SlotSharing;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.router.RouterSettings;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.EngineSpeeds;
import org.larkkeel.standin.EngineStandin;
import org.larkkeel.standin.HostPhase;
import org.larkkeel.standin.PlatformStandin;
import org.larkkeel.standin.ServiceSettings;
import org.larkkeel.standin.ServiceStandin;

/**
 * The platform, the upstreams and the nodes of the demo.
 *
 * <p>Not safe for use by several threads, except for the getters.
 */
final class DemoCluster implements AutoCloseable {
  static final String MODEL = "telar";
  static final String WORKSPACE = "tejemanos";
  private static final String CONFIGURATION = "demo-configuration.json";
  private static final String SERVICE = "mercado";
  private static final long HOST_LIST_DELAY_MILLIS = 200;
  private static final long START_TIMEOUT_SECONDS = 20;
  private static final long FREE_SLOTS_TIMEOUT_SECONDS = 15;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final int DATA_CENTRES = 3;
  private static final InetSocketAddress FREE_PORT =
      new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0);

  private final Closer closer;
  private final SlotSharing slots;
  private final PlatformStandin platform;
  private final ServiceStandin service;
  private final ImmutableMap<String, EngineStandin> engines;
  private final List<Daemon> nodes = new ArrayList<>();

  private DemoCluster(Closer closer, SlotSharing slots) {
    this.closer = closer;
    this.slots = slots;
    platform =
        closer.add(
            PlatformStandin.start(
                org.larkkeel.standin.PlatformSettings.DEFAULTS.withHostLagMillis(
                    HOST_LIST_DELAY_MILLIS)));
    service = closer.add(ServiceStandin.start(ServiceSettings.DEFAULTS));
    ImmutableMap.Builder<String, EngineStandin> started = ImmutableMap.builder();
    for (EngineSettings settings : engineSettings()) {
      started.put(settings.name(), closer.add(EngineStandin.start(settings)));
    }
    engines = started.buildOrThrow();
  }

  /**
   * Starts the platform, the upstreams and the nodes. The nodes are ready when this method returns.
   */
  static DemoCluster start(int nodeCount, SlotSharing slots) throws Exception {
    Closer closer = new Closer();
    try {
      DemoCluster cluster = new DemoCluster(closer, slots);
      cluster.startNodes(nodeCount);
      return cluster;
    } catch (Exception e) {
      closer.close();
      throw e;
    }
  }

  private static ImmutableList<EngineSettings> engineSettings() {
    return ImmutableList.of(
        engine("prefill-old-1", EngineRole.PREFILL, EngineSpeeds.OLD),
        engine("prefill-old-2", EngineRole.PREFILL, EngineSpeeds.OLD),
        engine("prefill-new-1", EngineRole.PREFILL, EngineSpeeds.NEW),
        engine("decode-old-1", EngineRole.DECODE, EngineSpeeds.OLD),
        engine("decode-old-2", EngineRole.DECODE, EngineSpeeds.OLD),
        engine("decode-new-1", EngineRole.DECODE, EngineSpeeds.NEW));
  }

  private static EngineSettings engine(String name, EngineRole role, EngineSpeeds speeds) {
    return EngineSettings.of(name, role, MODEL).withSpeeds(speeds);
  }

  private void startNodes(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      Settings settings = settings(i);
      Daemon node = Daemon.start(settings);
      nodes.add(node);
      closer.add(node);
      platform.putHost(
          settings.host().value(),
          node.peerAddress().toString(),
          settings.dataCentre().value(),
          HostPhase.LIVE);
    }
    apply(configuration());
    awaitReady();
  }

  /**
   * Proposes the configuration through one node, as an operator does; the nodes receive it from the
   * platform.
   */
  private void apply(Configuration configuration) throws Exception {
    Change change =
        new Change(
            new ChangeId("demo-1"),
            "demo",
            System.currentTimeMillis(),
            "the configuration of the demo",
            Revision.NONE,
            Diff.between(Configuration.EMPTY, configuration).operations(configuration, false));
    ProposalOutcome outcome =
        nodes
            .getFirst()
            .operations()
            .propose(change, DryRun.NO)
            .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!(outcome instanceof ProposalOutcome.Accepted)) {
      throw new IllegalStateException("the configuration was not accepted: " + outcome);
    }
  }

  /** Waits until the configuration is in force at all nodes and the nodes know each other. */
  private void awaitReady() throws InterruptedException, TimeoutException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (!nodes.stream().allMatch(n -> n.isReady() && n.liveNodes() == nodes.size())) {
      if (System.nanoTime() - end >= 0) {
        throw new TimeoutException(
            "the nodes are not ready after seconds=" + START_TIMEOUT_SECONDS);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private Settings settings(int index) {
    ListenerSettings listener = ListenerSettings.plain(FREE_PORT);
    DataCentreName dataCentre = new DataCentreName("dc-" + (1 + index % DATA_CENTRES));
    return new Settings(
        new HostName("entry-" + (1 + index)),
        dataCentre,
        Optional.empty(),
        listener,
        listener,
        listener,
        Optional.empty(),
        new PlatformSettings(
            URI.create("http:/" + platform.address()),
            Optional.empty(),
            Duration.ofSeconds(2),
            100,
            50),
        ImmutableList.of(),
        LimitSettings.DEFAULT,
        RouterSettings.builder()
            .dataCentre(Optional.of(dataCentre))
            .sharedSlots(slots == SlotSharing.GRANTED)
            .build(),
        LogLevel.INFO);
  }

  private Configuration configuration() throws IOException {
    String text =
        Resources.toString(
            Resources.getResource(DemoCluster.class, CONFIGURATION), StandardCharsets.UTF_8);
    for (Map.Entry<String, EngineStandin> engine : engines.entrySet()) {
      text = insertAddress(text, engine.getKey(), engine.getValue().address());
    }
    text = insertAddress(text, SERVICE, service.address());
    return ConfigurationDocument.read(CONFIGURATION, text).orThrow();
  }

  private static String insertAddress(String text, String name, InetSocketAddress address) {
    return text.replace(
        "@" + name + "@", address.getAddress().getHostAddress() + ":" + address.getPort());
  }

  ImmutableList<URI> callerAddresses() {
    return nodes.stream()
        .map(n -> URI.create("http:/" + n.callerAddress()))
        .collect(ImmutableList.toImmutableList());
  }

  PlatformStandin platform() {
    return platform;
  }

  ServiceStandin service() {
    return service;
  }

  ImmutableMap<String, EngineStandin> engines() {
    return engines;
  }

  /** Kills a node, as if its process had died. */
  void killNode(int index) throws Exception {
    nodes.get(index).kill();
  }

  /**
   * Waits until no engine holds a slot or the timeout has passed. Returns the number of slots still
   * held.
   */
  int awaitFreeSlots() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FREE_SLOTS_TIMEOUT_SECONDS);
    int held = heldSlots();
    while (held > 0 && System.nanoTime() - end < 0) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
      held = heldSlots();
    }
    return held;
  }

  private int heldSlots() {
    return engines.values().stream().mapToInt(e -> e.ledger().snapshot().slots().size()).sum();
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
