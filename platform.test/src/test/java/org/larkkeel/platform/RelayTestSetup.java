/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.larkkeel.config.Checked;
import org.larkkeel.daemon.relay.RelayNode;
import org.larkkeel.daemon.relay.RelayNodeSettings;
import org.larkkeel.daemon.relay.RelaySettingsReader;
import org.larkkeel.http.Json;
import org.larkkeel.lib.Closer;

/** A relay node, a store and runners on 127.0.0.1, for one test. */
final class RelayTestSetup implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The start time of runners, in Unix milliseconds. */
  static final long START_MILLIS = 1_700_000_000_000L;

  final StoreStandin store;
  RelayNode node;
  private final Closer closer = new Closer();
  private final Map<String, RawServer> runnersById = new HashMap<>();
  private final Map<String, Long> reportedStarts = new ConcurrentHashMap<>();
  private int runnerCount;

  RelayTestSetup() {
    this(5);
  }

  /** Creates the setup with the time in which a draining node must finish its work, in seconds. */
  RelayTestSetup(int graceSeconds) {
    store = closer.add(new StoreStandin());
    node = closer.add(RelayNode.start(settings(graceSeconds), new PlatformAdapter()));
  }

  /** Closes the node, and starts another in its place. */
  void restartNode() throws Exception {
    node.close();
    node = closer.add(RelayNode.start(settings(5), new PlatformAdapter()));
    await(node::isReady);
  }

  private RelayNodeSettings settings(int graceSeconds) {
    String text =
        """
        {
          "host": "node-1", "dataCentre": "dc-1",
          "listeners": {"caller": "127.0.0.1:0", "readiness": "127.0.0.1:0",
            "metrics": "127.0.0.1:0", "peer": "127.0.0.1:0"},
          "store": {"address": "%s", "timeoutMillis": 2000, "watchMillis": 1000},
          "repeats": {"slack": "2000"},
          "stop": {"leaveMillis": 0, "graceSeconds": "%d"},
        }
        """
            .formatted(store.address(), graceSeconds);
    return switch (RelaySettingsReader.read("test", text)) {
      case Checked.Valid<RelayNodeSettings> valid -> valid.value();
      case Checked.Invalid<RelayNodeSettings> invalid ->
          throw new IllegalStateException(invalid.problems().toString());
    };
  }

  /** Writes a configuration with a rule of each kind and waits until it is in force. */
  RelayTestSetup configured() {
    configure(1);
    await(node::isReady);
    return this;
  }

  /** Writes a configuration with a rule of each kind, and additional rules of the plain service. */
  void configure(long version, String... additional) {
    ObjectNode config = Json.object();
    config.put("version", version);
    var routes = config.putArray("routes");
    route(routes.addObject(), "safe", "safe", "app", false);
    route(routes.addObject(), "once", "unsafe", "app", false);
    route(routes.addObject(), "stream", "streaming", "model", false);
    route(routes.addObject(), "resume", "streaming", "model", true);
    for (String name : additional) {
      route(routes.addObject(), name, "safe", "app", false);
    }
    var services = config.putArray("services");
    services.addObject().put("name", "app").put("max_connections", 100);
    services
        .addObject()
        .put("name", "model")
        .put("max_connections", 100)
        .putObject("engine")
        .put("kv_tokens", 90_000)
        .put("stride", 1)
        .put("moves", true);
    store.put("config", "main", config);
  }

  private static void route(
      ObjectNode r, String name, String kind, String service, boolean resume) {
    r.put("name", "r-" + name).put("host", "a.example").put("path_prefix", "/" + name + "/");
    r.put("kind", kind).put("timeout_ms", 4_000).put("target_latency_ms", 900);
    r.put("service", service).put("max_attempts", kind.equals("unsafe") ? 1 : 2);
    r.put("allow_resume", resume).put("gap_aim_ms", 300).put("priority", 1);
  }

  /** Starts a runner, and waits until the node knows it. */
  RawServer runner(String id, String service, String stage, RawServer.Script script) {
    RawServer runner =
        closer.add(
            new RawServer(
                (r, out, socket) -> {
                  if (r.target().equals(PlatformNames.REPORT)) {
                    writeReport(id, out);
                  } else {
                    script.answer(r, out, socket);
                  }
                }));
    runnersById.put(id, runner);
    register(id, service, stage, runner.address(), "ready");
    runnerCount++;
    await(() -> node.upstreams() == runnerCount);
    return runner;
  }

  private void writeReport(String id, OutputStream out) throws IOException {
    String body = "{\"born\":" + reportedStarts.getOrDefault(id, START_MILLIS) + "}";
    RawServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Sets the start time that a runner reports, without changing its entry. */
  void setReportedStart(String id, long startMillis) {
    reportedStarts.put(id, startMillis);
  }

  /** Writes the entry of a runner that announces that it will leave. */
  void announceLeaving(String id, String service, String stage, RawServer runner) {
    register(id, service, stage, runner.address(), "draining");
  }

  /** Writes the entry of a ready runner again, with another start time and sequence number. */
  void rewriteEntry(String id, String service, String stage, long startMillis, int sequence) {
    setReportedStart(id, startMillis);
    ObjectNode entry = entry(service, stage, runnersById.get(id).address(), "ready");
    store.put("servers", id, entry.put("born", startMillis).put("sequence", sequence));
  }

  /** Writes the entry of a plain runner again, with another state. */
  void setState(String id, String service, String state) {
    register(id, service, "", runnersById.get(id).address(), state);
  }

  private void register(String id, String service, String stage, String address, String state) {
    store.put("servers", id, entry(service, stage, address, state));
  }

  private static ObjectNode entry(String service, String stage, String address, String state) {
    ObjectNode entry = Json.object();
    entry.put("service", service).put("address", address).put("zone", "dc-1");
    entry.put("slots", 6).put("state", state).put("stage", stage).put("born", START_MILLIS);
    return entry;
  }

  InetSocketAddress address() {
    return node.callerAddress();
  }

  /** Returns the address of the operators' listener. */
  InetSocketAddress metricsAddress() {
    return node.metricsAddress();
  }

  /**
   * Sends a request to the node over a plain socket, and returns the head and body of the answer.
   */
  String exchange(String method, String path, String headers, String body) throws IOException {
    return RawClient.exchange(address(), method, path, headers, body);
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition was not met in time");
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
