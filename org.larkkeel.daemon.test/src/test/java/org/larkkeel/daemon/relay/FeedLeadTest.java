/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.daemon.VirtualTime;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.time.BootClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a node is not ready while its peers have a newer configuration, and no longer.
 *
 * <p>Guards against nodes that serve by a configuration that they know to be outdated, and against
 * nodes that a wrong report keeps from serving.
 */
public class FeedLeadTest {
  private static final StoreVersion NEWER = new StoreVersion(1, 50);

  private static final class Adapter extends FeedCostTest.Adapter {
    @Override
    public Optional<ParseResult<RelayConfiguration>> configuration(
        ImmutableCollection<StoredObject> objects) {
      return Optional.of(
          new ParseResult.Readable<>(
              new RelayConfiguration(1, ImmutableList.of(), ImmutableMap.of(), 1 << 20)));
    }
  }

  private Closer closer;
  private FeedCostTest.Store store;
  private VirtualTime time;
  private RelayRouter router;
  private HttpWorker worker;
  private RelayFeed feed;

  /** Starts a feed that has read its configuration. */
  @BeforeMethod
  public void start() throws Exception {
    closer = new Closer();
    store = new FeedCostTest.Store();
    time = new VirtualTime();
    worker = closer.add(new HttpWorker(1));
    router =
        new RelayRouter(
            new RelaySettings(
                new DataCentreName("dc-1"), 0.2, 20, 1, 1, 512, 1, 7, QuotaTolerance.NONE));
    RelayLoop loop =
        closer.add(new RelayLoop(worker.worker().getIoThread(), router, BootClock.SYSTEM));
    StageController stages =
        new StageController(
            0, new HostName("node-1"), store, time, (u, s, h, f, a) -> null, () -> 0);
    feed =
        closer.add(
            new RelayFeed(
                new Adapter(),
                store,
                time,
                Duration.ofSeconds(15),
                new SplittableRandom(1),
                () -> 1,
                () -> 0,
                loop,
                stages,
                new RelayMeters(new SimpleMeterRegistry())));
    feed.start();
    time.advance(Duration.ofMillis(10));
    assertReady(true);
  }

  /** Stops all parts. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    closer.close();
  }

  private void assertReady(boolean expected) throws Exception {
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    worker.worker().getIoThread().execute(() -> ready.complete(router.isReady()));
    assertEquals(ready.get().booleanValue(), expected);
  }

  private void reportFromPeer() {
    feed.onPeerVersions(new FeedChanges(NEWER, StoreVersion.NONE));
  }

  @Test
  public void nodeIsNotReadyOnceTheLeadIsTooLong() throws Exception {
    reportFromPeer();
    time.advance(Duration.ofMillis(900));
    assertReady(true);
    time.advance(Duration.ofMillis(200));
    assertReady(false);
  }

  /** Guards against a report of a change that does not exist, which is repeated for ever. */
  @Test
  public void nodeIsReadyAgainOnceTheStoreRefutesTheReport() throws Exception {
    reportFromPeer();
    time.advance(Duration.ofMillis(1_100));
    assertReady(false);
    store.configurationWatchEnd.complete(null);
    time.advance(Duration.ofMillis(10));
    assertReady(true);
    reportFromPeer();
    time.advance(Duration.ofSeconds(3));
    assertReady(true);
  }
}
