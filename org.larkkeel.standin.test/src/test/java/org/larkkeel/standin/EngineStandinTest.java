/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EngineStandin}. */
public class EngineStandinTest {
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final int CALLS_DURING_STALL = 20;
  private static final long INSTANT_LINK_BYTES_PER_SECOND = 1_000_000_000_000_000L;
  private static final String MODEL = "pricing";
  private static final String PROMPT = "dossier ".repeat(3_000);

  /** Starts a prefill and a decode engine for each test. */
  public abstract static class WithEngines {
    EngineStandin prefill;
    EngineStandin decode;

    /** Starts fast engines with two slots and undelayed reports. */
    @BeforeMethod
    public void start() {
      EngineSpeeds fast = new EngineSpeeds(1_000_000, 2, 0);
      EngineReports undelayed = new EngineReports(0, 0, 0, 1);
      EngineMemory memory = EngineMemory.DEFAULTS.withSlots(2).withEvictAfterMillis(60_000);
      EngineSettings settings =
          EngineSettings.of("p", EngineRole.PREFILL, MODEL)
              .withSpeeds(fast)
              .withReports(undelayed)
              .withMemory(memory);
      prefill = EngineStandin.start(settings);
      decode =
          EngineStandin.start(
              EngineSettings.of("d", EngineRole.DECODE, MODEL)
                  .withSpeeds(fast)
                  .withReports(undelayed)
                  .withMemory(memory)
                  .withLoadMillis(0));
    }

    /** Stops the engines. */
    @AfterMethod
    public void stop() {
      prefill.close();
      decode.close();
    }

    Http http(EngineStandin engine) {
      return new Http(engine.address());
    }

    Http.Answer prefill(String id, String prompt) throws Exception {
      return http(prefill)
          .call(
              "POST",
              "/v1/completions",
              completion(prompt, 1, 0, "do_remote_decode"),
              "X-Request-Id",
              id);
    }

    Http.Answer importKv(String id, JsonNode params) throws Exception {
      ObjectNode message = Http.MAPPER.createObjectNode().put("request_id", id);
      message.set("kv_transfer_params", params);
      return http(decode).call("POST", "/v1/kv/imports", message.toString());
    }

    /** Prefills the prompt and imports its KV cache under one id. */
    void prefillAndImport(String id) throws Exception {
      JsonNode params = prefill(id, PROMPT).body().get("kv_transfer_params");
      assertEquals(importKv(id, params).status(), 200);
    }

    Iterator<String> stream(String id, int maxTokens, int from) throws Exception {
      return http(decode)
          .lines(
              "POST",
              "/v1/completions",
              completion(PROMPT, maxTokens, from, "do_remote_prefill"),
              "X-Request-Id",
              id)
          .filter(line -> !line.isEmpty())
          .iterator();
    }

    String cancel(EngineStandin engine, String id) throws Exception {
      String path = "/v1/requests/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
      return http(engine).call("DELETE", path, "").body().get("state").asText();
    }

    static String completion(String prompt, int maxTokens, int from, String kvFlag) {
      ObjectNode message = Http.MAPPER.createObjectNode();
      message.put("model", MODEL).put("prompt", prompt).put("max_tokens", maxTokens);
      message.put("stream", true).put("resume_from", from);
      message.putObject("kv_transfer_params").put(kvFlag, true);
      return message.toString();
    }

    static String parseText(String line) throws Exception {
      JsonNode chunk = Http.MAPPER.readTree(line.substring("data: ".length()));
      return chunk.at("/choices/0/text").asText();
    }

    static String readRemainingText(Iterator<String> lines) throws Exception {
      StringBuilder text = new StringBuilder();
      for (String line = lines.next(); !line.equals("data: [DONE]"); line = lines.next()) {
        text.append(parseText(line));
      }
      return text.toString();
    }
  }

  /** The life cycle of a request: prefill, import, decode. */
  public static class RequestPath extends WithEngines {
    /**
     * The answer must be that of the oracle, and the ledgers must record prefill, import and
     * decode.
     */
    @Test
    public void completeAnswer() throws Exception {
      prefillAndImport("h/1/1");
      assertEquals(decode.ledger().snapshot().slots().asList(), List.of("h/1/1"));
      assertEquals(
          readRemainingText(stream("h/1/1", 30, 0)), AnswerOracle.completeText(MODEL, PROMPT, 30));
      assertEquals(
          prefill.ledger().snapshot().prefills().getFirst().fate(), EngineLedger.Fate.IMPORTED);
      assertEquals(
          decode.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.DECODED);
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
    }

