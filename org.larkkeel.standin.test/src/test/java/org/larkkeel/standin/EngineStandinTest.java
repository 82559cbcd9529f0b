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
  private static final long GIVE_UP_MILLIS = 20_000;
  private static final int WHILE_CALLS = 20;
  private static final long INSTANT_LINK = 1_000_000_000_000_000L;
  private static final String MODEL = "pricing";
  private static final String PROMPT = "dossier ".repeat(3_000);

  /** Starts a prefill and a decode engine for each test. */
  public abstract static class WithEngines {
    EngineStandin prefill;
    EngineStandin decode;

    /** Starts the engines: fast, with two slots. */
    @BeforeMethod
    public void start() {
      EngineSpeeds fast = new EngineSpeeds(1_000_000, 2, 0);
      EngineReports prompt = new EngineReports(0, 0, 0, 1);
      EngineMemory memory = EngineMemory.DEFAULTS.withSlots(2).withEvictMillis(60_000);
      EngineSettings settings =
          EngineSettings.of("p", EngineRole.PREFILL, MODEL)
              .withSpeeds(fast)
              .withReports(prompt)
              .withMemory(memory);
      prefill = EngineStandin.start(settings);
      decode =
          EngineStandin.start(
              EngineSettings.of("d", EngineRole.DECODE, MODEL)
                  .withSpeeds(fast)
                  .withReports(prompt)
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

    /** Prefills and imports under one id. */
    void place(String id) throws Exception {
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

    static String completion(String prompt, int maxTokens, int from, String kv) {
      ObjectNode message = Http.MAPPER.createObjectNode();
      message.put("model", MODEL).put("prompt", prompt).put("max_tokens", maxTokens);
      message.put("stream", true).put("resume_from", from);
      message.putObject("kv_transfer_params").put(kv, true);
      return message.toString();
    }

    static String textOf(String line) throws Exception {
      JsonNode chunk = Http.MAPPER.readTree(line.substring("data: ".length()));
      return chunk.at("/choices/0/text").asText();
    }

    static String rest(Iterator<String> lines) throws Exception {
      StringBuilder text = new StringBuilder();
      for (String line = lines.next(); !line.equals("data: [DONE]"); line = lines.next()) {
        text.append(textOf(line));
      }
      return text.toString();
    }
  }

  /** The path of a request. */
  public static class Path extends WithEngines {
    /** The answer is that of the oracle, and prefill, import and decode are each in a ledger. */
    @Test
    public void wholeAnswer() throws Exception {
      place("h/1/1");
      assertEquals(decode.ledger().snapshot().slots().asList(), List.of("h/1/1"));
      assertEquals(rest(stream("h/1/1", 30, 0)), AnswerOracle.whole(MODEL, PROMPT, 30));
      assertEquals(
          prefill.ledger().snapshot().prefills().getFirst().fate(), EngineLedger.Fate.IMPORTED);
      assertEquals(
          decode.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.DECODED);
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
    }

    /** A stream broken by a kill goes on with the same text after another prefill. */
    @Test
    public void resumesAfterKill() throws Exception {
      place("h/1/1");
      Iterator<String> broken = stream("h/1/1", 40, 0);
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 5; i++) {
        text.append(textOf(broken.next()));
      }
      long before = decode.incarnation();
      decode.restart();
      assertNotEquals(decode.incarnation(), before);
      assertBreaks(broken);
      assertEquals(decode.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.LOST);
      place("h/1/2");
      text.append(rest(stream("h/1/2", 40, 5)));
      assertEquals(text.toString(), AnswerOracle.whole(MODEL, PROMPT, 40));
    }

    /** A repeated id is the same request: one prefill, one decode. */
    @Test
    public void repeatedId() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      assertEquals(prefill("h/1/1", PROMPT).body().get("kv_transfer_params"), params);
      importKv("h/1/1", params);
      assertEquals(importKv("h/1/1", params).status(), 200);
      String first = rest(stream("h/1/1", 20, 0));
      assertEquals(rest(stream("h/1/1", 20, 0)), first);
      assertEquals(prefill.ledger().snapshot().prefills().size(), 1);
      assertEquals(decode.ledger().snapshot().decodes().get("h/1/1"), Integer.valueOf(1));
    }

    /** A cached prefix is reported and makes the prefill smaller. */
    @Test
    public void prefixCache() throws Exception {
      prefill("h/1/1", PROMPT);
      JsonNode usage = prefill("h/1/2", PROMPT + "more").body().get("usage");
      assertEquals(usage.at("/prompt_tokens_details/cached_tokens").asInt(), 6_000);
      JsonNode events = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      assertEquals(events.at("/events/0/stored").size(), 3);
    }

    private static void assertBreaks(Iterator<String> lines) {
      expectThrows(UncheckedIOException.class, () -> lines.forEachRemaining(Path::assertNotDone));
    }

    private static void assertNotDone(String line) {
      assertNotEquals(line, "data: [DONE]");
    }
  }

  /** Starting again under the name and address that it had. */
  public static class Restart extends WithEngines {
    /** A KV cache that was held is gone, and whoever wants it is told so. */
    @Test
    public void holdsNothingOfBefore() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      prefill.restart();
      assertEquals(importKv("h/1/1", params).status(), 410);
      JsonNode held = http(prefill).call("GET", "/v1/requests", "").body();
      assertEquals(held.get("incarnation").asLong(), prefill.incarnation());
      assertEquals(held.get("requests").size(), 0);
    }

    /** A KV cache that was imported is gone as well, and its slot is free. */
    @Test
    public void knowsNoImportOfBefore() throws Exception {
      place("h/1/1");
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

    /** Cache events count from the first again, under a greater incarnation. */
    @Test
    public void countsCacheEventsAnew() throws Exception {
      prefill("h/1/1", PROMPT);
      JsonNode before = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      prefill.restart();
      JsonNode usage = prefill("h/1/2", PROMPT).body().get("usage");
      assertEquals(usage.at("/prompt_tokens_details/cached_tokens").asInt(), 0);
      JsonNode after = http(prefill).call("GET", "/v1/cache/events?after=0", "").body();
      assertEquals(after.at("/events/0/seq"), before.at("/events/0/seq"));
      assertTrue(after.get("incarnation").asLong() > before.get("incarnation").asLong());
    }

    /** Fencing numbers and roles that were ordered are forgotten. */
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

    /** The control plays it too, at the same address. */
    @Test
    public void byControl() throws Exception {
      long before = decode.incarnation();
      try {
        http(decode).call("POST", "/control/kill?restart_after_millis=0", "");
      } catch (IOException e) {
        // The kill may end the connection of the control before its answer is out.
      }
      long giveUp = System.nanoTime() + GIVE_UP_MILLIS * 1_000_000;
      while (decode.incarnation() == before && System.nanoTime() < giveUp) {
        Thread.sleep(5);
      }
      JsonNode load = http(decode).call("GET", "/v1/load", "").body();
      assertTrue(load.get("incarnation").asLong() > before);
    }
  }

  /** Moving a KV cache on from a decode engine. */
  public static class Move extends WithEngines {
    /** A third engine takes over a running decode; the slot here is freed and the text goes on. */
    @Test
    public void movesRunningDecode() throws Exception {
      EngineSettings fast = decode.settings();
      decode.close();
      decode = EngineStandin.start(fast.withSpeeds(new EngineSpeeds(1, 200, 0)));
      JsonNode first = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      JsonNode onward = importKv("h/1/1", first).body().get("kv_transfer_params");
      Iterator<String> broken = stream("h/1/1", 400, 0);
      String text = textOf(broken.next()) + textOf(broken.next());
      EngineStandin source = decode;
      try {
        decode = EngineStandin.start(fast);
        assertEquals(importKv("h/1/2", onward).status(), 200);
        assertEquals(source.ledger().snapshot().slots().size(), 0);
        assertEquals(text + rest(stream("h/1/2", 400, 2)), AnswerOracle.whole(MODEL, PROMPT, 400));
        assertEquals(
            source.ledger().snapshot().imports().getFirst().fate(), EngineLedger.Fate.IMPORTED);
      } finally {
        source.close();
      }
    }
  }

  /** Slots, eviction and cancel. */
  public static class Capacity extends WithEngines {
    /** A third import is refused, until a cancel frees a slot. */
    @Test
    public void slotsAndCancel() throws Exception {
      place("h/1/1");
      place("h/1/2");
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

    /** What is evicted can not be imported, and counts as wasted. */
    @Test
    public void eviction() throws Exception {
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      prefill.evictAll();
      assertEquals(importKv("h/1/1", params).status(), 410);
      assertEquals(decode.ledger().snapshot().slots().size(), 0);
      assertEquals(prefill.ledger().snapshot().wastedPrefillTokens(), 6_000);
    }

    /** What nobody imports is evicted when its time is over. */
    @Test(timeOut = GIVE_UP_MILLIS)
    public void evictionByTime() throws Exception {
      EngineSettings brief =
          prefill.settings().withMemory(EngineMemory.DEFAULTS.withEvictMillis(1));
      prefill.close();
      prefill = EngineStandin.start(brief);
      prefill("h/1/1", PROMPT);
      while (prefill.ledger().snapshot().wastedPrefillTokens() == 0) {
        Thread.onSpinWait();
      }
      assertEquals(
          prefill.ledger().snapshot().prefills().getFirst().fate(), EngineLedger.Fate.EVICTED);
    }

    /**
     * A stalled import holds its slot until it is cancelled; the source still holds the KV cache.
     */
    @Test(timeOut = GIVE_UP_MILLIS)
    public void stalledImport() throws Exception {
      EngineSettings settings = decode.settings();
      decode.close();
      decode =
          EngineStandin.start(
              settings.withMemory(settings.memory().withLinkBytesPerSecond(INSTANT_LINK)));
      decode.stallTransfers(true);
      JsonNode params = prefill("h/1/1", PROMPT).body().get("kv_transfer_params");
      final Thread importing =
          Thread.startVirtualThread(() -> quietly(() -> importKv("h/1/1", params)));
      while (decode.ledger().snapshot().slots().isEmpty()) {
        Thread.onSpinWait();
      }
      for (int i = 0; i < WHILE_CALLS; i++) {
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

    /** A decode goes on when its connection breaks, until it is cancelled. */
    @Test(timeOut = GIVE_UP_MILLIS)
    public void orphan() throws Exception {
      place("h/1/1");
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

    private interface Risky {
      void run() throws Exception;
    }

    private static void quietly(Risky call) {
      try {
        call.run();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The queue of prefills. */
  public static class Queue extends WithEngines {
    /** A lower priority number goes first, however late it came. */
    @Test(timeOut = GIVE_UP_MILLIS)
    public void priority() throws Exception {
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

    private void submit(ExecutorService threads, String id, int priority, int known)
        throws Exception {
      String body = completion(PROMPT, 1, 0, "do_remote_decode");
      String urgent = body.replace("{\"model\"", "{\"priority\":" + priority + ",\"model\"");
      var unused =
          threads.submit(
              () -> http(prefill).call("POST", "/v1/completions", urgent, "X-Request-Id", id));
      while (http(prefill).call("GET", "/v1/requests", "").body().get("requests").size() < known) {
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

  /** Orders. */
  public static class Orders extends WithEngines {
    /** One habit refuses an old number, the other carries the order out. */
    @Test
    public void fencingHabits() throws Exception {
      assertEquals(order(decode, 5, "prefill").status(), 200);
      Http.Answer stale = order(decode, 4, "decode");
      assertEquals(stale.status(), 409);
      assertEquals(stale.body().at("/error/code").asText(), "stale_fencing");
      decode.close();
      decode = EngineStandin.start(decode.settings().withFencing(FencingHabit.IGNORE));
      assertEquals(order(decode, 5, "prefill").status(), 200);
      assertEquals(order(decode, 4, "decode").status(), 200);
      JsonNode force = http(decode).call("GET", "/v1/orders", "").body();
      assertEquals(force.get("role").asText(), "decode");
      assertEquals(force.get("fencing").asInt(), 4);
    }

    /** A model that was ordered is served, another is not. */
    @Test
    public void loadsModel() throws Exception {
      String load =
          "{\"fencing\":1,\"order\":{\"type\":\"load_model\",\"model\":\"m\",\"version\":\"2\"}}";
      JsonNode force = http(decode).call("POST", "/v1/orders", load).body();
      assertEquals(force.get("models").toString(), "[\"m@2\",\"pricing\"]");
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
