/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases of this review share: stand-ins of the platform's store and of runners, the nodes
 * as separate processes, and a plain HTTP/1.1 client. Stands alone on the JDK.
 */
final class Rig implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  final long startedNanos = System.nanoTime();
  final PrintStream record;
  final Path folder;
  final Store store;
  final List<Node> nodes = new ArrayList<>();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();

  Rig(Path recordFile) throws IOException {
    record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
    folder = Files.createTempDirectory("larkkeel-review");
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Writes a line with the time since the start in milliseconds. */
  void log(String line) {
    record.printf(Locale.ROOT, "%7d %s%n", (System.nanoTime() - startedNanos) / 1_000_000, line);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  // HTTP.

  /** A message: the first line, the headers with lower-case names, and the body. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      String[] words = first.split(" ");
      return words.length > 1 ? Integer.parseInt(words[1]) : 0;
    }

    String method() {
      return first.substring(0, first.indexOf(' '));
    }

    String target() {
      return first.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; null if the connection ends before it. */
  static Message readHead(InputStream in) throws IOException {
    Message m = new Message();
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    m.first = first;
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      m.headers.merge(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip(),
          (a, b) -> a + ", " + b);
      line = readLine(in);
    }
    return line == null ? null : m;
  }

  /** Reads the body that the head announces; throws if it ends early. */
  static void readBody(InputStream in, Message m, boolean untilClose) throws IOException {
    if (m.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new IOException("the chunks end early");
        }
        int n = Integer.parseInt(size.split(";")[0].strip(), 16);
        byte[] part = in.readNBytes(n);
        if (part.length < n) {
          throw new IOException("a chunk ends early");
        }
        all.writeBytes(part);
        readLine(in);
        if (n == 0) {
          m.body = all.toByteArray();
          return;
        }
      }
    }
    if (m.headers.containsKey("content-length")) {
      int n = Integer.parseInt(m.header("content-length"));
      m.body = in.readNBytes(n);
      if (m.body.length < n) {
        throw new IOException("the body ends early");
      }
    } else if (untilClose) {
      m.body = in.readAllBytes();
    }
  }

  /** Sends one request on a new connection and returns the answer. */
  static Message call(int port, String head, byte[] body, int timeoutMillis) throws IOException {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
      s.setSoTimeout(timeoutMillis);
      s.setTcpNoDelay(true);
      OutputStream out = s.getOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      InputStream in = new BufferedInputStream(s.getInputStream());
      Message answer = readHead(in);
      if (answer == null) {
        throw new IOException("closed without an answer");
      }
      readBody(in, answer, answer.status() != 204 && answer.status() != 304);
      return answer;
    }
  }

  // Servers.

  interface Handler {
    /** Answers a request; returns whether the connection is kept. */
    boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
  }

  /** Starts a server that reads requests and gives each to the handler. */
  int serve(Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    servers.add(server);
    Thread.ofVirtual().start(() -> accept(server, handler));
    return server.getLocalPort();
  }

  private void accept(ServerSocket server, Handler handler) {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        sockets.add(s);
        Thread.ofVirtual().start(() -> converse(s, handler));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void converse(Socket s, Handler handler) {
    try (s) {
      s.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      boolean kept = true;
      while (kept) {
        Message m = readHead(in);
        if (m == null) {
          return;
        }
        readBody(in, m, false);
        kept = handler.handle(m, out, s);
      }
    } catch (Exception e) {
      // The peer has left.
    }
  }

  static byte[] answer(int status, String headers, byte[] body) {
    String head =
        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = Arrays.copyOf(h, h.length + body.length);
    System.arraycopy(body, 0, all, h.length, body.length);
    return all;
  }

  static void reply(OutputStream out, int status, String headers, String body) throws IOException {
    out.write(answer(status, headers, body.getBytes(StandardCharsets.UTF_8)));
    out.flush();
  }

  /** The headers of a runner's own answer. */
  static String stamp(Message request) {
    String id = request.header("X-Request-Id");
    return "X-Request-Id: " + id + "\r\nX-Server-Stamp: s-" + id + "\r\n";
  }

  // The platform's store.

  /** The platform's store, with the calls of its page that larkkeel makes. */
  final class Store {
    final int port;
    private final Map<String, TreeMap<String, String>> objects = new TreeMap<>();
    private final Map<String, TreeMap<String, Long>> revisions = new TreeMap<>();
    private final TreeMap<Long, String[]> events = new TreeMap<>();
    private long revision = 100;
    volatile boolean down;

    Store() throws IOException {
      port = serve(this::handle);
    }

    synchronized void put(String kind, String name, String spec) {
      revision++;
      String o =
          "{\"metadata\":{\"name\":\"%s\",\"revision\":%d,\"create_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}"
              .formatted(name, revision, spec);
      objects.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, o);
      revisions.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, revision);
      events.put(revision, new String[] {kind, "{\"object\":" + o + ",\"tombstone\":false}"});
      notifyAll();
    }

    synchronized void remove(String kind, String name) {
      String o = objects.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
      if (o == null) {
        return;
      }
      revision++;
      revisions.get(kind).remove(name);
      events.put(revision, new String[] {kind, "{\"object\":" + o + ",\"tombstone\":true}"});
      notifyAll();
    }

    private synchronized boolean handle(Message m, OutputStream out, Socket s) throws Exception {
      if (down) {
        return false;
      }
      String path = m.target().substring("/larkkeel/objects/".length());
      String[] parts = path.split("[/?&]");
      String kind = parts[0];
      TreeMap<String, String> all = objects.computeIfAbsent(kind, k -> new TreeMap<>());
      TreeMap<String, Long> revs = revisions.computeIfAbsent(kind, k -> new TreeMap<>());
      String json = "Content-Type: application/json\r\n";
      switch (m.method()) {
        case "GET" -> {
          if (path.contains("watch=")) {
            long from = Long.parseLong(path.replaceAll(".*watch=(\\d+).*", "$1"));
            long end =
                System.nanoTime()
                    + Long.parseLong(path.replaceAll(".*wait_ms=(\\d+).*", "$1")) * 1_000_000;
            while (eventsAfter(from, kind).isEmpty() && System.nanoTime() < end && !down) {
              wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (down) {
              return false;
            }
            reply(
                out,
                200,
                json,
                "{\"events\":[%s],\"as_of\":%d}"
                    .formatted(String.join(",", eventsAfter(from, kind)), revision));
          } else if (path.contains("/")) {
            String o = all.get(parts[1]);
            reply(out, o == null ? 404 : 200, json, o == null ? "{}" : o);
          } else {
            reply(
                out,
                200,
                json,
                "{\"items\":[%s],\"more_pages\":false,\"as_of\":%d}"
                    .formatted(String.join(",", all.values()), revision));
          }
        }
        case "POST" -> {
          String name = m.text().replaceAll("(?s).*?\"name\":\"([^\"]*)\".*", "$1");
          boolean exists = all.containsKey(name);
          if (!exists) {
            put(kind, name, spec(m.text()));
          }
          reply(out, exists ? 409 : 200, json, all.get(name));
        }
        case "PUT", "DELETE" -> {
          String name = parts[1];
          String held =
              m.method().equals("PUT")
                  ? m.text().replaceAll("(?s)^.*?\"metadata\":\\{([^}]*)\\}.*", "$1")
                  : path;
          String wanted =
              held.contains("revision") ? held.replaceAll("(?s).*revision\\D+(\\d+).*", "$1") : "";
          if (!all.containsKey(name)) {
            reply(out, 404, json, "{}");
          } else if (!wanted.isEmpty() && Long.parseLong(wanted) != revs.get(name)) {
            reply(out, 409, json, all.get(name));
          } else if (m.method().equals("PUT")) {
            put(kind, name, spec(m.text()));
            reply(out, 200, json, all.get(name));
          } else {
            remove(kind, name);
            reply(out, 200, json, "{}");
          }
        }
        default -> reply(out, 400, json, "{}");
      }
      return true;
    }

    private List<String> eventsAfter(long from, String kind) {
      return events.tailMap(from, false).values().stream()
          .filter(e -> e[0].equals(kind))
          .map(e -> e[1])
          .toList();
    }

    private static String spec(String body) {
      return body.substring(body.indexOf("\"spec\":") + 7, body.length() - 1);
    }
  }

  // The nodes.

  /** A node as a separate process. */
  static final class Node {
    final String name;
    final Path settings;
    final Path log;
    final int front;
    final int ready;
    final int metrics;
    Process process;

    Node(String name, Path settings, Path log, int front, int ready, int metrics) {
      this.name = name;
      this.settings = settings;
      this.log = log;
      this.front = front;
      this.ready = ready;
      this.metrics = metrics;
    }
  }

  /**
   * Starts a node with the command of the deploy file, from the repository's root.
   *
   * <p>The settings are those that deploy/settings.json gives for a small deployment.
   */
  Node start(String name, String ip, int peerPort, String seeds) throws IOException {
    int front = freePort();
    int ready = freePort();
    int metrics = freePort();
    String template = Files.readString(Path.of("deploy/settings.json"));
    Map<String, String> values = new TreeMap<>();
    values.put("node", name);
    values.put("zone", "zone-1");
    values.put("listen.front", ip + ":" + front);
    values.put("listen.ready", ip + ":" + ready);
    values.put("ip", ip);
    values.put("port_range.0", Integer.toString(metrics));
    values.put("port_range.1", Integer.toString(peerPort));
    values.put("seeds", seeds);
    values.put("platform.address", "127.0.0.1:" + store.port);
    values.put("bounds.retry_budget_ratio", "0.2");
    values.put("bounds.budget_slack", "56");
    values.put("bounds.budget_window_s", "10");
    values.put("bounds.grace_s", "8");
    String text =
        template.replaceAll(
            "(?s)\\{\\{#bounds.quota_window_s}}.*?\\{\\{/bounds.quota_window_s}}", "");
    for (Map.Entry<String, String> v : values.entrySet()) {
      text = text.replace("{{" + v.getKey() + "}}", v.getValue());
    }
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, text);
    Node node = new Node(name, settings, folder.resolve(name + ".log"), front, ready, metrics);
    nodes.add(node);
    launch(node);
    return node;
  }

  void launch(Node node) throws IOException {
    String run =
        Files.readString(Path.of("deploy/system.toml"))
            .lines()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"(.*)\"$", "$1");
    ProcessBuilder b = new ProcessBuilder(run.split(" "));
    b.environment().put("LARKKEEL_SETTINGS", node.settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
    node.process = b.start();
    log("start node=" + node.name + " pid=" + node.process.pid());
  }

  static boolean isReady(Node node) {
    try {
      return call(node.ready, "GET /larkkeel/ready HTTP/1.1\r\nHost: n\r\n\r\n", new byte[0], 1_000)
              .status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until a node is ready; exits with 2 if that takes too long. */
  void awaitReady(Node node) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
    while (!isReady(node)) {
      if (System.nanoTime() > end || !node.process.isAlive()) {
        log("node " + node.name + " is not ready");
        exit(NOT_RUN);
      }
      pause(50);
    }
    log("ready node=" + node.name);
  }

  void endProcesses() {
    for (Node n : nodes) {
      if (n.process != null) {
        n.process.destroyForcibly();
      }
    }
    for (Node n : nodes) {
      try {
        n.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  void exit(int status) {
    close();
    System.exit(status);
  }

  @Override
  public void close() {
    endProcesses();
    record.flush();
    deleteFolder();
    for (ServerSocket s : servers) {
      try {
        s.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }

  private void deleteFolder() {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      // It stays in the folder for temporary files.
    }
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static String route(String name, String kind, String service, int timeout, int attempts) {
    return """
    {"name":"r-%s","host":"members.example","path_prefix":"/%s/","kind":"%s","service":"%s",\
    "timeout_ms":%d,"target_latency_ms":900,"max_attempts":%d,"priority":1,\
    "allow_resume":%b,"gap_aim_ms":300}"""
        .formatted(name, name, kind, service, timeout, attempts, kind.equals("streaming") && attempts > 1);
  }

  static String configuration(int version, String routes, String services) {
    return """
    {"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,\
    "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
        .formatted(version, routes, services);
  }

  static String entry(String service, int port, String stage, String state) {
    return """
    {"service":"%s","address":"127.0.0.1:%d","zone":"zone-1","version":"v1","slots":64,\
    "state":"%s","cold_left_ms":0,"stage":"%s","sequence":1}"""
        .formatted(service, port, state, stage);
  }
}
