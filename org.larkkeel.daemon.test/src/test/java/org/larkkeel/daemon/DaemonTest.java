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

/** Tests of {@link Daemon} with stand-ins on the loopback address. */
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

  /** One node with one engine of each role, a service and a platform. */
  private static final class Rig implements AutoCloseable {
    final Closer closer = new Closer();
    final HttpClient http = closer.add(HttpClient.newHttpClient());
    final PlatformStandin platform =
        closer.add(PlatformStandin.start(org.larkkeel.standin.PlatformSettings.DEFAULTS));
    final EngineStandin prefill = engine("p", EngineRole.PREFILL);
    final EngineStandin decode = engine("d", EngineRole.DECODE);
    final ServiceStandin service = closer.add(ServiceStandin.start(ServiceSettings.DEFAULTS));
    final Daemon daemon = closer.add(Daemon.start(settings()));

    Rig() throws IOException {}

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

  /** A node before and after its first configuration. */
  public static class Start {
    @Test
    public void becomesReadyWithItsConfigurationAndAnswers() throws Exception {
      try (Rig rig = new Rig()) {
        assertEquals(rig.get("/readyz").statusCode(), 503);
        rig.configure();
        assertEquals(rig.get("/readyz").statusCode(), 200);
        assertEquals(rig.get("/item?n=1").body(), ServiceOracle.lookup("/item?n=1"));
        assertTrue(rig.get("/metrics").body().contains("larkkeel_requests_answered"));
      }
    }

    @Test
    public void olderConfigurationIsIgnored() throws Exception {
      try (Rig rig = new Rig()) {
        rig.configure();
        assertFalse(
            rig.daemon.accept(
                org.larkkeel.config.Configuration.EMPTY.withRevision(new Revision(1))));
        assertEquals(rig.get("/item").statusCode(), 200);
      }
    }
  }

  /** A graceful stop. */
  public static class Stop {
    private Rig rig;

    /** Starts the node. */
    @BeforeClass
    public void start() throws IOException {
      rig = new Rig();
      rig.configure();
    }

    /** Closes whatever the test left open. */
    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
      rig.close();
    }

    @Test
    public void drainCutsNoStream() throws Exception {
      HttpRequest request =
          rig.request("/v1/completions")
              .POST(
                  BodyPublishers.ofString(
                      "{\"model\":\"m\",\"prompt\":\"hola\",\"max_tokens\":40,\"stream\":true}"))
              .build();
      HttpResponse<java.io.InputStream> response =
          rig.http.send(request, BodyHandlers.ofInputStream());
      try (BufferedReader lines =
          new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
        String first = lines.readLine();
        CompletableFuture<Void> drained = rig.daemon.drain();
        assertEquals(rig.get("/readyz").statusCode(), 503, "unready comes first");
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
