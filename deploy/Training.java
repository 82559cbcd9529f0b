/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The training run of the build: starts nodes against small stand-ins of the store and of upstreams
 * and sends them calls of all kinds, so that the archive of classes holds what a node uses to serve,
 * not only to start. What is missing there a restarted node loads and verifies from jars before it
 * can answer: 677 classes, measured with {@code -Xlog:class+load}, by a run without calls.
 *
 * <p>Usage: {@code java Training.java SETTINGS FOLDER COMMAND...}, where SETTINGS are those of a
 * node, FOLDER is where changed copies go, and COMMAND starts a node. Only the first node gets the
 * option of COMMAND that writes the list of classes. Only for the build; stands alone on the JDK.
 */
public final class Training {
  private static final Duration READY = Duration.ofSeconds(20);
  private static final Duration END = Duration.ofSeconds(60);
  private static final int ROUNDS = 8;
  private static final long BORN = 1_700_000_000_000L;
  private static final String LIST_OPTION = "-XX:DumpLoadedClassList";
  private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]+)\"");
  private static final Pattern WATCH = Pattern.compile("watch=(\\d+)&wait_ms=(\\d+)");
  private static final int LONGEST_WATCH_MILLIS = 300;

  private final TreeMap<String, TreeMap<String, String>> objects = new TreeMap<>();
  private final TreeMap<Long, Event> events = new TreeMap<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private long revision = 100;
  private int lastCall;
  private String resumes = "";

  private record Event(String kind, String object, boolean gone) {}

  private record Node(Process process, int caller, int readiness) {}

  public static void main(String[] args) {
    List<String> command = List.of(args).subList(2, args.length);
    try {
      new Training().run(Files.readString(Path.of(args[0])), Path.of(args[1]), command);
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(1);
    }
    // The threads of the stand-ins would go on.
    System.exit(0);
  }

  private void run(String settings, Path folder, List<String> command) throws Exception {
    HttpServer server = HttpServer.create(loopback(0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::answer);
    server.start();
    String address = "127.0.0.1:" + server.getAddress().getPort();
    put("config", "main", configuration(1));
    // More engines decode than the settings want, so that a node also orders one to prefill.
    for (String stage :
        List.of("prefill", "decode", "decode", "", "", "decode", "decode", "decode")) {
      put("servers", "i-" + revision, upstream(address, stage, "ready"));
    }
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      nodes.add(start(settings.replace("127.0.0.1:9", address), folder, command, i));
    }
    try {
      for (Node node : nodes) {
        await(node);
      }
      for (int i = 0; i < ROUNDS; i++) {
        round(nodes, i);
      }
      put("config", "main", configuration(2));
      put("servers", "i-101", upstream(address, "prefill", "draining"));
      remove("servers", "i-104");
      round(nodes, ROUNDS);
    } finally {
      nodes.forEach(n -> n.process().destroy());
      for (Node node : nodes) {
        node.process().waitFor(END.toSeconds(), TimeUnit.SECONDS);
        node.process().destroyForcibly();
      }
    }
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(loopback(0));
      return socket.getLocalPort();
    }
  }

  private static Node start(String settings, Path folder, List<String> command, int index)
      throws IOException {
    int caller = freePort();
    int readiness = freePort();
    Path file = folder.resolve("training-" + index + ".json");
    Files.writeString(
        file,
        settings
            .replace("\"caller\": \"127.0.0.1:0\"", "\"caller\": \"127.0.0.1:" + caller + "\"")
            .replace("\"readiness\": \"127.0.0.1:0\"", "\"readiness\": \"127.0.0.1:" + readiness + "\"")
            .replace("\"host\": \"training\"", "\"host\": \"training-" + index + "\""));
    List<String> words =
        command.stream().filter(w -> index == 0 || !w.startsWith(LIST_OPTION)).toList();
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("LARKKEEL_SETTINGS", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("training-" + index + ".log").toFile());
    return new Node(builder.start(), caller, readiness);
  }

  private void await(Node node) throws Exception {
    long end = System.nanoTime() + READY.toNanos();
    while (System.nanoTime() < end) {
      try {
        URI ready = URI.create("http://127.0.0.1:" + node.readiness() + "/larkkeel/ready");
        HttpRequest request = HttpRequest.newBuilder(ready).build();
        if (client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("a node was not ready in time");
  }

  // The callers.

  private void round(List<Node> nodes, int index) throws Exception {
    for (Node node : nodes) {
      call(node, "GET", "/safe/a", "", 0);
      call(node, "POST", "/once/a", "", 0);
      call(node, "GET", index % 2 == 0 ? "/safe/fails" : "/safe/declined", "", 0);
      call(node, "GET", "/none", "", 0);
      call(node, "POST", "/stream/a", "3000,200", 0);
      call(node, "POST", "/stream/b", "100,200", 0);
      call(node, "POST", "/resume/a", "3000,200", 0);
      call(node, "POST", "/resume/b", "3000,200", 2);
      // The stream began at the other node, or the one before at this node.
      takeUp(node, nodes.get((nodes.indexOf(node) + index) % nodes.size()));
      call(node, "POST", index % 2 == 0 ? "/resume/breaks" : "/stream/declined", "3000,200", 0);
      leave(node);
    }
    Thread.sleep(100);
  }

  /** A stream that is begun at one node, and taken up at another one. */
  private void takeUp(Node node, Node first) throws Exception {
    call(first, "POST", "/resume/c", "3000,200", 0);
    resumes = "training-" + lastCall;
    call(node, "POST", "/resume/c", "3000,200", 2);
    resumes = "";
  }

  private void call(Node node, String method, String path, String tokens, int lastEvent)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.caller() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .timeout(Duration.ofSeconds(5))
            .method(method, HttpRequest.BodyPublishers.ofString(method.equals("GET") ? "" : "body"))
            .header("X-Request-Id", "training-" + ++lastCall)
            .header("X-Deadline-Ms", "4000");
    if (!tokens.isEmpty()) {
      request.header("X-Token-Usage", tokens);
      request.header("X-Prefix-Hash", "ab:100,c" + lastCall + ":2900");
    }
    if (lastEvent > 0) {
      request.header("Last-Event-Id", Integer.toString(lastEvent));
    }
    if (!resumes.isEmpty()) {
      request.header("Resumes", resumes);
    }
    try {
      client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      // Some are to fail.
    }
  }

  /** A caller that leaves before its answer. */
  private void leave(Node node) throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.caller())) {
      String request =
          "POST /stream/a HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nX-Request-Id: leaves-%d\r\n"
              + "X-Token-Usage: 3000,200\r\nContent-Length: 0\r\n\r\n";
      socket
          .getOutputStream()
          .write(request.formatted(node.caller(), ++lastCall).getBytes(StandardCharsets.UTF_8));
      Thread.sleep(30);
    }
  }

  // The store and the upstreams.

  private void answer(HttpExchange call) {
    try (call) {
      String path = call.getRequestURI().toString();
      if (path.startsWith("/larkkeel/objects/")) {
        store(call, path.substring("/larkkeel/objects/".length()));
      } else {
        upstream(call, path);
      }
    } catch (IOException | InterruptedException e) {
      // The node has left.
    }
  }

  private synchronized void store(HttpExchange call, String path)
      throws IOException, InterruptedException {
    String[] parts = path.split("[/?]");
    String kind = parts[0];
    String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Matcher watch = WATCH.matcher(path);
    switch (call.getRequestMethod()) {
      case "POST" -> {
        Matcher name = NAME.matcher(body);
        name.find();
        put(kind, name.group(1), spec(body));
        reply(call, 200, "", objects.get(kind).get(name.group(1)));
      }
      case "PUT" -> {
        put(kind, parts[1], spec(body));
        reply(call, 200, "", objects.get(kind).get(parts[1]));
      }
      case "DELETE" -> {
        remove(kind, parts[1]);
        reply(call, 200, "", "{}");
      }
      default -> {
        if (watch.find()) {
          watch(call, kind, Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)));
        } else if (path.indexOf('/') > 0) {
          String found = all(kind).get(parts[1]);
          reply(call, found == null ? 404 : 200, "", found == null ? "{}" : found);
        } else {
          String items = String.join(",", all(kind).values());
          String page = "{\"items\":[%s],\"more_pages\":false,\"as_of\":%d}";
          reply(call, 200, "", page.formatted(items, revision));
        }
      }
    }
  }

  private TreeMap<String, String> all(String kind) {
    return objects.computeIfAbsent(kind, k -> new TreeMap<>());
  }

  private static String spec(String body) {
    return body.substring(body.indexOf("\"spec\":") + "\"spec\":".length(), body.length() - 1);
  }

  private synchronized void put(String kind, String name, String spec) {
    revision++;
    String object =
        "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":%s}"
            .formatted(name, revision, spec);
    all(kind).put(name, object);
    events.put(revision, new Event(kind, object, false));
    notifyAll();
  }

  private synchronized void remove(String kind, String name) {
    String object = all(kind).remove(name);
    revision++;
    if (object != null) {
      events.put(revision, new Event(kind, object, true));
    }
    notifyAll();
  }

  private void watch(HttpExchange call, String kind, long from, long waitMillis)
      throws IOException, InterruptedException {
    if (events.tailMap(from, false).isEmpty()) {
      wait(Math.min(LONGEST_WATCH_MILLIS, waitMillis));
    }
    List<String> list =
        events.tailMap(from, false).values().stream()
            .filter(e -> e.kind().equals(kind))
            .map(e -> "{\"object\":%s,\"tombstone\":%b}".formatted(e.object(), e.gone()))
            .toList();
    String answer = "{\"events\":[%s],\"as_of\":%d}";
    reply(call, 200, "", answer.formatted(String.join(",", list), revision));
  }

  private void upstream(HttpExchange call, String path) throws IOException, InterruptedException {
    call.getRequestBody().readAllBytes();
    if (path.equals("/larkkeel/report")) {
      reply(call, 200, "", "{\"born\":" + BORN + "}");
      return;
    }
    String id = call.getRequestHeaders().getFirst("X-Request-Id");
    if (path.endsWith("declined")) {
      call.getResponseHeaders().set("X-Not-Run", "1");
      reply(call, 503, id, "");
    } else if ("prefill".equals(call.getRequestHeaders().getFirst("X-Serving-Stage"))) {
      reply(call, 200, id, "{\"prefill_handle\":\"h-" + id + "\",\"tokens\":3000,\"version\":1}");
    } else if (path.startsWith("/stream/") || path.startsWith("/resume/")) {
      stream(call, id, path.endsWith("breaks"));
    } else {
      reply(call, path.endsWith("fails") ? 500 : 200, id, "answer");
    }
  }

  private static void stream(HttpExchange call, String id, boolean breaks)
      throws IOException, InterruptedException {
    stamp(call, id);
    call.getResponseHeaders().set("Content-Type", "text/event-stream");
    call.sendResponseHeaders(200, 0);
    OutputStream out = call.getResponseBody();
    for (int i = 3; i < 8; i++) {
      out.write("id: %d\ndata: piece\n\n".formatted(i).getBytes(StandardCharsets.UTF_8));
      out.flush();
      Thread.sleep(10);
      if (breaks) {
        throw new IOException("broken off");
      }
    }
  }

  private static void stamp(HttpExchange call, String id) {
    if (id != null && !id.isEmpty()) {
      call.getResponseHeaders().set("X-Request-Id", id);
      call.getResponseHeaders().set("X-Server-Stamp", "s-" + id);
    }
  }

  private static void reply(HttpExchange call, int status, String id, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    stamp(call, id);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    call.getResponseBody().write(bytes);
  }

  private static String configuration(int version) {
    String routes =
        String.join(
            ",",
            route("safe", "safe", "app", false),
            route("once", "unsafe", "app", false),
            route("stream", "streaming", "model", false),
            route("resume", "streaming", "model", true));
    String services =
        """
        {"name":"app","max_connections":100},
        {"name":"model","max_connections":100,
         "engine":{"kv_tokens":90000,"stride":1,"moves":true}}
        """;
    return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_body_bytes\":1000000}}"
        .formatted(version, routes, services);
  }

  private static String route(String name, String kind, String service, boolean resume) {
    return """
    {"name":"r-%s","host":"127.0.0.1","path_prefix":"/%s/","kind":"%s","service":"%s","timeout_ms":4000,
     "target_latency_ms":900,"max_attempts":%d,"allow_resume":%b,"gap_aim_ms":300,"priority":1}
    """
        .formatted(name, name, kind, service, kind.equals("unsafe") ? 1 : 2, resume);
  }

  private String upstream(String address, String stage, String state) {
    return """
    {"service":"%s","address":"%s","zone":"training","slots":8,"state":"%s","stage":"%s","born":%d,\
    "version":"build-%d"}
    """
        .formatted(
            stage.isEmpty() ? "app" : "model", address, state, stage, BORN, revision % 2);
  }
}
