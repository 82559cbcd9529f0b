/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.daemon.settings.PlatformSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.router.RouterSettings;
import org.larkkeel.standin.AnswerOracle;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.EngineStandin;
import org.larkkeel.standin.PlatformStandin;
import org.larkkeel.standin.ServiceOracle;
import org.larkkeel.standin.ServiceSettings;
import org.larkkeel.standin.ServiceStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of {@link Daemon} against stand-in servers on the loopback address. */
public class DaemonTest {
  private static final String CONFIGURATION =
      """
      {
        "upstreams": {
          "p": {"address": "@p@", "labels": {"role": "prefill"}, "models": ["m"]},
          "d": {"address": "@d@", "labels": {"role": "decode"}, "models": ["m"]},
          "s": {"address": "@s@", "labels": {"role": "service"}},
        },
        "pools": {
          "prefill": {"role": "prefill", "upstreams": "role=prefill"},
          "decode": {"role": "decode", "upstreams": "role=decode"},
          "shop": {"role": "service", "upstreams": "role=service"},
        },
        "rules": {
          "model": {"match": {"model": "m"}, "pools": ""},
          "shop": {"match": {"pathPrefix": "/"}, "pools": ""},
        },
        "workspaces": {"w": {}},
      }
      """;

  /** A node with one engine of each role, a service and a platform. */
  private static final class TestNode implements AutoCloseable {
    final Closer closer = new Closer();
    final HttpClient http = closer.add(HttpClient.newHttpClient());
    final PlatformStandin platform =
        closer.add(PlatformStandin.start(org.larkkeel.standin.PlatformSettings.DEFAULTS));
    final EngineStandin prefill = engine("p", EngineRole.PREFILL);
    final EngineStandin decode = engine("d", EngineRole.DECODE);
    final ServiceStandin service = closer.add(ServiceStandin.start(ServiceSettings.DEFAULTS));
    final Daemon daemon = closer.add(Daemon.start(settings()));

    TestNode() throws IOException {}

    private EngineStandin engine(String name, EngineRole role) {
      return closer.add(EngineStandin.start(EngineSettings.of(name, role, "m")));
    }

    private Settings settings() {
      InetSocketAddress free = new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0);
      ListenerSettings listener = ListenerSettings.plain(free);
      return new Settings(
          new HostName("entry-1"),
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
              100,
              50),
          ImmutableList.of(),
          LimitSettings.DEFAULT,
          RouterSettings.defaults(),
          LogLevel.INFO);
    }

    void configure() {
      String text =
          CONFIGURATION
              .replace("@p@", text(prefill.address()))
              .replace("@d@", text(decode.address()))
              .replace("@s@", text(service.address()));
      daemon.accept(
          ConfigurationDocument.read("test", text).orThrow().withRevision(new Revision(1)));
    }

    private static String text(InetSocketAddress address) {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    HttpRequest.Builder request(String path) {
      return HttpRequest.newBuilder(URI.create("http:/" + daemon.callerAddress()).resolve(path))
          .header("X-Larkkeel-Workspace", "w")
          .timeout(Duration.ofSeconds(30));
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
      return http.send(request(path).GET().build(), BodyHandlers.ofString());
    }

    @Override
    public void close() throws Exception {
      closer.close();
    }
  }

  /** A node must be ready only with a configuration and must never go back to an older one. */
  public static class Start {
    @Test
    public void isReadyAndAnswersOnceConfigured() throws Exception {
      try (TestNode node = new TestNode()) {
        assertEquals(node.get("/readyz").statusCode(), 503);
        node.configure();
        assertEquals(node.get("/readyz").statusCode(), 200);
        assertEquals(node.get("/item?n=1").body(), ServiceOracle.lookup("/item?n=1"));
        assertTrue(node.get("/metrics").body().contains("larkkeel_requests_answered"));
      }
    }

    @Test
    public void olderConfigurationIsIgnored() throws Exception {
      try (TestNode node = new TestNode()) {
        node.configure();
        assertFalse(
            node.daemon.accept(
                org.larkkeel.config.Configuration.EMPTY.withRevision(new Revision(1))));
        assertEquals(node.get("/item").statusCode(), 200);
      }
    }
  }

  /** A drain must turn the node unready first and must not cut off a stream in progress. */
  public static class Stop {
    private TestNode node;

    /** Starts the node. */
    @BeforeClass
    public void start() throws IOException {
      node = new TestNode();
      node.configure();
    }

    /** Closes the node and the stand-ins. */
    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
      node.close();
    }

    @Test
    public void drainWaitsForOpenStream() throws Exception {
      HttpRequest request =
          node.request("/v1/completions")
              .POST(
                  BodyPublishers.ofString(
                      "{\"model\":\"m\",\"prompt\":\"hola\",\"max_tokens\":40,\"stream\":true}"))
              .build();
      HttpResponse<java.io.InputStream> response =
          node.http.send(request, BodyHandlers.ofInputStream());
      try (BufferedReader lines =
          new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
        String first = lines.readLine();
        CompletableFuture<Void> drained = node.daemon.drain();
        assertEquals(node.get("/readyz").statusCode(), 503, "unready comes first");
        assertFalse(drained.isDone(), "the drain did not wait for the stream");
        StringBuilder rest = new StringBuilder(first);
        lines.lines().forEach(rest::append);
        assertEquals(count(rest.toString(), "\"token_index\""), tokens());
        assertTrue(rest.toString().endsWith("data: [DONE]"), rest.toString());
        drained.get(20, TimeUnit.SECONDS);
      }
    }

    private static int tokens() {
      return AnswerOracle.tokens("hola", 40);
    }

    private static int count(String text, String part) {
      return (text.length() - text.replace(part, "").length()) / part.length();
    }
  }
}
