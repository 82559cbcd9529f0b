/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins and helpers that the review's scripts share. */
final class Kit {
  private Kit() {}

  static final long START = System.nanoTime();

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  /** Returns the first three numbers of loopback addresses that no other run uses. */
  static String net() {
    long pid = ProcessHandle.current().pid();
    return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250);
  }

  static void delete(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path f : files.toList()) {
        Files.delete(f);
      }
    }
    Files.delete(folder);
  }

  // Record.

  /** The record of a run: what was sent, answered and run. */
  static final class Record implements AutoCloseable {
    private final PrintWriter out;

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... args) {
      out.printf("%8.3f %s%n", seconds(), format.formatted(args));
      out.flush();
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  // HTTP.

  /** A message as read from a connection. */
  record Message(String first, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name.toLowerCase());
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the first line and the headers. */
  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
    }
    return new Message(first, headers, new byte[0]);
  }

  /** Reads a chunk of a chunked body; empty at the end. */
  static byte[] readChunk(InputStream in) throws IOException {
    int size = Integer.parseInt(readLine(in).strip().split(";")[0], 16);
    byte[] chunk = in.readNBytes(size);
    if (chunk.length < size) {
      throw new EOFException();
    }
    readLine(in);
    return chunk;
  }

  static Message readRequest(InputStream in) throws IOException {
    Message head = readHead(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.header("Content-Length") != null) {
      int size = Integer.parseInt(head.header("Content-Length"));
      body.writeBytes(in.readNBytes(size));
      if (body.size() < size) {
        throw new EOFException();
      }
    } else if (head.header("Transfer-Encoding") != null) {
      for (byte[] c = readChunk(in); c.length > 0; c = readChunk(in)) {
        body.writeBytes(c);
      }
    }
    return new Message(head.first(), head.headers(), body.toByteArray());
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  static void respond(OutputStream out, int status, String headers, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
            .formatted(status, headers, body.getBytes(StandardCharsets.UTF_8).length, body));
  }

  /** Answers a request on a connection. */
  interface Handler {
    void answer(Message request, Socket socket, OutputStream out) throws Exception;
  }

  /** A server that can end like a process: all its connections are reset. */
  static final class Server {
    private final InetSocketAddress address;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;

    Server(InetSocketAddress address, Handler handler) throws IOException {
      this.address = address;
      this.handler = handler;
      listen();
    }

    void listen() throws IOException {
      ServerSocket s = new ServerSocket();
      s.setReuseAddress(true);
      s.bind(address, 1024);
      listening = s;
      Thread.startVirtualThread(() -> accept(s));
    }

    private void accept(ServerSocket s) {
      while (!s.isClosed()) {
        try {
          Socket c = s.accept();
          c.setTcpNoDelay(true);
          open.add(c);
          Thread.startVirtualThread(() -> serve(c));
        } catch (IOException e) {
          // Closed, or the caller has left.
        }
      }
    }

    private void serve(Socket c) {
      try (c) {
        InputStream in = new java.io.BufferedInputStream(c.getInputStream());
        while (true) {
          handler.answer(readRequest(in), c, c.getOutputStream());
        }
      } catch (Exception e) {
        // The connection has ended.
      } finally {
        open.remove(c);
      }
    }

    /** Resets all connections, and refuses new ones until {@link #listen}. */
    void kill() throws IOException {
      listening.close();
      resetAll();
    }

    void resetAll() throws IOException {
      for (Socket c : open) {
        c.setSoLinger(true, 0);
        c.close();
      }
    }
  }

  // The platform's store.

  /** The store: objects by kind and name, lists, watches, and writes under a condition. */
  static final class Store {
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]+)\"");
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*\"?(\\d+)");
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE = 500;

    private record Object0(long created, long revision, String spec, String status) {}

    private record Event(String kind, String object, boolean gone) {}

    /** Observes the accepted writes. */
    interface Observer {
      void written(int node, String kind, String name, String spec);
    }

    private final Map<String, TreeMap<String, Object0>> kinds = new TreeMap<>();
    private final TreeMap<Long, Event> events = new TreeMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<Integer> refused = ConcurrentHashMap.newKeySet();
    private final Set<Integer> partitioned = ConcurrentHashMap.newKeySet();
    private final Map<Integer, UnaryOperator<String>> views = new ConcurrentHashMap<>();
    private volatile Observer observer = (node, kind, name, spec) -> {};
    private long revision = 100;

    /** Creates a store with one address a node, to tell the nodes apart. */
    Store(String net, int nodes, int port) throws IOException {
      for (int i = 0; i < nodes; i++) {
        int node = i;
        InetSocketAddress a = new InetSocketAddress(net + "." + (200 + i), port);
        addresses.add(a);
        new Server(a, (r, s, out) -> answer(node, r, s, out));
      }
    }

    String address(int node) {
      return text(addresses.get(node));
    }

    void observe(Observer o) {
      observer = o;
    }

    /** Turns a node away with 503, or serves it again; its watches are cut. */
    void refuse(int node, boolean on) {
      if (on) {
        refused.add(node);
      } else {
        refused.remove(node);
      }
      synchronized (this) {
        notifyAll();
      }
    }

    /** Cuts a node off from the store: what it sends gets no answer, or heals the cut. */
    void partition(int node, boolean on) {
      if (on) {
        partitioned.add(node);
      } else {
        partitioned.remove(node);
      }
    }

    /** Changes the texts that a node reads, so that it knows other nodes by other addresses. */
    void view(int node, UnaryOperator<String> change) {
      views.put(node, change);
    }

    synchronized long put(String kind, String name, String spec) {
      return put(kind, name, spec, null);
    }

    private long put(String kind, String name, String spec, String status) {
      revision++;
      TreeMap<String, Object0> all = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
      Object0 old = all.get(name);
      Object0 now = new Object0(old == null ? revision : old.created, revision, spec, status);
      all.put(name, now);
      events.put(revision, new Event(kind, json(name, now), false));
      notifyAll();
      return revision;
    }

    synchronized void remove(String kind, String name) {
      Object0 old = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
      if (old != null) {
        revision++;
        events.put(
            revision,
            new Event(
                kind, json(name, new Object0(old.created, revision, old.spec, old.status)), true));
        notifyAll();
      }
    }

    private static String json(String name, Object0 o) {
      return ("{\"metadata\":{\"name\":\"%s\",\"revision\":%d,\"create_rev\":%d,\"finalizers\":[],"
              + "\"deleting\":false},\"spec\":%s,\"status\":%s}")
          .formatted(name, o.revision, o.created, o.spec, o.status);
    }

    private void answer(int node, Message r, Socket socket, OutputStream out) throws Exception {
      Thread.sleep(ANSWER_MILLIS);
      awaitPath(node);
      if (refused.contains(node)) {
        respond(out, 503, "", "");
        return;
      }
      String path = r.target().substring("/larkkeel/objects/".length());
      String[] pathAndQuery = path.split("\\?", 2);
      String[] parts = pathAndQuery[0].split("/");
      Map<String, String> query = new LinkedHashMap<>();
      if (pathAndQuery.length > 1) {
        for (String p : pathAndQuery[1].split("&")) {
          String[] kv = p.split("=", 2);
          query.put(kv[0], kv.length > 1 ? kv[1] : "");
        }
      }
      String body;
      int status = 200;
      synchronized (this) {
        TreeMap<String, Object0> all = kinds.computeIfAbsent(parts[0], k -> new TreeMap<>());
        if (r.method().equals("GET") && parts.length == 1 && query.containsKey("watch")) {
          body = watch(node, parts[0], query);
          if (refused.contains(node)) {
            socket.close();
            return;
          }
        } else if (r.method().equals("GET") && parts.length == 1) {
          body = list(all, query.getOrDefault("after", ""));
        } else {
          String name = parts.length > 1 ? parts[1] : find(NAME, r.text());
          Object0 old = all.get(name);
          String condition =
              query.containsKey("revision") ? query.get("revision") : find(REVISION, meta(r.text()));
          boolean differs =
              old != null && condition != null && Long.parseLong(condition) != old.revision;
          body = "{}";
          if (r.method().equals("GET")) {
            status = old == null ? 404 : 200;
          } else if (r.method().equals("POST")) {
            status = old == null ? 200 : 409;
            if (old == null) {
              put(parts[0], name, spec(r.text()), null);
              observer.written(node, parts[0], name, spec(r.text()));
            }
          } else if (old == null) {
            status = 404;
          } else if (differs) {
            status = 409;
          } else if (r.method().equals("PUT") && parts.length > 2) {
            put(parts[0], name, old.spec, r.text());
          } else if (r.method().equals("PUT")) {
            put(parts[0], name, spec(r.text()), old.status);
            observer.written(node, parts[0], name, spec(r.text()));
          } else {
            remove(parts[0], name);
          }
          Object0 now = all.get(name);
          if (now != null) {
            body = json(name, now);
          }
        }
      }
      awaitPath(node);
      respond(
          out,
          status,
          "Content-Type: application/json\r\n",
          views.getOrDefault(node, UnaryOperator.identity()).apply(body));
    }

    private void awaitPath(int node) throws InterruptedException {
      while (partitioned.contains(node)) {
        Thread.sleep(20);
      }
    }

    /** Returns the part of a body before its content. */
    private static String meta(String body) {
      int spec = body.indexOf("\"spec\":");
      return spec < 0 ? body : body.substring(0, spec);
    }

    private static String find(Pattern p, String text) {
      Matcher m = p.matcher(text);
      return m.find() ? m.group(1) : null;
    }

    /** Returns the content of an object from a body; the value is an object or a list. */
    private static String spec(String body) {
      int at = body.indexOf("\"spec\":") + "\"spec\":".length();
      int depth = 0;
      boolean quoted = false;
      for (int i = at; i < body.length(); i++) {
        char c = body.charAt(i);
        if (quoted) {
          if (c == '\\') {
            i++;
          } else if (c == '"') {
            quoted = false;
          }
        } else if (c == '"') {
          quoted = true;
        } else if (c == '{' || c == '[') {
          depth++;
        } else if (c == '}' || c == ']') {
          depth--;
          if (depth == 0) {
            return body.substring(at, i + 1);
          }
        }
      }
      throw new IllegalArgumentException("no content in " + body);
    }

    private String list(TreeMap<String, Object0> all, String after) {
      List<String> items = new ArrayList<>();
      boolean more = false;
      for (var e : all.tailMap(after, false).entrySet()) {
        if (items.size() == PAGE) {
          more = true;
          break;
        }
        items.add(json(e.getKey(), e.getValue()));
      }
      return "{\"items\":[%s],\"more_pages\":%b,\"as_of\":%d}"
          .formatted(String.join(",", items), more, revision);
    }

    private String watch(int node, String kind, Map<String, String> query)
        throws InterruptedException {
      long from = Long.parseLong(query.get("watch"));
      long end =
          System.nanoTime()
              + TimeUnit.MILLISECONDS.toNanos(
                  Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0"))));
      while (true) {
        List<String> found = new ArrayList<>();
        for (Event e : events.tailMap(from, false).values()) {
          if (e.kind.equals(kind)) {
            found.add("{\"object\":%s,\"tombstone\":%b}".formatted(e.object, e.gone));
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || left <= 0 || refused.contains(node)) {
          return "{\"events\":[%s],\"as_of\":%d}".formatted(String.join(",", found), revision);
        }
        wait(left);
      }
    }
  }

  static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  // Nodes.

  /** A process of the deploy file. */
  static final class Node {
    static final int FRONT = 8144;
    static final int READY = 8140;
    static final int FIRST_PORT = 7660;

    final int index;
    final String name;
    final String ip;
    private final Path settings;
    private final Path log;
    private Process process;

    Node(Path folder, String net, int index, String zone, String seeds, String store)
        throws IOException {
      this.index = index;
      this.name = "front-" + zone + "-" + (index + 1);
      this.ip = net + "." + (10 + index);
      this.settings = folder.resolve(name + ".json");
      this.log = folder.resolve(name + ".log");
      Map<String, String> values =
          Map.ofEntries(
              Map.entry("node", name),
              Map.entry("zone", zone),
              Map.entry("ip", ip),
              Map.entry("listen.front", ip + ":" + FRONT),
              Map.entry("listen.ready", ip + ":" + READY),
              Map.entry("port_range.0", "" + FIRST_PORT),
              Map.entry("port_range.1", "" + (FIRST_PORT + 15)),
              Map.entry("seeds", seeds),
              Map.entry("platform.address", store),
              Map.entry("bounds.retry_budget_ratio", "0.2"),
              Map.entry("bounds.budget_slack", "54"),
              Map.entry("bounds.budget_window_s", "10"),
              Map.entry("bounds.grace_s", "8"));
      String template =
          Files.readString(Path.of("deploy/settings.json"))
              .replaceAll("(?s)\\{\\{#([a-z_.0-9]+)}}.*?\\{\\{/\\1}}", "");
      for (var e : values.entrySet()) {
        template = template.replace("{{" + e.getKey() + "}}", e.getValue());
      }
      Files.writeString(settings, template);
    }

    void start() throws IOException {
      String run =
          Files.readAllLines(Path.of("deploy/system.toml")).stream()
              .filter(l -> l.startsWith("run = "))
              .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
              .findFirst()
              .orElseThrow();
      ProcessBuilder b = new ProcessBuilder(run.split(" "));
      b.environment().put("LARKKEEL_SETTINGS", settings.toString());
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = b.start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean isReady() {
      try {
        return call(new InetSocketAddress(ip, READY), "GET /larkkeel/ready", "", "", 1_000).status()
            == 200;
      } catch (IOException e) {
        return false;
      }
    }

    long pid() {
      return process.pid();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void end() throws InterruptedException {
      if (process != null) {
        process.destroyForcibly();
        process.waitFor();
      }
    }

    Path log() {
      return log;
    }

    InetSocketAddress front() {
      return new InetSocketAddress(ip, FRONT);
    }
  }

  static void awaitReady(List<Node> nodes) throws InterruptedException {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!nodes.stream().allMatch(Node::isReady)) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("a node was not ready in time");
      }
      Thread.sleep(100);
    }
  }

  // Clients.

  /** Sends a request on a new connection, and reads a whole answer that has a length. */
  static Message call(
      InetSocketAddress to, String line, String headers, String body, int timeoutMillis)
      throws IOException {
    try (Socket s = new Socket()) {
      s.connect(to, 1_000);
      s.setSoTimeout(timeoutMillis);
      write(s.getOutputStream(), request(line, headers, body));
      InputStream in = new java.io.BufferedInputStream(s.getInputStream());
      Message head = readHead(in);
      String length = head.header("Content-Length");
      byte[] bytes = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
      return new Message(head.first(), head.headers(), bytes);
    }
  }

  static String request(String line, String headers, String body) {
    return "%s HTTP/1.1\r\nHost: ficu95.example\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(line, headers, body.getBytes(StandardCharsets.UTF_8).length, body);
  }

  /** How a stream ended for its client. */
  record Streamed(
      int status, int events, boolean complete, String stamp, String note, List<String> writers) {
    @Override
    public String toString() {
      return "status=%d events=%d complete=%b stamp=%s writers=%s %s"
          .formatted(status, events, complete, stamp, writers, note);
    }
  }

  /** Sends a request on a new connection, and reads its stream. */
  static Streamed stream(
      InetSocketAddress to, String line, String headers, String body, int silenceMillis) {
    int status = 0;
    int events = 0;
    String stamp = "";
    Set<String> writers = new TreeSet<>();
    try (Socket s = new Socket()) {
      s.connect(to, 1_000);
      s.setSoTimeout(silenceMillis);
      write(s.getOutputStream(), request(line, headers, body));
      InputStream in = new java.io.BufferedInputStream(s.getInputStream());
      Message head = readHead(in);
      status = head.status();
      stamp = String.valueOf(head.header("X-Server-Stamp"));
      if (status != 200 || head.header("Transfer-Encoding") == null) {
        return new Streamed(
            status, 0, false, stamp, "retry_after=" + head.header("Retry-After"), List.of());
      }
      for (byte[] c = readChunk(in); c.length > 0; c = readChunk(in)) {
        for (String l : new String(c, StandardCharsets.UTF_8).split("\n")) {
          events += l.startsWith("id:") ? 1 : 0;
          if (l.startsWith("data: ")) {
            writers.add(l.split(" ")[1]);
          }
        }
      }
      return new Streamed(status, events, true, stamp, "", List.copyOf(writers));
    } catch (SocketTimeoutException e) {
      return new Streamed(status, events, false, stamp, "silent", List.copyOf(writers));
    } catch (IOException e) {
      return new Streamed(status, events, false, stamp, "broken", List.copyOf(writers));
    }
  }
}
