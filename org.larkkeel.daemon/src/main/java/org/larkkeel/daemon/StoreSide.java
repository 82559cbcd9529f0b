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
 * Everything of a node that talks to the platform.
 *
 * <p>Safe for use by several threads.
 */
final class StoreSide implements AutoCloseable {
  private final Closer closer = new Closer();
  private final ObjectApi api;
  private final Parts parts;
  private final HttpWeightStore weights;
  private final HostList hosts;
  private final ConfigStore configurations;
  private final RunRecords runs;
  private volatile boolean closed;

  /** What this side needs from the rest of the node. */
  record Parts(
      WriterId self,
      HttpWorker worker,
      Scheduler scheduler,
      Readiness readiness,
      Duration cutOff,
      Consumer<ImmutableList<HostEntry>> hosts,
      Consumer<Configuration> configuration,
      Predicate<WriterId> alive) {}

  StoreSide(Parts parts, PlatformSettings settings, long seed) {
    this.parts = parts;
    HttpObjectApi http =
        closer.add(
            new HttpObjectApi(options(settings), parts.worker().worker(), parts.scheduler()));
    api =
        new BudgetedObjectApi(
            new ObservedObjectApi(http, parts.readiness()),
            budget(settings),
            parts.scheduler(),
            new SplittableRandom(seed));
    weights =
        closer.add(
            new HttpWeightStore(options(settings), parts.worker().worker(), parts.scheduler()));
    hosts =
        closer.add(
            new HostList(api, parts.scheduler(), new SplittableRandom(seed + 1), parts.hosts()));
    configurations = closer.add(newConfigurations(new SplittableRandom(seed + 2)));
    runs = closer.add(newRuns(new SplittableRandom(seed + 3)));
  }

  private ConfigStore newConfigurations(SplittableRandom random) {
    ObjectLog log =
        new ObjectLog(
            api,
            new LogName(ConfigStore.LOG_NAME),
            parts.self(),
            parts.scheduler(),
            random,
            LogOptions.DEFAULT);
    return new ConfigStore(log, parts.scheduler(), parts.configuration());
  }

  private RunRecords newRuns(SplittableRandom random) {
    RunLog log =
        new RunLog(
            api, parts.self(), parts.scheduler(), random, RunLogOptions.DEFAULT, parts.alive());
    return new RunRecords(parts.self().host(), log, parts.scheduler());
  }

  void start(PeerNode peers) {
    hosts.start();
    configurations.start();
    runs.start(peers);
    probeLater();
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
    HttpClientOptions usual = HttpClientOptions.of(settings.url());
    return new HttpClientOptions(
        settings.url(),
        new TokenFile(settings.token()),
        settings.url().getScheme().equals("https") ? Optional.of(ssl()) : Optional.empty(),
        usual.maxConnections(),
        settings.timeout(),
        usual.maxBodyBytes());
  }

  private static XnioSsl ssl() {
    try {
      return new UndertowXnioSsl(Xnio.getInstance(), OptionMap.EMPTY, SSLContext.getDefault());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has a default TLS context", e);
    }
  }

  private static CallBudget budget(PlatformSettings settings) {
    CallBudget usual = CallBudget.DEFAULT;
    return new CallBudget(
        settings.readsPerSecond(),
        settings.writesPerSecond(),
        usual.burst(),
        usual.longestWait(),
        usual.firstProbe(),
        usual.longestProbe());
  }

  /** Asks the store for something small if nothing else has reached anybody for a while. */
  private void probe() {
    if (closed) {
      return;
    }
    if (parts.readiness().silentNanos() > parts.cutOff().toNanos() / 3) {
      var unused = api.get(new ObjectKey(HostList.COLLECTION, parts.self().host().value()));
    }
    probeLater();
  }

  private void probeLater() {
    parts.scheduler().schedule(parts.cutOff().dividedBy(6), this::probe);
  }

  @Override
  public void close() throws Exception {
    closed = true;
    closer.close();
  }
}
