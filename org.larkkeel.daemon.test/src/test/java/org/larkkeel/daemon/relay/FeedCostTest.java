/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.larkkeel.daemon.VirtualTime;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.relay.RelayDialect;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;
import org.larkkeel.time.BootClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.XnioWorker;

/**
 * Tests that a change of the store costs a node one parse per changed entry, however many entries
 * there are.
 *
 * <p>Guards against parsing all entries with each change: a service of a thousand upstreams, which
 * register within seconds and then change occasionally, would take half a million parses to
 * register, and with a hundred nodes none became ready.
 */
public class FeedCostTest {
  private static final int ENTRIES = 1_000;
  private static final String UPSTREAMS = "upstreams";

  /** A store whose changes are sent by the test. */
  static final class Store implements ObjectApi {
    final List<StoredObject> entries = new ArrayList<>();
    Consumer<WatchEvent> upstreamWatch = e -> {};
    CompletableFuture<Void> watchEnd = new CompletableFuture<>();
    CompletableFuture<Void> configurationWatchEnd = new CompletableFuture<>();
    long version = 1;

    StoredObject entry(int i) {
      return new StoredObject(
          new ObjectKey(UPSTREAMS, "i-%04d".formatted(i)),
          UPSTREAMS,
          new StoreVersion(1, ++version),
          JsonNodeFactory.instance.objectNode());
    }

    @Override
    public CompletableFuture<ObjectPage> list(ListQuery query) {
      List<StoredObject> items = query.collection().equals(UPSTREAMS) ? entries : List.of();
      return CompletableFuture.completedFuture(
          new ObjectPage(
              ImmutableList.copyOf(items), ImmutableList.of(), new StoreVersion(1, version), ""));
    }

    @Override
    public Watch watch(
        String collection, StoreVersion from, Duration timeout, Consumer<WatchEvent> listener) {
      CompletableFuture<Void> end = new CompletableFuture<>();
      if (collection.equals(UPSTREAMS)) {
        upstreamWatch = listener;
        watchEnd = end;
      } else {
        configurationWatchEnd = end;
      }
      return new Watch() {
        @Override
        public CompletableFuture<Void> ended() {
          return end;
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public CompletableFuture<StoredObject> get(ObjectKey key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<StoredObject> update(
        ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
      throw new UnsupportedOperationException();
    }
  }

  /** Counts the entries that are parsed. */
  static class Adapter implements RelayAdapter {
    int parseCount;

    @Override
    public ParseResult<RelayUpstream> upstream(StoredObject object) {
      parseCount++;
      return new ParseResult.Readable<>(
          new RelayUpstream(
              UpstreamIncarnation.unknown(new UpstreamName(object.key().name())),
              new ServiceName("model"),
              "127.0.0.1:80",
              new DataCentreName("dc-1"),
              1,
              Stage.WHOLE,
              false));
    }

    @Override
    public String configurationCollection() {
      return "configurations";
    }

    @Override
    public String upstreamCollection() {
      return UPSTREAMS;
    }

    @Override
    public Optional<ParseResult<RelayConfiguration>> configuration(
        ImmutableCollection<StoredObject> objects) {
      return Optional.empty();
    }

    @Override
    public RelayDialect dialect() {
      throw new UnsupportedOperationException();
    }

    @Override
    public ObjectApi store(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
      throw new UnsupportedOperationException();
    }
  }

  /** A feed with its store and its router. */
  public abstract static class Fixture {
    private Closer closer;
    private Store store;
    private Adapter adapter;
    private VirtualTime time;
    private RelayRouter router;
    private HttpWorker worker;

    /** Starts the feed with {@link #entries} entries. */
    @BeforeMethod
    public void start() {
      closer = new Closer();
      store = new Store();
      adapter = new Adapter();
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
      RelayFeed feed =
          closer.add(
              new RelayFeed(
                  adapter,
                  store,
                  time,
                  Duration.ofSeconds(15),
                  new SplittableRandom(1),
                  () -> 1,
                  () -> 0,
                  loop,
                  stages,
                  new RelayMeters(new SimpleMeterRegistry())));
      for (int i = 0; i < entries(); i++) {
        store.entries.add(store.entry(i));
      }
      feed.start();
      time.advance(Duration.ofMillis(10));
      assertEquals(adapter.parseCount, entries());
      adapter.parseCount = 0;
    }

    abstract int entries();

    /** Stops all parts. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
      closer.close();
    }

    /** Sends a watch response with changed entries. */
    void sendChanges(int from, int to) {
      for (int i = from; i < to; i++) {
        store.upstreamWatch.accept(new WatchEvent.Changed(store.entry(i)));
      }
      store.upstreamWatch.accept(new WatchEvent.Bookmark(new StoreVersion(1, store.version)));
      store.watchEnd.complete(null);
      time.advance(Duration.ofMillis(500));
    }

    int parseCount() {
      return adapter.parseCount;
    }

    void assertKnown(int upstreams) throws Exception {
      CompletableFuture<Integer> known = new CompletableFuture<>();
      worker.worker().getIoThread().execute(() -> known.complete(router.upstreamCount()));
      assertEquals(known.get(), Integer.valueOf(upstreams));
    }
  }

  /** Changes of some of many entries. */
  public static class InSteadyState extends Fixture {
    @Override
    int entries() {
      return ENTRIES;
    }

    @Test
    public void oneChangeCostsOneParse() throws Exception {
      sendChanges(500, 501);
      assertEquals(parseCount(), 1);
      assertKnown(ENTRIES);
    }

    @Test
    public void simultaneousChangesCostOneParseEach() throws Exception {
      sendChanges(100, 200);
      assertEquals(parseCount(), 100);
      assertKnown(ENTRIES);
    }
  }

  /** Entries that appear while nodes start. */
  public static class WhileTheyRegister extends Fixture {
    @Override
    int entries() {
      return 0;
    }

    @Test
    public void eachIsParsedOnce() throws Exception {
      for (int i = 0; i < ENTRIES; i += 50) {
        sendChanges(i, i + 50);
      }
      assertTrue(parseCount() <= ENTRIES, "read " + parseCount());
      assertKnown(ENTRIES);
    }
  }
}
