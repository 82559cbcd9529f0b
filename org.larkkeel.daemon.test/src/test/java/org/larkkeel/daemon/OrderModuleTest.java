/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.EngineStandin;
import org.larkkeel.standin.FencingMode;
import org.larkkeel.standin.PlatformSettings;
import org.larkkeel.standin.PlatformStandin;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.HttpObjectApi;
import org.larkkeel.store.HttpWeightStore;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.order.EngineReport;
import org.larkkeel.store.order.ModelVersion;
import org.larkkeel.store.order.Order;
import org.larkkeel.store.order.OrderLimits;
import org.larkkeel.store.order.OrderResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link OrderModule} against stand-in servers on the loopback address. */
public class OrderModuleTest {
  private static final OrderLimits SHORT_INTERVALS =
      new OrderLimits(Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofMillis(200), 2);

  private static final PlatformSettings FAST_PLATFORM =
      new PlatformSettings(
          PlatformSettings.DEFAULTS.bind(), 1_000, 10_000, 1_000_000L, 2_000_000_000L, 2);

  /** A stand-in platform and clients for it. */
  public abstract static class StandinFixture {
    Closer closer;
    ExecutorScheduler scheduler;
    HttpWorker worker;
    PlatformStandin platform;
    EngineClient engines;

    /** Starts the platform and the clients. */
    @BeforeMethod
    public void start() {
      closer = new Closer();
      scheduler = closer.add(new ExecutorScheduler("orders-test"));
      worker = closer.add(new HttpWorker(1));
      platform = closer.add(PlatformStandin.start(FAST_PLATFORM));
      engines =
          new EngineClient(
              closer.add(
                  new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime)));
    }

    /** Stops the platform and the clients. */
    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
      closer.close();
    }

    EngineStandin engine(FencingMode mode) {
      return closer.add(
          EngineStandin.start(
              EngineSettings.of("u", EngineRole.PREFILL, "old")
                  .withFencing(mode)
                  .withLoadMillis(1)));
    }

    HttpClientOptions options() {
      return HttpClientOptions.of(URI.create("http:/" + platform.address()));
    }
  }

  /** Orders to an engine and its answers. */
  public static class Protocol extends StandinFixture {

    /** Each fencing mode with the result of an order that has a stale fencing number. */
    @DataProvider
    public Object[][] fencingModes() {
      return new Object[][] {
        {FencingMode.CHECK, OrderResult.STALE_FENCING},
        {FencingMode.IGNORE, OrderResult.IN_FORCE},
      };
    }

    @Test(dataProvider = "fencingModes")
    public void staleFencingNumberIsRefusedOnlyByCheckingEngine(
        FencingMode mode, OrderResult expected) throws Exception {
      EngineOrders orders = new EngineOrders(engines);
      Upstream u = upstream(engine(mode));
      ModelVersion second = ModelVersion.parse("m@v2");
      assertEquals(send(orders, u, 7, new Order.LoadModel(second), true), OrderResult.IN_FORCE);
      EngineReport report = orders.read(u).get(30, TimeUnit.SECONDS);
      assertEquals(report.fencing(), new FencingNumber(7));
      assertEquals(report.shape().version(second.model()), second);
      assertEquals(send(orders, u, 6, new Order.SetRole(Role.DECODE), true), expected);
      Order unload = new Order.UnloadModel(second.model());
      assertEquals(send(orders, u, 8, unload, false), OrderResult.NOT_SENT);
      report = orders.read(u).get(30, TimeUnit.SECONDS);
      assertTrue(
          report.shape().models().contains(second.model()),
          "an order that was no longer allowed was sent");
    }

    private static OrderResult send(
        EngineOrders orders, Upstream u, long number, Order order, boolean allowed)
        throws Exception {
      return orders
          .order(u, new FencingNumber(number), order, () -> allowed, Duration.ofSeconds(10))
          .get(30, TimeUnit.SECONDS);
    }

    private static Upstream upstream(EngineStandin engine) {
      return new Upstream(
          new UpstreamName("u"),
          address(engine),
          Labels.of(Map.of()),
          ImmutableSet.of(new ModelName("m")),
          1,
          FencingSupport.CHECKED,
          1);
    }
  }

  /** The order controller brings an engine to the shape that its labels declare. */
  public static class Controller extends StandinFixture {

    /** Each fencing mode with its name in the configuration. */
    @DataProvider
    public Object[][] fencingModes() {
      return new Object[][] {
        {FencingMode.CHECK, "checked"}, {FencingMode.IGNORE, "ignored"},
      };
    }

    @Test(dataProvider = "fencingModes")
    public void engineReachesDeclaredShape(FencingMode mode, String fencing) throws Exception {
      EngineStandin engine = engine(mode);
      String text =
          """
          {"upstreams": {"u": {
            "address": "@u@", "models": ["m"], "fencing": "@f@",
            "labels": {"role": "decode", "version": "v2", "adapter": "fair"}}}}
          """
              .replace("@u@", address(engine))
              .replace("@f@", fencing);
      Configuration configuration =
          ConfigurationDocument.read("test", text).orThrow().withRevision(new Revision(1));
      SimpleMeterRegistry meters = new SimpleMeterRegistry();
      WriterId self = new WriterId(new HostName("entry-1"), new Incarnation(1));
      OrderModule module =
          closer.add(
              new OrderModule(
                  new OrderModule.Dependencies(
                      self,
                      closer.add(new HttpObjectApi(options(), worker.worker(), scheduler)),
                      scheduler,
                      engines,
                      closer.add(new HttpWeightStore(options(), worker.worker(), scheduler)),
                      () -> configuration,
                      () -> ImmutableSortedSet.of(self.host()),
                      meters),
                  SHORT_INTERVALS,
                  1));
      module.start();
      EngineOrders orders = new EngineOrders(engines);
      Upstream u = configuration.upstreams().get(new UpstreamName("u"));
      long deadline = System.nanoTime() + Duration.ofSeconds(60).toNanos();
      String shape = "";
      while (!shape.equals("DECODE [m] {m=v2} [fair]") && System.nanoTime() < deadline) {
        var current = orders.read(u).get(30, TimeUnit.SECONDS).shape();
        shape =
            current.role()
                + " "
                + current.models()
                + " "
                + current.versions()
                + " "
                + current.adapters();
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertEquals(shape, "DECODE [m] {m=v2} [fair]");
    }
  }

  /** The hosts that compete for the order controller's lease. */
  public static class Candidates {

    @Test
    public void threeOfManyHosts() {
      ImmutableSortedSet<HostName> live =
          IntStream.range(0, 330)
              .mapToObj(i -> new HostName("entry-" + i))
              .collect(ImmutableSortedSet.toImmutableSortedSet(HostName::compareTo));
      assertEquals(live.stream().filter(h -> OrderModule.isCandidate(live, h)).count(), 3);
    }
  }

  private static String address(EngineStandin engine) {
    return engine.address().getAddress().getHostAddress() + ":" + engine.address().getPort();
  }
}
