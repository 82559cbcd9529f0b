/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableList;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;
import org.larkkeel.config.Configuration;
import org.larkkeel.daemon.settings.PlatformSettings;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.lib.Closer;
import org.larkkeel.peer.PeerNode;
import org.larkkeel.store.BudgetedObjectApi;
import org.larkkeel.store.CallBudget;
import org.larkkeel.store.HostEntry;
import org.larkkeel.store.HostList;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.HttpObjectApi;
import org.larkkeel.store.HttpWeightStore;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.config.ConfigStore;
import org.larkkeel.store.log.LogName;
import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.order.WeightStore;
import org.larkkeel.store.run.RunLog;
import org.larkkeel.store.run.RunLogOptions;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.ssl.XnioSsl;

/**
 * The components of a node that use the platform's object API and weight store.
 *
 * <p>Safe for use by several threads.
 */
final class StoreModule implements AutoCloseable {
  private final Closer closer = new Closer();
  private final ObjectApi api;
  private final Dependencies dependencies;
  private final HttpWeightStore weights;
  private final HostList hosts;
  private final ConfigStore configurations;
  private final RunRecords runs;
  private volatile boolean closed;

  /** The components of the rest of the node that this module uses. */
  record Dependencies(
      WriterId self,
      HttpWorker worker,
      Scheduler scheduler,
      Readiness readiness,
      Duration cutOff,
      Consumer<ImmutableList<HostEntry>> hosts,
      Consumer<Configuration> configuration,
      Predicate<WriterId> isAlive) {}

  StoreModule(Dependencies dependencies, PlatformSettings settings, long seed) {
    this.dependencies = dependencies;
    HttpObjectApi http =
        closer.add(
            new HttpObjectApi(
                options(settings), dependencies.worker().worker(), dependencies.scheduler()));
    api =
        new BudgetedObjectApi(
            new ObservedObjectApi(http, dependencies.readiness()),
            budget(settings),
            dependencies.scheduler(),
            new SplittableRandom(seed));
    weights =
        closer.add(
            new HttpWeightStore(
                options(settings), dependencies.worker().worker(), dependencies.scheduler()));
    hosts =
        closer.add(
            new HostList(
                api,
                dependencies.scheduler(),
                new SplittableRandom(seed + 1),
                dependencies.hosts()));
    configurations = closer.add(newConfigurations(new SplittableRandom(seed + 2)));
    runs = closer.add(newRuns(new SplittableRandom(seed + 3)));
  }

  private ConfigStore newConfigurations(SplittableRandom random) {
    ObjectLog log =
        new ObjectLog(
            api,
            new LogName(ConfigStore.LOG_NAME),
            dependencies.self(),
            dependencies.scheduler(),
            random,
            LogOptions.DEFAULT);
    return new ConfigStore(log, dependencies.scheduler(), dependencies.configuration());
  }

  private RunRecords newRuns(SplittableRandom random) {
    RunLog log =
        new RunLog(
            api,
            dependencies.self(),
            dependencies.scheduler(),
            random,
            RunLogOptions.DEFAULT,
            dependencies.isAlive());
    return new RunRecords(dependencies.self().host(), log, dependencies.scheduler());
  }

  void start(PeerNode peers) {
    hosts.start();
    configurations.start();
    runs.start(peers);
    scheduleProbe();
  }

  ObjectApi api() {
    return api;
  }

  WeightStore weights() {
    return weights;
  }

  ConfigStore configurations() {
    return configurations;
  }

  RunRecords runs() {
    return runs;
  }

  private static HttpClientOptions options(PlatformSettings settings) {
    HttpClientOptions defaults = HttpClientOptions.of(settings.url());
    return new HttpClientOptions(
        settings.url(),
        new TokenFile(settings.token()),
        settings.url().getScheme().equals("https") ? Optional.of(ssl()) : Optional.empty(),
        defaults.maxConnections(),
        settings.timeout(),
        defaults.maxBodyBytes());
  }

  private static XnioSsl ssl() {
    try {
      return new UndertowXnioSsl(Xnio.getInstance(), OptionMap.EMPTY, SSLContext.getDefault());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java platform has no default TLS context", e);
    }
  }

  private static CallBudget budget(PlatformSettings settings) {
    CallBudget defaults = CallBudget.DEFAULT;
    return new CallBudget(
        settings.readsPerSecond(),
        settings.writesPerSecond(),
        defaults.burst(),
        defaults.maxWait(),
        defaults.initialProbeDelay(),
        defaults.maxProbeDelay());
  }

  /**
   * Reads a small object from the store if the node has had no contact for a third of the cut-off
   * time, so that an idle node does not turn unready.
   */
  private void probe() {
    if (closed) {
      return;
    }
    if (dependencies.readiness().nanosSinceContact() > dependencies.cutOff().toNanos() / 3) {
      var unused = api.get(new ObjectKey(HostList.COLLECTION, dependencies.self().host().value()));
    }
    scheduleProbe();
  }

  private void scheduleProbe() {
    dependencies.scheduler().schedule(dependencies.cutOff().dividedBy(6), this::probe);
  }

  @Override
  public void close() throws Exception {
    closed = true;
    closer.close();
  }
}