    /**
     * A restart breaks the stream. After another prefill, a decode that resumes at the next token
     * must complete the same text.
     */
    @Test
    public void resumesAfterKill() throws Exception {
      prefillAndImport("h/1/1");
      Iterator<String> broken = stream("h/1/1", 40, 0);
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 5; i++) {
        text.append(parseText(broken.next()));
      }
      long before = decode.incarnation();
      decode.restart();
      assertNotEquals(decode.incarnation(), before);
      assertBreaks(broken);
      assertEquals(decode.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.LOST);
      prefillAndImport("h/1/2");
      text.append(readRemainingText(stream("h/1/2", 40, 5)));
      assertEquals(text.toString(), AnswerOracle.completeText(MODEL, PROMPT, 40));
    }

    /**
     * Calls that repeat an id must get the answer of the first call, without a second prefill or
     * decode.
     */
    @Test
    public void repeatedIdRunsOnce() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      assertEquals(prefill("h/1/1", PROMPT).body().get("kv_transfer_params"), params);
      importKv("h/1/1", params);
      assertEquals(importKv("h/1/1", params).status(), 200);
      String first = readRemainingText(stream("h/1/1", 20, 0));
      assertEquals(readRemainingText(stream("h/1/1", 20, 0)), first);
      assertEquals(prefill.ledger().snapshot().prefills().size(), 1);
      assertEquals(decode.ledger().snapshot().decodes().get("h/1/1"), Integer.valueOf(1));
    }

    /** The usage must report cached prefix tokens, and the cache events their keys. */
    @Test
    public void prefixCacheIsReported() throws Exception {
      prefill("h/1/1", PROMPT);
      JsonNode usage = prefill("h/1/2", PROMPT + "more").body().get("usage");
      assertEquals(usage.at("/prompt_tokens_details/cached_tokens").asInt(), 6_000);
      JsonNode events = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      assertEquals(events.at("/events/0/stored").size(), 3);
    }

    private static void assertBreaks(Iterator<String> lines) {
      expectThrows(
          UncheckedIOException.class, () -> lines.forEachRemaining(RequestPath::assertNotDone));
    }

    private static void assertNotDone(String line) {
      assertNotEquals(line, "data: [DONE]");
    }
  }

  /** Restarts under the same name and address. */
  public static class Restart extends WithEngines {
    /**
     * A restart loses the held KV caches: an import from the old incarnation is refused with 410.
     */
    @Test
    public void losesHeldCaches() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      prefill.restart();
      assertEquals(importKv("h/1/1", params).status(), 410);
      JsonNode held = http(prefill).call("GET", "/v1/requests", "").body();
      assertEquals(held.get("incarnation").asLong(), prefill.incarnation());
      assertEquals(held.get("requests").size(), 0);
    }

    /** A restart loses the imported KV caches and releases their slots. */
    @Test
    public void losesImports() throws Exception {
      prefillAndImport("h/1/1");
      decode.restart();
      Http.Answer answer =
          http(decode)
              .call(
                  "POST",
                  "/v1/completions",
                  completion(PROMPT, 5, 0, "do_remote_prefill"),
                  "X-Request-Id",
                  "h/1/1");
      assertEquals(answer.status(), 410);
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
    }

    /** After a restart, cache event numbers start again, under a greater incarnation number. */
    @Test
    public void restartsCacheEventNumbers() throws Exception {
      prefill("h/1/1", PROMPT);
      JsonNode before = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      prefill.restart();
      JsonNode usage = prefill("h/1/2", PROMPT).body().get("usage");
      assertEquals(usage.at("/prompt_tokens_details/cached_tokens").asInt(), 0);
      JsonNode after = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      assertEquals(after.at("/events/0/seq"), before.at("/events/0/seq"));
      assertTrue(after.get("incarnation").asLong() > before.get("incarnation").asLong());
    }

    /** A restart forgets fencing numbers and ordered roles. */
    @Test
    public void forgetsOrders() throws Exception {
      String order = "{\"fencing\":%d,\"order\":{\"type\":\"set_role\",\"role\":\"prefill\"}}";
      assertEquals(http(decode).call("POST", "/v1/orders", order.formatted(5)).status(), 200);
      decode.restart();
      JsonNode force = http(decode).call("GET", "/v1/orders", "").body();
      assertEquals(force.get("fencing").asInt(), 0);
      assertEquals(force.get("role").asText(), "decode");
      assertEquals(http(decode).call("POST", "/v1/orders", order.formatted(4)).status(), 200);
    }

    /** A kill through the control endpoint with a restart delay restarts at the same address. */
    @Test
    public void restartByControl() throws Exception {
      long before = decode.incarnation();
      try {
        http(decode).call("POST", "/control/kill?restart_after_millis=0", "");
      } catch (IOException e) {
        // The kill may close the connection of this call before the answer is sent.
      }
      long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
      while (decode.incarnation() == before && System.nanoTime() < deadline) {
        Thread.sleep(5);
      }
      JsonNode load = http(decode).call("GET", "/v1/load", "").body();
      assertTrue(load.get("incarnation").asLong() > before);
    }
  }

  /** Moves of a KV cache from one decode engine to another. */
  public static class Move extends WithEngines {
    /**
     * Another engine imports the KV cache of a running decode: the source releases its slot, and
     * the stream resumes at the destination with the same text.
     */
    @Test
    public void movesRunningDecode() throws Exception {
      EngineSettings fast = decode.settings();
      decode.close();
      decode = EngineStandin.start(fast.withSpeeds(new EngineSpeeds(1, 200, 0)));
      JsonNode first = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      JsonNode onward = importKv("h/1/1", first).body().get("kv_transfer_params");
      Iterator<String> broken = stream("h/1/1", 400, 0);
      String text = parseText(broken.next()) + parseText(broken.next());
      EngineStandin source = decode;
      try {
        decode = EngineStandin.start(fast);
        assertEquals(importKv("h/1/2", onward).status(), 200);
        assertEquals(source.ledger().snapshot().slots().size(), 0);
        assertEquals(
            text + readRemainingText(stream("h/1/2", 400, 2)),
            AnswerOracle.completeText(MODEL, PROMPT, 400));
        assertEquals(
            source.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.IMPORTED);
      } finally {
        source.close();
      }
    }
  }

  /** Slots, eviction and cancellation. */
  public static class Capacity extends WithEngines {
    /** With both slots held, an import is refused until a cancellation releases a slot. */
    @Test
    public void cancelFreesSlot() throws Exception {
      prefillAndImport("h/1/1");
      prefillAndImport("h/1/2");
      JsonNode params = prefill("h/1/3", PROMPT).body().get("kv_transfer_params");
      Http.Answer refused = importKv("h/1/3", params);
      assertEquals(refused.status(), 503);
      assertEquals(refused.body().at("/error/code").asText(), "no_slot");
      assertEquals(cancel(decode, "h/1/1"), "cancelled");
      assertEquals(cancel(decode, "h/1/1"), "cancelled");
      assertEquals(cancel(decode, "h/9/9"), "unknown");
      assertEquals(importKv("h/1/3", params).status(), 200);
      assertEquals(decode.ledger().snapshot().slots().asList(), List.of("h/1/2", "h/1/3"));
    }

    /** An evicted KV cache cannot be imported, and its prefill counts as wasted. */
    @Test
    public void evictedCacheIsNotImportable() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      prefill.evictAll();
      assertEquals(importKv("h/1/1", params).status(), 410);
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
      assertEquals(prefill.ledger().snapshot().wastedPrefillTokens(), 6_000);
    }

    /** A KV cache that is not imported in time is evicted. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void unimportedCacheIsEvicted() throws Exception {
      EngineSettings quickEviction =
          prefill.settings().withMemory(EngineMemory.DEFAULTS.withEvictAfterMillis(1));
      prefill.close();
      prefill = EngineStandin.start(quickEviction);
      prefill("h/1/1", PROMPT);
      while (prefill.ledger().snapshot().wastedPrefillTokens() == 0) {
        Thread.onSpinWait();
      }
      assertEquals(
          prefill.ledger().snapshot().prefills().getFirst().fate(), EngineLedger.Fate.EVICTED);
    }

    /**
     * A stalled import holds its slot until it is cancelled. The source still holds the KV cache,
     * so a second import succeeds.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void stalledImportHoldsSlot() throws Exception {
      EngineSettings settings = decode.settings();
      decode.close();
      decode =
          EngineStandin.start(
              settings.withMemory(
                  settings.memory().withLinkBytesPerSecond(INSTANT_LINK_BYTES_PER_SECOND)));
      decode.stallTransfers(true);
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      final Thread importing =
          Thread.startVirtualThread(() -> runUnchecked(() -> importKv("h/1/1", params)));
      while (decode.ledger().snapshot().slots().isEmpty()) {
        Thread.onSpinWait();
      }
      for (int i = 0; i < CALLS_DURING_STALL; i++) {
        http(decode).call("GET", "/v1/load", "");
      }
      JsonNode held = http(decode).call("GET", "/v1/requests", "").body().at("/requests/0");
      assertEquals(held.get("stage").asText(), "importing");
      assertEquals(cancel(decode, "h/1/1"), "cancelled");
      importing.join();
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
      decode.stallTransfers(false);
      assertEquals(importKv("h/1/2", params).status(), 200);
    }

    /**
     * A decode whose caller stops reading continues to its end, also on a draining engine, and then
     * releases its slot. A draining engine refuses new imports.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void decodeContinuesWithoutReader() throws Exception {
      prefillAndImport("h/1/1");
      stream("h/1/1", 20, 0).next();
      decode.drain(true);
      assertEquals(prefill("h/1/2", PROMPT).status(), 200);
      while (!decode.ledger().snapshot().slots().isEmpty()) {
        Thread.onSpinWait();
      }
      assertEquals(decode.ledger().snapshot().decodedTokens(), 20);
      assertEquals(
          importKv("h/1/2", params("h/1/2")).body().at("/error/code").asText(), "draining");
    }

    private JsonNode params(String id) throws Exception {
      return prefill(id, PROMPT).body().get("kv_transfer_params");
    }

    private interface ThrowingRunnable {
      void run() throws Exception;
    }

    private static void runUnchecked(ThrowingRunnable call) {
      try {
        call.run();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The prefill queue. */
  public static class Queue extends WithEngines {
    /** A queued prefill with a lower priority number starts first, also if it arrived later. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void lowerPriorityNumberFirst() throws Exception {
      EngineSettings slow = prefill.settings().withSpeeds(new EngineSpeeds(1, 1, 1));
      prefill.close();
      prefill = EngineStandin.start(slow);
      try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        submit(threads, "h/1/1", 5, 1);
        submit(threads, "h/1/2", 5, 2);
        submit(threads, "h/1/3", 1, 3);
        assertEquals(cancel(prefill, "h/1/1"), "cancelled");
        awaitStarted(2);
        assertEquals(prefill.ledger().snapshot().prefills().get(1).id(), "h/1/3");
        prefill.kill();
      }
    }

    private void submit(ExecutorService threads, String id, int priority, int expectedRequests)
        throws Exception {
      String body = completion(PROMPT, 1, 0, "do_remote_decode");
      String withPriority = body.replace("{\"model\"", "{\"priority\":" + priority + ",\"model\"");
      var unused =
          threads.submit(
              () ->
                  http(prefill).call("POST", "/v1/completions", withPriority, "X-Request-Id", id));
      while (http(prefill).call("GET", "/v1/requests", "").body().get("requests").size()
          < expectedRequests) {
        Thread.onSpinWait();
      }
      awaitStarted(1);
    }

    private void awaitStarted(int count) {
      while (prefill.ledger().snapshot().prefills().size() < count) {
        Thread.onSpinWait();
      }
    }
  }

  /** Orders to an engine. */
  public static class Orders extends WithEngines {
    /** CHECK refuses an order with an old fencing number, IGNORE executes it. */
    @Test
    public void staleOrdersByFencingMode() throws Exception {
      assertEquals(order(decode, 5, "prefill").status(), 200);
      Http.Answer stale = order(decode, 4, "decode");
      assertEquals(stale.status(), 409);
      assertEquals(stale.body().at("/error/code").asText(), "stale_fencing");
      decode.close();
      decode = EngineStandin.start(decode.settings().withFencing(FencingMode.IGNORE));
      assertEquals(order(decode, 5, "prefill").status(), 200);
      assertEquals(order(decode, 4, "decode").status(), 200);
      JsonNode inForce = http(decode).call("GET", "/v1/orders", "").body();
      assertEquals(inForce.get("role").asText(), "decode");
      assertEquals(inForce.get("fencing").asInt(), 4);
    }

    /** A loaded model is reported with its version; an order without fields is refused. */
    @Test
    public void loadsModel() throws Exception {
      String load =
          "{\"fencing\":1,\"order\":{\"type\":\"load_model\",\"model\":\"m\",\"version\":\"2\"}}";
      JsonNode inForce = http(decode).call("POST", "/v1/orders", load).body();
      assertEquals(inForce.get("models").toString(), "[\"m@2\",\"pricing\"]");
      assertEquals(http(decode).call("POST", "/v1/orders", "{}").status(), 400);
    }

    private Http.Answer order(EngineStandin engine, int fencing, String role) throws Exception {
      String body =
          "{\"fencing\":%d,\"order\":{\"type\":\"set_role\",\"role\":\"%s\"}}"
              .formatted(fencing, role);
      return http(engine).call("POST", "/v1/orders", body);
    }
  }
}
