/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.daemon.Daemon;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.daemon.settings.PlatformSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.router.RouterSettings;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.EngineStandin;
import org.larkkeel.standin.HostPhase;
import org.larkkeel.standin.PlatformStandin;

/**
 * A cluster of nodes without callers, with its own stand-ins of the platform and the engines, in
 * this process.
 *
 * <p>Not safe for use by several threads.
 */
final class IdleCluster implements AutoCloseable {
  private static final InetSocketAddress FREE_PORT =
      new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0);
  private static final long READY_TIMEOUT_SECONDS = 60;
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int READS_PER_SECOND = 100;
  private static final int WRITES_PER_SECOND = 50;

  private final Closer closer = new Closer();
  private final PlatformStandin platform;
  private final List<Daemon> nodes = new ArrayList<>();

  IdleCluster(int nodeCount, int engineCount) throws Exception {
    platform = closer.add(PlatformStandin.start(org.larkkeel.standin.PlatformSettings.DEFAULTS));
    Configuration configuration = configuration(engineCount);
    for (int i = 0; i < nodeCount; i++) {
      startNode(i);
    }
    nodes.forEach(n -> n.accept(configuration));
    awaitReady();
  }

  private Configuration configuration(int engineCount) {
    Configuration template = new Deployment(engineCount, 1, 1).configuration(new Revision(1));
    ImmutableSortedMap.Builder<UpstreamName, Upstream> upstreams =
        ImmutableSortedMap.naturalOrder();
    template.upstreams().values().forEach(u -> upstreams.put(u.name(), startEngine(u)));
    return new Configuration(
        template.revision(),
        upstreams.buildOrThrow(),
        template.pools(),
        template.rules(),
        template.workspaces());
  }

  private Upstream startEngine(Upstream declared) {
    EngineRole role =
        declared.labels().get("role").orElseThrow().equals("prefill")
            ? EngineRole.PREFILL
            : EngineRole.DECODE;
    String model = declared.models().iterator().next().value();
    EngineStandin engine =
        closer.add(EngineStandin.start(EngineSettings.of(declared.name().value(), role, model)));
    InetSocketAddress address = engine.address();
    return new Upstream(
        declared.name(),
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        declared.labels(),
        declared.models(),
        declared.slots(),
        declared.fencing(),
        declared.linkBytesPerSecond());
  }

  private void startNode(int index) throws Exception {
    Settings settings = settings(index);
    Daemon node = closer.add(Daemon.start(settings));
    nodes.add(node);
    platform.putHost(
        settings.host().value(),
        node.peerAddress().toString(),
        settings.dataCentre().value(),
        HostPhase.LIVE);
  }

  private Settings settings(int index) {
    ListenerSettings listener = ListenerSettings.plain(FREE_PORT);
    return new Settings(
        new HostName("node-" + index),
        new DataCentreName("dc-1"),
        Optional.empty(),
        listener,
        listener,
        listener,
        Optional.empty(),
        new PlatformSettings(
            URI.create("http:/" + platform.address()),
            Optional.empty(),
            Duration.ofSeconds(2),
            READS_PER_SECOND,
            WRITES_PER_SECOND),
        ImmutableList.of(),
        LimitSettings.DEFAULT,
        RouterSettings.builder().sharedSlots(true).build(),
        LogLevel.WARN);
  }

  private void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (!nodes.stream().allMatch(n -> n.isReady() && n.liveNodes() == nodes.size())) {
      if (System.nanoTime() - end >= 0) {
        throw new TimeoutException(
            "the nodes are not ready after seconds=" + READY_TIMEOUT_SECONDS);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /** Returns the number of calls that the platform has received; a watch counts once. */
  long storeCalls() {
    return platform.calls().values().stream().mapToLong(Long::longValue).sum();
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
